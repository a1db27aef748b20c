/// Runs the experiment that a plan describes, on the real programs on loopback.
#include "experiment-plan.h"
#include "experiment-report.h"
#include "plan-program.h"
#include "variant-runner.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>

DEFINE_string(report, "", "file for the report in HTML");
DEFINE_string(logs, "", "file for the output of the last run's processes");

namespace {

using namespace applehatch;
using namespace experiment;

auto runPlan(const ExperimentPlan &plan) -> std::vector<Result>
{
    std::vector<Result> results;
    for (const auto &variant : plan.variants) {
        for (const auto seed : plan.seeds) {
            const RunPlan run{plan.deployment, plan.churn, seed, plan.length, FLAGS_logs};
            results.push_back(runVariant(run, variant));
            std::printf("%s\n", jsonLine(results.back()).c_str());
            std::fflush(stdout);
        }
    }
    return results;
}

auto run(const std::string &text, bool checkOnly) -> std::vector<settings::Problem>
{
    const auto read = parsePlan(text);
    if (!read.plan || checkOnly) {
        return read.problems;
    }
    const auto results = runPlan(*read.plan);
    std::printf("\n%s", table(results).c_str());
    if (!FLAGS_report.empty()) {
        std::ofstream(FLAGS_report) << htmlReport(read.plan->deployment.name, results);
    }
    return {};
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runPlanProgram(
        argc, argv, {"experiment", "experiment PLAN [--check] [--report FILE] [--logs FILE]", run});
}
