/// \file
/// Main program of the operators' command line tool.
#include "ragwortcart/Operator/Commands.h"
#include "ragwortcart/Runtime/ProgramMain.h"

#include <QCoreApplication>
#include <gflags/gflags.h>
#include <string>
#include <vector>

DEFINE_string(settings, "", "INI file with the settings of this tool; flags take precedence");
DEFINE_bool(check_settings, false, "check the settings and exit");
DEFINE_string(platform, "", "address of the platform; takes precedence over the settings");
DEFINE_uint64(based_on, 0, "sequence number in the store on which the change is based");
DEFINE_bool(wait, false, "wait until the change is in force at every entry instance");

static constexpr int DEFAULT_MAXIMUM_INSTANCES = 8;

/// Reads the options from the settings. Absent keys have their defaults.
static ragwort::CommandOptions readOptions(ragwort::Settings &settings)
{
    ragwort::CommandOptions options;
    options.platformAddress = settings.address("platform", "address", "127.0.0.1:19000");
    options.waitTimeout = settings.duration(
        "apply", "wait_timeout", {.minimum = std::chrono::milliseconds(100), .maximum = std::chrono::minutes(10), .fallback = std::chrono::seconds(10)});
    options.maximumInstances
        = static_cast<int>(settings.integer("apply", "maximum_instances", {.minimum = 1, .maximum = 100'000, .fallback = DEFAULT_MAXIMUM_INSTANCES}));
    return options;
}

int main(int argc, char **argv)
{
    ragwort::parseFlags(&argc, &argv, "ragwortctl [flags] COMMAND\n" + ragwort::commandHelp());
    ragwort::Settings settings = FLAGS_settings.empty() ? ragwort::Settings::fromText("(no settings)", "") : ragwort::Settings::fromFile(FLAGS_settings);
    ragwort::CommandOptions options = readOptions(settings);
    if (!ragwort::reportSettingsErrors(settings)) {
        return ragwort::EXIT_BAD_SETTINGS;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    if (!FLAGS_platform.empty()) {
        options.platformAddress = FLAGS_platform;
    }
    options.basedOn = FLAGS_based_on;
    options.wait = FLAGS_wait;
    const QCoreApplication application(argc, argv);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return ragwort::runCommand(arguments, options);
}
