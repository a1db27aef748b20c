#include "engine-pool.h"

#include "applehatch/direct/choice.h"
#include "applehatch/direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

auto viewsOf(const UpstreamList &list) -> std::vector<UpstreamView>
{
    std::vector<UpstreamView> views;
    for (const auto &upstream : list)
        views.push_back({.upstream = &upstream});
    return views;
}

/// Results of a simulated minute.
struct Results
{
    /// Requests sent to an engine without the context while another held it.
    std::uint64_t misses = 0;
    /// Those of `misses` whose context was fetched from an engine that held it.
    std::uint64_t fetched = 0;
    double worstSkew = 0; ///< Highest sampled ratio of an engine's load, less 3, to the mean load.
    std::uint64_t requests = 0;
};

/// Creates three routers. Together they send 90 chats a second, with 180 contexts, to 12 engines,
/// where each chat runs for 2 s. This is a normal day of the smaller of the two deployments.
auto newFleet(const UpstreamList &list, Instant now) -> std::vector<Dispatcher>
{
    constexpr std::size_t routers = 3;
    std::vector<Dispatcher> fleet;
    for (std::size_t i = 0; i < routers; ++i) {
        fleet.emplace_back(DispatcherOptions{"here", i + 1}, RetryLimits{}, now);
        fleet.back().setConfiguration(poolConfiguration());
        fleet.back().setUpstreams(list, now);
    }
    return fleet;
}

/// Simulates a minute of requests. At `allRestartAt` all routers restart without state, and only
/// later requests are counted.
auto simulateMinute(bool reportToPeers, std::optional<Instant> allRestartAt = std::nullopt)
    -> Results
{
    const auto list = engines(12);
    auto fleet = newFleet(list, start);
    const auto routers = fleet.size();
    struct Running
    {
        Instant until;
        std::size_t router;
        UpstreamId upstream;
        auto operator<(const Running &other) const -> bool { return until > other.until; }
    };
    std::priority_queue<Running> running;
    std::map<UpstreamId, int> atEngine;
    std::map<std::uint64_t, std::set<UpstreamId>> holdersByContext;
    std::mt19937_64 random(20261203);
    Results results;
    auto nextReport = start;
    for (auto now = start; now < start + 60s; now += 11ms) {
        while (!running.empty() && running.top().until <= now) {
            fleet[running.top().router].noteDone(running.top().upstream, {});
            --atEngine[running.top().upstream];
            running.pop();
        }
        if (allRestartAt && now >= *allRestartAt) {
            allRestartAt.reset();
            fleet = newFleet(list, now);
            running = {};
            atEngine.clear();
            results = {};
        }
        if (reportToPeers && now >= nextReport) {
            nextReport = now + 200ms;
            for (std::size_t from = 0; from < routers; ++from) {
                for (std::size_t to = 0; to < routers; ++to) {
                    if (from == to)
                        continue;
                    fleet[to].loads().notePeer(from, fleet[from].loads().ownLoads(), now);
                    fleet[to].contexts().notePeer(fleet[from].contexts().recentUses(now), now);
                }
            }
        }
        const auto router = random() % routers;
        const auto context = random() % 180;
        RoutingInput input;
        input.prompt = {{context, 10000}, {random(), 1000}};
        auto &dispatcher = fleet[router];
        const auto permit = std::get<Permit>(dispatcher.admit("a", "/", std::nullopt));
        const auto choice = std::get<Choice>(dispatcher.choose(permit, input, now));
        const auto id = choice.upstream.id;
        auto &holders = holdersByContext[context];
        if (!holders.contains(id) && !holders.empty()) {
            ++results.misses;
            const auto isHolder = [&](const Upstream &upstream) {
                return choice.fetchFrom == upstream.address && holders.contains(upstream.id);
            };
            results.fetched += std::any_of(list.begin(), list.end(), isHolder) ? 1 : 0;
        }
        holders.insert(id);
        dispatcher.noteSent(id, input, now);
        ++atEngine[id];
        ++results.requests;
        running.push({now + 1s + std::chrono::milliseconds(random() % 2000), router, id});
        const auto mean = static_cast<double>(running.size()) / static_cast<double>(list.size());
        if (now > start + 5s)
            results.worstSkew = std::max(results.worstSkew, (atEngine[id] - 3) / mean);
    }
    return results;
}

} // namespace

BOOST_AUTO_TEST_SUITE(choice)

// Callers send requests with the same contexts all day. With placements reported by its peers, a
// router has almost no context read again, and contexts that move to another engine are fetched.
// Without the reports, routers that saw different loads sent one context to several engines, each
// of which read it: 9 of 100 requests.
BOOST_AUTO_TEST_CASE(shared_placements_spare_contexts_from_being_read_again)
{
    const auto before = simulateMinute(false);
    const auto after = simulateMinute(true);
    BOOST_TEST_MESSAGE("moved to another engine, of "
                       << after.requests << " requests: " << before.misses << " alone, "
                       << after.misses << " with reports from peers");
    const auto readAnew = after.misses - after.fetched;
    BOOST_TEST(readAnew * 100 <= after.requests); // At most one in a hundred.
    BOOST_TEST(after.misses <= before.misses);
}

// All routers lose power at once. After the restart they know no placement, although the engines
// still hold nearly all contexts. Half of the requests go to the candidate that does not hold the
// context, and its engine fetches it from the other one.
BOOST_AUTO_TEST_CASE(contexts_are_found_again_after_all_routers_restart)
{
    const auto results = simulateMinute(true, start + 40s);
    BOOST_TEST_MESSAGE("after the loss, of " << results.requests << " requests: " << results.misses
                                             << " at another engine, " << results.fetched
                                             << " fetched");
    BOOST_TEST(results.misses > 20U); // Otherwise the next check would be vacuous.
    BOOST_TEST((results.misses - results.fetched) * 100 <= results.requests);
}

// The bound on an engine's load holds for all routers together: twice the mean plus three.
BOOST_AUTO_TEST_CASE(no_engine_carries_more_than_twice_the_mean)
{
    const auto results = simulateMinute(true);
    BOOST_TEST_MESSAGE("busiest engine, less 3, over the mean: " << results.worstSkew);
    BOOST_TEST(results.worstSkew <= 2.0);
}

// A context stays at the engine that used it last unless that engine is over the bound; then a
// second engine takes it, and later requests stay there.
BOOST_AUTO_TEST_CASE(a_context_stays_until_its_engine_is_full)
{
    const auto list = engines(6);
    auto views = viewsOf(list);
    const auto *first = chooseEngine(42, std::nullopt, views, {});
    BOOST_TEST(chooseEngine(42, first->id, views, {}) == first);
    for (auto &view : views)
        view.load = view.upstream == first ? 20 : 4;
    const auto *second = chooseEngine(42, first->id, views, {});
    BOOST_TEST(second != first);
    BOOST_TEST(chooseEngine(42, second->id, views, {}) == second);
}

// An engine fails half of its requests or is unreachable. Other engines of its service take its
// chats.
BOOST_AUTO_TEST_CASE(failing_engines_are_avoided)
{
    const auto list = engines(4);
    auto views = viewsOf(list);
    const auto *first = chooseEngine(42, std::nullopt, views, {});
    for (auto &view : views)
        view.failureShare = view.upstream == first ? 0.5 : 0.02;
    BOOST_TEST(chooseEngine(42, first->id, views, {}) != first);
    for (auto &view : views) {
        view.failureShare = 0;
        view.paused = view.upstream == first;
    }
    BOOST_TEST(chooseEngine(42, first->id, views, {}) != first);
}

// All upstreams fail at the same rate. Excluding the worst would only overload the rest, so none is
// excluded.
BOOST_AUTO_TEST_CASE(no_engine_is_excluded_when_all_fail_alike)
{
    const auto list = engines(4);
    auto views = viewsOf(list);
    for (auto &view : views)
        view.failureShare = 0.5;
    std::set<const Upstream *> chosen;
    for (std::uint64_t context = 0; context < 64; ++context)
        chosen.insert(chooseEngine(context, std::nullopt, views, {}));
    BOOST_TEST(chosen.size() == 4);
}

BOOST_AUTO_TEST_CASE(no_usable_upstream_gives_null)
{
    BOOST_TEST(chooseEngine(1, std::nullopt, {}, {}) == nullptr);
    BOOST_TEST(chooseService({}, "here", 1) == nullptr);
}

// Requests to services that are not models go to the least loaded upstream, in the same data centre
// if the loads are equal.
BOOST_AUTO_TEST_CASE(plain_calls_go_to_the_least_loaded_nearby)
{
    auto list = engines(2);
    for (auto &upstream : list)
        upstream.slots = 6;
    auto views = viewsOf(list);
    BOOST_TEST(chooseService(views, "there", 3) == &list[1]);
    views[1].load = 3;
    BOOST_TEST(chooseService(views, "there", 3) == &list[0]);
}

// A peer reports where it sent a context. Placements expire when they are not used.
BOOST_AUTO_TEST_CASE(placements_are_learned_and_expire)
{
    ContextMap contexts;
    contexts.noteSent({5, 1}, start);
    contexts.notePeer({{5, 2}}, start + 1s);
    BOOST_TEST((contexts.upstreamsOf(5, start + 1s) == std::vector<UpstreamId>{2, 1}));
    BOOST_TEST(contexts.recentUses(start + 100ms).size() == 1);
    BOOST_TEST(contexts.recentUses(start + 2s).empty());
    BOOST_TEST(contexts.upstreamsOf(5, start + 60s).empty());
}

// A context that moved to another engine, or that was not requested for half a minute, no longer
// counts towards an engine's memory; otherwise engines would appear full forever.
BOOST_AUTO_TEST_CASE(memory_of_contexts_that_moved_or_expired_is_free)
{
    ContextMap contexts;
    contexts.noteSent({5, 1, 1000}, start);
    contexts.noteSent({6, 1, 300}, start);
    contexts.noteSent({6, 1, 300}, start + 1s);
    BOOST_TEST(contexts.tokensAt(1) == 1300U);
    contexts.notePeer({{5, 2, 1000}}, start + 1s);
    BOOST_TEST(contexts.tokensAt(1) == 300U);
    BOOST_TEST(contexts.tokensAt(2) == 1000U);
    contexts.expire(start + 32s);
    BOOST_TEST(contexts.tokensAt(1) == 0U);
    BOOST_TEST(contexts.tokensAt(2) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
