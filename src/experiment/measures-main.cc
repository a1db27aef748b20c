/// The three measures (cache reuse, skew, control traffic) on the real programs on loopback.
#include "variant-runner.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>

DEFINE_int32(seconds, 60, "length of each variant");
DEFINE_uint64(seed, 1, "of the workload and the churn");
DEFINE_bool(curve, false, "the default placement at several values of loadMultiple instead");
DEFINE_string(variant, "", "only the variant of this name");
DEFINE_string(logs, "", "file for the output of the last variant's processes");

namespace {

using namespace applehatch;
using namespace experiment;

auto placements() -> std::vector<Variant>
{
    return {{"default", "default", true},
            {"default, no token", "default", false},
            {"random", "random", true},
            {"least-of-two", "least-of-two", true},
            {"rendezvous-live", "rendezvous-live", true},
            {"consistent-bounded", "consistent-bounded", true}};
}

auto curve() -> std::vector<Variant>
{
    return {{"default", "default", true, {{"loadMultiple", 1.05}}},
            {"default", "default", true, {{"loadMultiple", 1.25}}},
            {"default", "default", true, {{"loadMultiple", 2.0}}},
            {"default", "default", true, {{"loadMultiple", 4.0}}}};
}

auto runAll(const Deployment &deployment) -> void
{
    std::vector<Result> results;
    for (const auto &variant : FLAGS_curve ? curve() : placements()) {
        if (!FLAGS_variant.empty() && FLAGS_variant != variant.name) {
            continue;
        }
        const RunPlan plan{deployment, usualChurn(), FLAGS_seed,
                           std::chrono::seconds(FLAGS_seconds), FLAGS_logs};
        results.push_back(runVariant(plan, variant));
        std::printf("%s\n", jsonLine(results.back()).c_str());
        std::fflush(stdout);
    }
    std::printf("\n%s", table(results).c_str());
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("measures ledgerworks|cwm-taf [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2 || FLAGS_seconds < 10) {
        std::fprintf(stderr,
                     "usage: measures ledgerworks|cwm-taf [--seconds N] [--seed N] "
                     "[--curve] [--variant NAME] [--logs FILE]; N of seconds from 10\n");
        return 2;
    }
    try {
        runAll(deploymentNamed(argv[1]));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the measures failed: %s\n", error.what());
        return 1;
    }
    return 0;
}
