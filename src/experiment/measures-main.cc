/// The three measures (cache reuse, skew, control traffic) on the real programs on loopback.
#include "measures-report.h"

#include "applehatch/emulator/upstream-server.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <fstream>

DEFINE_int32(seconds, 60, "length of each variant");
DEFINE_uint64(seed, 1, "of the workload and the churn");
DEFINE_bool(curve, false, "the default placement at several values of loadMultiple instead");
DEFINE_string(variant, "", "only the variant of this name");
DEFINE_string(logs, "", "file for the output of the last variant's processes");

namespace {

using namespace applehatch;
using namespace experiment;

constexpr std::chrono::seconds warmUp{3};

auto placements() -> std::vector<Variant>
{
    return {{"default", "default", true, 0},
            {"default, no token", "default", false, 0},
            {"random", "random", true, 0},
            {"least-of-two", "least-of-two", true, 0},
            {"rendezvous-live", "rendezvous-live", true, 0},
            {"consistent-bounded", "consistent-bounded", true, 0}};
}

auto curve() -> std::vector<Variant>
{
    return {{"default", "default", true, 1.05},
            {"default", "default", true, 1.25},
            {"default", "default", true, 2.0},
            {"default", "default", true, 4.0}};
}

auto fleetOptions(const Deployment &deployment, const Variant &variant) -> FleetOptions
{
    FleetOptions options;
    options.engines = deployment.engines;
    options.services = deployment.services;
    options.routers = deployment.routers;
    options.dataCenters = deployment.dataCenters;
    options.slots = deployment.slots;
    options.tokensPerSecond = deployment.tokensPerSecond;
    options.coldPrefill = deployment.coldPrefill;
    options.pool = deployment.pool;
    options.customers = deployment.customers;
    options.engineFlags = {"--threads", "64", "--cache_chats",
                           std::to_string(deployment.cacheChats)};
    options.routerFlags = {"--placement", variant.placement};
    options.ownHostLists = true;
    return options;
}

auto writeLogs(const Fleet &fleet, const Reuse &reuse) -> void
{
    if (FLAGS_logs.empty()) {
        return;
    }
    std::ofstream(FLAGS_logs) << fleet.outputs();
    std::ofstream misses(FLAGS_logs + ".misses");
    for (const auto &miss : reuse.misses) {
        misses << miss << '\n';
    }
}

auto runVariant(Deployment deployment, const Variant &variant) -> Result
{
    if (variant.loadMultiple > 0) {
        deployment.pool["loadMultiple"] = variant.loadMultiple;
    }
    const milliseconds length = std::chrono::seconds(FLAGS_seconds);
    const auto chats = planChats(deployment, length, FLAGS_seed);
    Fleet fleet(fleetOptions(deployment, variant));
    Churn churn(fleet, length, FLAGS_seed);
    const auto begin = Clock::now();
    churn.start();
    ControlBytes before;
    ControlBytes after;
    std::jthread scraper([&] {
        std::this_thread::sleep_until(begin + warmUp);
        before = readControl(fleet);
        std::this_thread::sleep_until(begin + length);
        after = readControl(fleet);
    });
    const auto turns = driveChats(fleet, deployment, chats, length, variant.echoToken);
    scraper.join();
    const auto live = churn.finish();
    const auto events = readEvents(fleet);
    const Window window{emulator::clockMs(begin + warmUp), emulator::clockMs(begin + length)};
    Result result;
    result.variant = variant;
    result.deployment = deployment.name;
    result.seed = FLAGS_seed;
    result.seconds = FLAGS_seconds;
    result.loadMultiple = deployment.pool.at("loadMultiple");
    result.reuse = measureReuse(events, live, turns);
    writeLogs(fleet, result.reuse);
    result.skew = measureSkew(events, live, window, deployment);
    result.control = controlRates(before, after, length - warmUp);
    return result;
}

auto runAll(const Deployment &deployment) -> void
{
    std::vector<Result> results;
    for (const auto &variant : FLAGS_curve ? curve() : placements()) {
        if (!FLAGS_variant.empty() && FLAGS_variant != variant.name) {
            continue;
        }
        results.push_back(runVariant(deployment, variant));
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
