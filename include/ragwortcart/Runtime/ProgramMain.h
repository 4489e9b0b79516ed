/// \file
/// Provides the startup code shared by all programs: command line flags, settings validation and signal handling.
#ifndef RAGWORTCART_RUNTIME_PROGRAMMAIN_H
#define RAGWORTCART_RUNTIME_PROGRAMMAIN_H

#include "ragwortcart/Support/Settings.h"

#include <QObject>
#include <functional>
#include <string>

class QSocketNotifier;

namespace ragwort {

/// Exit code for invalid settings or arguments.
inline constexpr int EXIT_BAD_SETTINGS = 2;

/// Parses the command line with gflags, including `--version` and `--help`.
void parseFlags(int *argc, char ***argv, const std::string &usage);

/// Completes the validation of \p settings and prints all errors to standard error. Returns true if there are none.
bool reportSettingsErrors(Settings &settings);

/// Calls \p onStop on the Qt event loop for SIGTERM and SIGINT, and \p onReload, if set, for SIGHUP. Must be created before any
/// other thread starts, so that all threads inherit the blocked signals.
class SignalWatcher : public QObject
{
public:
    explicit SignalWatcher(std::function<void()> onStop, std::function<void()> onReload = nullptr);
    ~SignalWatcher() override;

private:
    std::function<void()> stop;
    std::function<void()> reload;
    int descriptor = -1;
    QSocketNotifier *notifier = nullptr;
};

} // namespace ragwort

#endif
