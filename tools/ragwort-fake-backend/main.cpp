/// \file
/// Main program of the emulated backend servers.
#include "ragwortcart/Emulator/FakeBackend.h"
#include "ragwortcart/Runtime/ProgramMain.h"

#include <QCoreApplication>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(fleet, "", "INI file that describes the emulated fleet");
DEFINE_string(control, "127.0.0.1:19001", "address that accepts control requests, such as fault injection");
DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_bool(check_settings, false, "check the fleet file and exit");

int main(int argc, char **argv)
{
    ragwort::parseFlags(&argc, &argv, "ragwort-fake-backend --fleet=FILE [--control=IP:PORT] [--seed=N]");
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
    ragwort::FakeBackendFleet fleet(loop, {.plan = plan, .controlAddress = FLAGS_control, .seed = FLAGS_seed});
    const ragwort::Result<std::uint16_t> started = fleet.start();
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
