/// \file
/// Implements the startup code shared by all programs.
#include "ragwortcart/Runtime/ProgramMain.h"

#include <QSocketNotifier>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace ragwort {

void parseFlags(int *argc, char ***argv, const std::string &usage)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(RAGWORTCART_VERSION);
    gflags::ParseCommandLineFlags(argc, argv, true);
}

bool reportSettingsErrors(Settings &settings)
{
    const std::vector<SettingsError> errors = settings.finish();
    for (const SettingsError &error : errors) {
        std::cerr << error.describe() << '\n';
    }
    return errors.empty();
}

SignalWatcher::SignalWatcher(std::function<void()> onStop, std::function<void()> onReload) : stop(std::move(onStop)), reload(std::move(onReload))
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (this->reload) {
        sigaddset(&signals, SIGHUP);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    this->descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    this->notifier = new QSocketNotifier(this->descriptor, QSocketNotifier::Read, this);
    connect(this->notifier, &QSocketNotifier::activated, this, [this] {
        signalfd_siginfo received{};
        if (::read(this->descriptor, &received, sizeof received) != static_cast<ssize_t>(sizeof received)) {
            return;
        }
        if (received.ssi_signo == SIGHUP) {
            this->reload();
        } else {
            this->stop();
        }
    });
}

SignalWatcher::~SignalWatcher()
{
    ::close(this->descriptor);
}

} // namespace ragwort
