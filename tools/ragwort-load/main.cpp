/// \file
/// Main program of the load generator and experiment runner.
#include "ragwortcart/Emulator/LoadRun.h"
#include "ragwortcart/Runtime/ProgramMain.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(experiment, "", "INI file that describes the load, the control requests to the emulators and the measurement windows");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_bool(check_settings, false, "check the experiment file and exit");
DEFINE_uint64(seed, 0, "overrides the seed in the file");

int main(int argc, char **argv)
{
    ragwort::parseFlags(&argc, &argv, "ragwort-load --experiment=FILE [--json] [--seed=N]");
    ragwort::Settings settings = ragwort::Settings::fromFile(FLAGS_experiment);
    ragwort::LoadPlan plan = ragwort::LoadPlan::read(settings);
    if (!ragwort::reportSettingsErrors(settings)) {
        return ragwort::EXIT_BAD_SETTINGS;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    if (FLAGS_seed != 0) {
        plan.seed = FLAGS_seed;
    }
    const std::vector<ragwort::LoadRow> rows = ragwort::runLoad(plan);
    std::cout << (FLAGS_json ? ragwort::formatJson(rows) : ragwort::formatTable(rows));
    return 0;
}
