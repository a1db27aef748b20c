/// Validation of a settings file before it is published.
#pragma once

#include "applehatch/settings/settings.h"

#include <string>
#include <vector>

namespace applehatch::settings {

/// Output of `--check FILE` and the exit code of the process: 0 accepted, 1 refused.
struct CheckReport
{
    std::string text;
    int exitCode = 0;
};

/// Warns of values that are valid but hardly intended. `team` was parsed from `text`, which gives
/// the line numbers. Each warning begins with `warning: `.
///
/// Warns of a pool's `loadMultiple` when the load bounds of its upstreams, with half their slots in
/// use, do not exceed their even shares of the load, rounded up.
[[nodiscard]] auto settingsWarnings(const Team &team, const std::string &text)
    -> std::vector<Problem>;

/// Validates a team's subtree exactly as the programs do and prints one line per problem:
/// `LINE: PATH: expected ..., found ...`. Warnings leave the exit code at 0.
[[nodiscard]] auto checkSettings(const std::string &text) -> CheckReport;

/// Formats `problems` as `checkSettings` prints them.
[[nodiscard]] auto printProblems(const std::vector<Problem> &problems) -> std::string;

} // namespace applehatch::settings
