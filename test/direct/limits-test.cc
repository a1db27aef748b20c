#include "applehatch/direct/load-tracker.h"
#include "applehatch/direct/retry-budget.h"
#include "applehatch/direct/upstream-health.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <vector>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_limits)

// Upstreams fail all requests, and every router would retry each of them. Three routers that never
// hear one another keep the fleet's retries within the ratio and the extra in any window, also when
// one of them is killed and restarts without state.
BOOST_AUTO_TEST_CASE(retries_keep_to_the_budget_of_the_whole_fleet)
{
    const RetryLimits limits{0.2, 10s, 52};
    constexpr std::size_t routers = 3;
    constexpr auto step = 25ms; // 40 requests a second at each router.
    std::vector<RetryBudget> budgets(routers, RetryBudget(limits, start - 60s));
    std::deque<Instant> requests;
    std::deque<Instant> retries;
    std::size_t granted = 0;
    for (auto now = start; now < start + 60s; now += step) {
        if (now == start + 30s)
            budgets[0] = RetryBudget(limits, now);
        for (auto &budget : budgets) {
            budget.noteRequest("pool", now);
            requests.push_back(now);
            if (!budget.take("pool", routers, now))
                continue;
            ++granted;
            retries.push_back(now);
        }
        while (now - requests.front() > limits.window)
            requests.pop_front();
        while (!retries.empty() && now - retries.front() > limits.window)
            retries.pop_front();
        const auto allowed = limits.ratio * static_cast<double>(requests.size()) + limits.extra;
        BOOST_REQUIRE(static_cast<double>(retries.size()) <= allowed);
    }
    BOOST_TEST(granted > 600); // The budget is also used: 7,200 requests allow about 1,700.
}

// An upstream fails half of its requests while it reports itself healthy. Its failure share rises
// after a few answers and decays within seconds after it has recovered.
BOOST_AUTO_TEST_CASE(an_upstream_is_judged_by_its_answers)
{
    UpstreamHealth health;
    for (int i = 0; i < 8; ++i)
        health.note(1, i % 2 == 0 ? Outcome::Failed : Outcome::Served, start + i * 100ms);
    BOOST_TEST(health.failureShare(1, start + 800ms) > 0.25);
    BOOST_TEST(health.failureShare(1, start + 8s) < 0.05);
    BOOST_TEST(health.failureShare(2, start) == 0);
}

// A router has just started and seen a few first events from each of four engines, three of them
// equally fast. If these counted as slow, they would get a lower bound and their contexts would
// scatter. The fourth, which is four times slower, is recognized as slow.
BOOST_AUTO_TEST_CASE(only_slow_engines_count_as_slow)
{
    UpstreamHealth health;
    for (int round = 0; round < 6; ++round) {
        for (UpstreamId engine = 1; engine <= 4; ++engine)
            health.noteFirstEvent(engine, engine == 4 ? 400ms : 100ms);
    }
    BOOST_TEST(health.slowness(1) < 1.5);
    BOOST_TEST(health.slowness(4) > 2);
}

// An upstream's host does not respond. The upstream is paused, for longer after each further
// failure, and used again after its first answer.
BOOST_AUTO_TEST_CASE(an_unreachable_upstream_is_paused)
{
    UpstreamHealth health;
    health.note(1, Outcome::Unreachable, start);
    BOOST_TEST(health.isPaused(1, start + 300ms));
    BOOST_TEST(!health.isPaused(1, start + 500ms));
    health.note(1, Outcome::Unreachable, start + 500ms);
    BOOST_TEST(health.isPaused(1, start + 1200ms));
    health.note(1, Outcome::Served, start + 1250ms);
    BOOST_TEST(!health.isPaused(1, start + 1260ms));
}

// Each router sees a third of the requests at an upstream. With the peers' counts the bound holds
// for the sum; expired counts of a silent peer are dropped.
BOOST_AUTO_TEST_CASE(loads_are_those_of_the_whole_fleet)
{
    LoadTracker loads;
    loads.noteSent(1);
    loads.notePeer(11, {{1, 4}}, start);
    loads.notePeer(12, {{1, 5}}, start + 1s);
    BOOST_TEST(loads.fleetLoad(1, start + 1s) == 10);
    BOOST_TEST(loads.fleetLoad(1, start + 2s) == 6);
    loads.noteReport(1, 20, 2, start + 2s);
    BOOST_TEST(loads.fleetLoad(1, start + 2s) == 22);
    loads.noteSent(1);
    BOOST_TEST(loads.fleetLoad(1, start + 2s) == 23);
    BOOST_TEST(loads.fleetLoad(1, start + 3s) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
