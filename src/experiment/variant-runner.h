/// One variant of an experiment on a fleet of its own.
#pragma once

#include "measures-report.h"

#include <cstdint>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// What is the same for each variant.
struct RunPlan
{
    Deployment deployment;
    std::vector<ChurnStep> churn;
    std::uint64_t seed = 0;
    std::chrono::seconds length{0};
    std::string logPath; ///< For the processes' output; empty keeps none.
};

/// Starts a fleet, drives it for the length of the plan and measures it.
[[nodiscard]] auto runVariant(const RunPlan &plan, const Variant &variant) -> Result;

} // namespace applehatch::experiment
