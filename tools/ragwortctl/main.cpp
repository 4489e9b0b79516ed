/// \file
/// The operators' tool.
#include "ragwortcart/Operator/Commands.h"
#include "ragwortcart/Runtime/ProgramMain.h"

#include <QCoreApplication>
#include <gflags/gflags.h>
#include <string>
#include <vector>

DEFINE_string(platform, "127.0.0.1:19000", "address of the platform's key-value service");
DEFINE_uint64(based_on, 0, "the sequence in the store that the change is based on");
DEFINE_bool(wait, false, "wait until the change is in force at every entry instance");
DEFINE_uint64(wait_timeout_ms, 10000, "how long to wait, in milliseconds");
DEFINE_int32(maximum_instances, 8, "for the first apply: the most entry instances that may run at once");

int main(int argc, char **argv)
{
    ragwort::parseFlags(&argc, &argv, "ragwortctl [flags] COMMAND\n" + ragwort::commandHelp());
    const QCoreApplication application(argc, argv);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return ragwort::runCommand(arguments,
                               {.platformAddress = FLAGS_platform,
                                .basedOn = FLAGS_based_on,
                                .wait = FLAGS_wait,
                                .waitTimeout = std::chrono::milliseconds(FLAGS_wait_timeout_ms),
                                .maximumInstances = FLAGS_maximum_instances});
}
