#include "variant-runner.h"

#include "applehatch/emulator/upstream-server.h"

#include <fstream>
#include <thread>

namespace applehatch::experiment {

namespace {

constexpr std::chrono::seconds warmUp{3};
constexpr milliseconds timelinePeriod{100};

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

auto writeLogs(const std::string &path, const Fleet &fleet, const Reuse &reuse) -> void
{
    if (path.empty()) {
        return;
    }
    std::ofstream(path) << fleet.outputs();
    std::ofstream misses(path + ".misses");
    for (const auto &miss : reuse.misses) {
        misses << miss << '\n';
    }
}

/// What callers saw of one run, and the control bytes at both ends of its window.
struct Observed
{
    std::vector<Turn> turns;
    std::vector<ServiceCall> calls;
    ControlBytes before;
    ControlBytes after;
};

auto drive(Fleet &fleet, const RunPlan &plan, const Deployment &deployment, const Variant &variant,
           Clock::time_point begin) -> Observed
{
    const milliseconds length = plan.length;
    const auto chats = planChats(deployment, length, plan.seed);
    Observed observed;
    std::jthread scraper([&] {
        std::this_thread::sleep_until(begin + warmUp);
        observed.before = readControl(fleet);
        std::this_thread::sleep_until(begin + length);
        observed.after = readControl(fleet);
    });
    std::jthread caller([&] { observed.calls = driveCalls(fleet, deployment, length, plan.seed); });
    observed.turns = driveChats(targetOf(fleet), deployment, chats, length, variant.echoToken);
    caller.join();
    scraper.join();
    return observed;
}

} // namespace

auto runVariant(const RunPlan &plan, const Variant &variant) -> Result
{
    auto deployment = plan.deployment;
    deployment.pool.update(variant.pool);
    const milliseconds length = plan.length;
    Fleet fleet(fleetOptions(deployment, variant));
    Churn churn(fleet, plan.churn, length, plan.seed);
    const auto begin = Clock::now();
    churn.start();
    const auto observed = drive(fleet, plan, deployment, variant, begin);
    const auto live = churn.finish();
    const auto events = readEvents(fleet);
    const Window whole{emulator::clockMs(begin), emulator::clockMs(begin + length)};
    const Window window{emulator::clockMs(begin + warmUp), whole.untilMs};
    Result result;
    result.variant = variant;
    result.deployment = deployment.name;
    result.seed = plan.seed;
    result.seconds = plan.length.count();
    result.loadMultiple = deployment.pool.at("loadMultiple");
    result.reuse = measureReuse(events, live, observed.turns);
    writeLogs(plan.logPath, fleet, result.reuse);
    result.skew = measureSkew(events, live, window, deployment);
    result.control = controlRates(observed.before, observed.after, length - warmUp);
    result.times = measureTimes(observed.turns, deployment);
    result.calls = countCalls(observed.calls, fleet.runs());
    result.timeline = measureTimeline(events, live, whole, result.loadMultiple, timelinePeriod);
    return result;
}

} // namespace applehatch::experiment
