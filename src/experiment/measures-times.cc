#include "measures-times.h"

namespace applehatch::experiment {

auto TimeFigures::share() const -> double
{
    return turns == 0 ? 0 : static_cast<double>(inTime) / static_cast<double>(turns);
}

auto measureTimes(const std::vector<Turn> &turns, const Deployment &deployment)
    -> std::map<int, TimeFigures>
{
    const auto hasDeadline = deployment.deadline > milliseconds::zero();
    std::map<int, TimeFigures> figures;
    for (const auto &turn : turns) {
        const auto found = deployment.priorities.find(turn.customer);
        auto &row = figures[found == deployment.priorities.end() ? 0 : found->second];
        const auto inTime = !hasDeadline || turn.toEnd <= deployment.deadline;
        ++row.turns;
        row.inTime += turn.answered && inTime ? 1 : 0;
    }
    return figures;
}

} // namespace applehatch::experiment
