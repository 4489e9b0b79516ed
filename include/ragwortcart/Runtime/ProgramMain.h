/// \file
/// What the mains of all programs share: flags, checked settings, signals.
#ifndef RAGWORTCART_RUNTIME_PROGRAMMAIN_H
#define RAGWORTCART_RUNTIME_PROGRAMMAIN_H

#include "ragwortcart/Support/Settings.h"

#include <QObject>
#include <functional>
#include <string>

class QSocketNotifier;

namespace ragwort {

/// Exit code for faulty settings or arguments.
inline constexpr int EXIT_BAD_SETTINGS = 2;

/// Parses the command line with gflags, `--version` and `--help` among it.
void parseFlags(int *argc, char ***argv, const std::string &usage);

/// Prints all faults to standard error; true when there are none.
bool reportFaults(Settings &settings);

/// Turns SIGTERM and SIGINT into one call in the Qt event loop, and SIGHUP into another if one is given.
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
