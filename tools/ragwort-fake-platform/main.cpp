/// \file
/// Main program of the emulated platform.
#include "ragwortcart/Emulator/FakePlatform.h"
#include "ragwortcart/Runtime/ProgramMain.h"

#include <QCoreApplication>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(fleet, "", "INI file that describes the emulated fleet");
DEFINE_string(address, "127.0.0.1:19000", "address to listen on");
DEFINE_bool(check_settings, false, "check the fleet file and exit");

int main(int argc, char **argv)
{
    ragwort::parseFlags(&argc, &argv, "ragwort-fake-platform --fleet=FILE [--address=IP:PORT]");
    ragwort::Settings settings = ragwort::Settings::fromFile(FLAGS_fleet);
    const ragwort::FleetPlan plan = ragwort::FleetPlan::read(settings);
    if (!ragwort::reportSettingsErrors(settings)) {
        return ragwort::EXIT_BAD_SETTINGS;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const QCoreApplication application(argc, argv);
    const ragwort::SignalWatcher signals([] { QCoreApplication::quit(); });
    ragwort::EventLoop loop;
    ragwort::FakePlatform platform(loop, FLAGS_address, plan);
    const ragwort::Result<std::uint16_t> started = platform.listen();
    if (!started) {
        std::cerr << started.error().describe() << '\n';
        return 1;
    }
    std::thread thread([&loop] { loop.run(); });
    const int code = QCoreApplication::exec();
    loop.stop();
    thread.join();
    return code;
}
