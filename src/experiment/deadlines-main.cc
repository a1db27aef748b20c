/// Answers within their deadline under overload, for each order of the pool's queue.
#include "measures-sampling.h"
#include "overload.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>

DEFINE_int32(seconds, 20, "length of each run");
DEFINE_string(seeds, "1,2", "of the arrivals, with commas between");
DEFINE_double(offered, 1.75, "load offered, as a multiple of what the pool can run");
DEFINE_string(order, "", "only this order of the queue");
DEFINE_string(logs, "", "file for the output of the last run's processes");

namespace {

using namespace applehatch;
using namespace experiment;

constexpr double percent = 100;

auto fleetOptions(const Overload &overload, const std::string &order) -> FleetOptions
{
    FleetOptions options;
    options.engines = overload.engines;
    options.routers = overload.routers;
    options.slots = overload.slots;
    options.tokensPerSecond = overload.tokensPerSecond;
    options.coldPrefill = overload.prefill;
    options.pool = {{"queueOrder", order}, {"queueWaitMs", 8000}, {"loadMultiple", 1.5}};
    for (const auto &priorityClass : overload.classes) {
        options.customers[priorityClass.customer] = {{"weight", 1.0}};
    }
    return options;
}

/// Share of the engines' runs that were not finished.
auto wastedRuns(const Fleet &fleet) -> double
{
    std::size_t ended = 0;
    std::size_t wasted = 0;
    for (const auto &run : fleet.runs()) {
        ended += run.operation == "end" ? 1 : 0;
        wasted += run.operation == "end" && run.outcome != "whole" ? 1 : 0;
    }
    return ended == 0 ? 0 : static_cast<double>(wasted) / static_cast<double>(ended);
}

auto kindsText(const DeadlineFigures &figures) -> std::string
{
    std::ostringstream text;
    for (const auto &[kind, count] : figures.kinds) {
        text << kind << ' ' << count << ' ';
    }
    return text.str();
}

auto printRows(const Overload &overload, const std::string &order, std::uint64_t seed,
               const std::vector<DeadlineFigures> &figures, double wasted) -> void
{
    for (std::size_t place = 0; place < figures.size(); ++place) {
        const auto &row = figures[place];
        const auto isSum = place == overload.classes.size();
        const auto name = isSum ? "all" : std::to_string(overload.classes[place].priority);
        const auto share = [&row](std::size_t count) {
            return row.sent == 0
                ? 0.0
                : percent * static_cast<double>(count) / static_cast<double>(row.sent);
        };
        std::printf("| %s | %llu | %s | %zu | %.1f | %.1f | %.1f | %.1f | %zu | %.0f | %.0f | %s | "
                    "%s |\n",
                    order.c_str(), static_cast<unsigned long long>(seed), name.c_str(), row.sent,
                    share(row.inTime), share(row.late), share(row.refused), share(row.givenUpLate),
                    row.noReturn, quantile(row.refusalMs, 0.5), quantile(row.refusalMs, 0.95),
                    isSum ? std::to_string(static_cast<int>(percent * wasted)).c_str() : "",
                    kindsText(row).c_str());
    }
    std::fflush(stdout);
}

auto runOne(const Overload &overload, const std::string &order, std::uint64_t seed) -> void
{
    const auto requests = planRequests(overload, std::chrono::seconds(FLAGS_seconds), seed);
    Fleet fleet(fleetOptions(overload, order));
    const auto outcomes = driveRequests(fleet, overload, requests);
    const auto figures = countDeadlines(outcomes, overload.classes.size());
    printRows(overload, order, seed, figures, wastedRuns(fleet));
    if (!FLAGS_logs.empty()) {
        std::ofstream(FLAGS_logs) << fleet.outputs();
    }
}

auto runAll() -> void
{
    auto overload = housingOverload();
    overload.offered = FLAGS_offered;
    std::printf("| queueOrder | seed | priority | sent | in time %% | late %% | refused early %% | "
                "given up late %% | without Retry-After | refusal ms p50 | p95 | runs not finished "
                "%% | kinds of refusal |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto *order : {"first-come", "earliest-deadline", "deadline-with-refusal"}) {
        if (!FLAGS_order.empty() && FLAGS_order != order) {
            continue;
        }
        std::istringstream seeds(FLAGS_seeds);
        std::string seed;
        while (std::getline(seeds, seed, ',')) {
            runOne(overload, order, std::stoull(seed));
        }
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("deadlines [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        runAll();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the run failed: %s\n", error.what());
        return 1;
    }
    return 0;
}
