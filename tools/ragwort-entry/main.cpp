/// \file
/// Main program of the entry instance.
#include "ragwortcart/Runtime/EntryProcess.h"
#include "ragwortcart/Runtime/ProgramMain.h"

#include <QCoreApplication>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "INI file with the settings of this instance");
DEFINE_bool(check_settings, false, "check the settings and exit");

int main(int argc, char **argv)
{
    ragwort::parseFlags(&argc, &argv, "ragwort-entry --settings=FILE [--check_settings]");
    ragwort::Settings settings = ragwort::Settings::fromFile(FLAGS_settings);
    ragwort::EntrySettings entrySettings = ragwort::EntrySettings::read(settings);
    if (!ragwort::reportSettingsErrors(settings)) {
        return ragwort::EXIT_BAD_SETTINGS;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    QCoreApplication application(argc, argv);
    ragwort::initializeLog("ragwort-entry", entrySettings.instance, entrySettings.logLevel);
    ragwort::EntryProcess *runningProcess = nullptr;
    // Must exist before any thread starts, so that no other thread handles the signals.
    const ragwort::SignalWatcher signals([&runningProcess] {
        if (runningProcess != nullptr) {
            runningProcess->shutDown([] { QCoreApplication::quit(); });
        }
    });
    ragwort::EntryProcess process(std::move(entrySettings));
    runningProcess = &process;
    const ragwort::Result<std::uint16_t> started = process.start();
    if (!started) {
        std::cerr << started.error().describe() << '\n';
        return 1;
    }
    ragwort::logEvent(ragwort::LogLevel::info, "started", {{.key = "version", .value = RAGWORTCART_VERSION}});
    return QCoreApplication::exec();
}
