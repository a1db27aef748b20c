/// Load for a fleet that runs already, read from JSON with comments and checked.
#pragma once

#include "measures-workload.h"

#include "applehatch/settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace applehatch::experiment {

struct LoadPlan
{
    ChatTarget target;
    Deployment deployment; ///< Its customers and its workload; it starts no engine.
    std::uint64_t seed = 1;
    std::chrono::seconds length{0};
};

/// A plan, or every problem of its text.
struct LoadPlanResult
{
    std::optional<LoadPlan> plan;
    std::vector<settings::Problem> problems; ///< In the order of their lines.
};

/// Checks all of `text`. An address that is not loopback is refused unless the plan says
/// `"allowOtherHosts": true`, so that no example loads a fleet at work by mistake.
[[nodiscard]] auto parseLoadPlan(const std::string &text) -> LoadPlanResult;

} // namespace applehatch::experiment
