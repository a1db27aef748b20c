/// Runs the experiment that a plan describes, on the real programs on loopback.
#include "experiment-plan.h"
#include "experiment-report.h"
#include "variant-runner.h"

#include "applehatch/settings/check.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>

DEFINE_bool(check, false, "only check the plan");
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

auto runFile(const std::string &path) -> int
{
    std::ifstream file(path);
    if (!file) {
        std::fprintf(stderr, "cannot read %s\n", path.c_str());
        return 2;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto read = parsePlan(text.str());
    if (!read.plan) {
        std::printf("%s", settings::printProblems(read.problems).c_str());
        return 1;
    }
    if (FLAGS_check) {
        std::printf("accepted\n");
        return 0;
    }
    const auto results = runPlan(*read.plan);
    std::printf("\n%s", table(results).c_str());
    if (!FLAGS_report.empty()) {
        std::ofstream(FLAGS_report) << htmlReport(read.plan->deployment.name, results);
    }
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("experiment PLAN [--check] [--report FILE] [--logs FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::fprintf(stderr, "usage: experiment PLAN [--check] [--report FILE] [--logs FILE]\n");
        return 2;
    }
    try {
        return runFile(argv[1]);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the experiment failed: %s\n", error.what());
        return 1;
    }
}
