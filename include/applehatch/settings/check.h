/// The check of a settings file before it is published.
#pragma once

#include "applehatch/settings/settings.h"

#include <string>
#include <vector>

namespace applehatch::settings {

/// What `--check FILE` prints, and the process's exit code: 0 accepted, 1 refused.
struct CheckReport
{
    std::string text;
    int exitCode = 0;
};

/// Checks a team's subtree exactly as the programs do, one line for each problem:
/// `LINE: PATH: expected ..., found ...`.
[[nodiscard]] auto checkSettings(const std::string &text) -> CheckReport;

/// The lines that `checkSettings` prints for `problems`.
[[nodiscard]] auto printProblems(const std::vector<Problem> &problems) -> std::string;

} // namespace applehatch::settings
