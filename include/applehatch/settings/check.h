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

/// What `team`, read from `text`, may ask for and yet hardly means; each opens with `warning: `.
///
/// A pool's `loadMultiple` is told of when its upstreams' bounds, with half their slots in use, are
/// no more than their even shares of the load, rounded up.
[[nodiscard]] auto settingsWarnings(const Team &team, const std::string &text)
    -> std::vector<Problem>;

/// Checks a team's subtree exactly as the programs do, one line for each problem:
/// `LINE: PATH: expected ..., found ...`. Warnings leave the exit code at 0.
[[nodiscard]] auto checkSettings(const std::string &text) -> CheckReport;

/// The lines that `checkSettings` prints for `problems`.
[[nodiscard]] auto printProblems(const std::vector<Problem> &problems) -> std::string;

} // namespace applehatch::settings
