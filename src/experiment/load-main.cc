/// Drives returning chats at a fleet that runs already.
#include "load-plan.h"
#include "measures-sampling.h"
#include "measures-times.h"
#include "plan-program.h"

#include <cstdio>

namespace {

using namespace applehatch;
using namespace experiment;

constexpr double percent = 100;

/// What callers saw; the engines' side is in the fleet's own metrics.
auto printFigures(const LoadPlan &plan, const std::vector<Turn> &turns) -> void
{
    std::vector<double> firstByteMs;
    std::size_t answered = 0;
    std::size_t returns = 0;
    std::size_t warm = 0;
    int refusals = 0;
    for (const auto &turn : turns) {
        refusals += turn.refusals;
        answered += turn.answered ? 1 : 0;
        returns += turn.answered && turn.isReturn ? 1 : 0;
        warm += turn.answered && turn.isReturn && turn.warm ? 1 : 0;
        if (turn.answered) {
            firstByteMs.push_back(static_cast<double>(turn.toFirstByte.count()));
        }
    }
    auto line = nlohmann::json{
        {"turns", turns.size()},
        {"answered", answered},
        {"refusals", refusals},
        {"returns", returns},
        {"warm", warm},
        {"firstByteMs",
         {{"p50", quantile(firstByteMs, 0.5)}, {"p95", quantile(firstByteMs, 0.95)}}}};
    for (const auto &[priority, figures] : measureTimes(turns, plan.deployment)) {
        line["inTimePercent"][std::to_string(priority)] = percent * figures.share();
    }
    std::printf("%s\n", line.dump().c_str());
}

auto run(const std::string &text, bool checkOnly) -> std::vector<settings::Problem>
{
    const auto read = parseLoadPlan(text);
    if (!read.plan || checkOnly) {
        return read.problems;
    }
    const auto &plan = *read.plan;
    const auto chats = planChats(plan.deployment, plan.length, plan.seed);
    printFigures(plan, driveChats(plan.target, plan.deployment, chats, plan.length, true));
    return {};
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runPlanProgram(argc, argv, {"load", "load PLAN [--check]", run});
}
