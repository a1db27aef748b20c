/// Turns answered within their deadline, by priority.
#pragma once

#include "measures-workload.h"

#include <map>
#include <vector>

namespace applehatch::experiment {

struct TimeFigures
{
    std::size_t turns = 0;
    std::size_t inTime = 0; ///< Whole within the deadline, with all sends of the turn.

    [[nodiscard]] auto share() const -> double;
};

/// By priority, the highest last. Without a stated deadline every answered turn is in time.
[[nodiscard]] auto measureTimes(const std::vector<Turn> &turns, const Deployment &deployment)
    -> std::map<int, TimeFigures>;

} // namespace applehatch::experiment
