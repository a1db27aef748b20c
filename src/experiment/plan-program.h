/// What the programs that carry out a plan have in common.
#pragma once

#include "applehatch/settings/check.h"

#include <functional>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// How one program carries out its plan.
struct PlanProgram
{
    std::string name;  ///< Of what it does, for the message that it failed.
    std::string usage; ///< One line.
    /// Carries out the plan in `text`, or with `checkOnly` only reads it; gives its problems.
    std::function<std::vector<settings::Problem>(const std::string &text, bool checkOnly)> run;
};

/// Reads the command line and the plan that it names, and runs it. Gives the exit code: 0 when it
/// was carried out or `--check` accepts it, 1 when it has problems or failed, 2 for a wrong call.
[[nodiscard]] auto runPlanProgram(int argc, char **argv, const PlanProgram &program) -> int;

} // namespace applehatch::experiment
