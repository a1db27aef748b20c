/// What one experiment runs, read from JSON with comments and checked.
#pragma once

#include "measures-report.h"

#include "applehatch/settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// A whole experiment: each variant runs once with each seed.
struct ExperimentPlan
{
    Deployment deployment;
    std::vector<ChurnStep> churn;
    std::vector<Variant> variants;
    std::vector<std::uint64_t> seeds;
    std::chrono::seconds length{0}; ///< Of each run.
};

/// A plan, or every problem of its text.
struct ExperimentPlanResult
{
    std::optional<ExperimentPlan> plan;
    std::vector<settings::Problem> problems; ///< In the order of their lines.
};

/// Checks all of `text` and tells all problems at once.
[[nodiscard]] auto parsePlan(const std::string &text) -> ExperimentPlanResult;

} // namespace applehatch::experiment
