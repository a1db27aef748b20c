/// Drives returning chats at a fleet that runs already.
#include "load-plan.h"
#include "measures-sampling.h"
#include "measures-times.h"

#include "applehatch/settings/check.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>

DEFINE_bool(check, false, "only check the plan");

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

auto runFile(const std::string &path) -> int
{
    std::ifstream file(path);
    if (!file) {
        std::fprintf(stderr, "cannot read %s\n", path.c_str());
        return 2;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto read = parseLoadPlan(text.str());
    if (!read.plan) {
        std::printf("%s", settings::printProblems(read.problems).c_str());
        return 1;
    }
    if (FLAGS_check) {
        std::printf("accepted\n");
        return 0;
    }
    const auto &plan = *read.plan;
    const auto chats = planChats(plan.deployment, plan.length, plan.seed);
    printFigures(plan, driveChats(plan.target, plan.deployment, chats, plan.length, true));
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("load PLAN [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::fprintf(stderr, "usage: load PLAN [--check]\n");
        return 2;
    }
    try {
        return runFile(argv[1]);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the load failed: %s\n", error.what());
        return 1;
    }
}
