#include "applehatch/direct/cold-upstreams.h"

#include "engine-pool.h"

#include "applehatch/direct/cold-share.h"

#include "applehatch/direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);
constexpr UpstreamId upstream = 7;
/// Past the time for which a process that just started sends nothing to cold upstreams.
constexpr auto later = start + 10s;

/// A router alone in its fleet.
auto loneShare() -> ColdShare
{
    ColdShare share(1, start);
    share.setFleet({{}, true, 1});
    return share;
}

auto withColdLeft(UpstreamList list, std::optional<Duration> left, std::uint64_t revision)
    -> UpstreamList
{
    for (auto &each : list) {
        each.coldLeft = left;
        each.entryRevision = revision;
    }
    return list;
}

/// Sends requests of different contexts, all at the moment `now`, until one is refused; returns
/// their number, at most `most`.
auto sendUntilRefused(Dispatcher &dispatcher, Instant now, std::uint64_t most) -> std::uint64_t
{
    const auto permit = std::get<Permit>(dispatcher.admit("a", "/x", std::nullopt));
    for (std::uint64_t context = 1; context <= most; ++context) {
        RoutingInput input;
        input.prompt = {{context, 100}, {2, 10}};
        const auto chosen = dispatcher.choose(permit, input, now);
        if (!std::holds_alternative<Choice>(chosen))
            return context - 1;
        dispatcher.noteSent(std::get<Choice>(chosen).upstream.id, input, now);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_upstreams)

// Guards against news that were written before an upstream turned cold, and arrive after it.
BOOST_AUTO_TEST_CASE(a_later_report_does_not_shorten_the_time)
{
    ColdUpstreams cold;
    BOOST_TEST(cold.note(upstream, start + 3s, start));
    BOOST_TEST(!cold.note(upstream, start + 1s, start + 500ms));
    BOOST_TEST(cold.isCold(upstream, start + 2900ms));
    BOOST_TEST(!cold.isCold(upstream, start + 3s));
    BOOST_TEST(cold.note(upstream, start + 8s, start + 5s));
    BOOST_TEST(!cold.note(upstream, start + 9s, start + 6s));
    BOOST_TEST((cold.warmAt(upstream, start + 6s) == start + 9s));
    BOOST_TEST(!cold.note(upstream + 1, start - 1s, start));
}

// Guards against an upstream that gets nothing for good over a time that makes no sense.
BOOST_AUTO_TEST_CASE(an_upstream_is_cold_for_a_limited_time)
{
    ColdUpstreams cold;
    cold.note(upstream, start + 1000h, start);
    BOOST_TEST(!cold.isCold(upstream, start + ColdUpstreams::maxTime));
}

// Guards against refusing callers while a cold upstream could still be asked, and against telling
// them a time at which it cannot.
BOOST_AUTO_TEST_CASE(a_share_comes_back_after_its_window)
{
    constexpr double bound = 4;
    auto share = loneShare();
    BOOST_TEST(share.perWindow(upstream, bound) == 2U);
    share.noteSent(upstream, later);
    BOOST_TEST(share.hasLeft(upstream, bound, later));
    share.noteSent(upstream, later + 100ms);
    BOOST_TEST(!share.hasLeft(upstream, bound, later + 1s));
    BOOST_TEST((share.nextAt(upstream, bound, later + 1s).value() == later + ColdShare::window));
    BOOST_TEST(share.hasLeft(upstream, bound, later + ColdShare::window));
    BOOST_TEST(share.hasLeft(upstream + 1, bound, later));
}

// Guards against counting a bound of less than one request as one, or a huge one as none.
BOOST_AUTO_TEST_CASE(extreme_bounds_have_a_meaning)
{
    const auto share = loneShare();
    for (const auto none : {0.0, 0.9, -5.0})
        BOOST_TEST(share.perWindow(upstream, none) == 0U);
    BOOST_TEST(!share.nextAt(upstream, 0, later));
    for (const auto one : {1.0, 1.9, 2.0, 3.9})
        BOOST_TEST(share.perWindow(upstream, one) == 1U);
    BOOST_TEST(share.perWindow(upstream, 1e300) == 1000000U);
}

// Guards against a rush to engines whose entries say that they are cold, also again at any moment;
// and against refusing callers of a pool that is cold altogether before it has had its share.
BOOST_AUTO_TEST_CASE(engines_that_report_themselves_cold_get_their_share)
{
    constexpr std::size_t engineCount = 4;
    constexpr auto share = engineCount * 12;
    Dispatcher dispatcher({"here", 1}, {}, start);
    dispatcher.setConfiguration(coldPoolConfiguration());
    dispatcher.setColdTolerance({1.5, 5});
    dispatcher.setFleet({{}, true, 1});
    const auto list = engines(engineCount);
    BOOST_TEST(dispatcher.setUpstreams(withColdLeft(list, 0s, 1), later).empty());
    BOOST_TEST(sendUntilRefused(dispatcher, later, 200) == 200U);
    const auto turned = dispatcher.setUpstreams(withColdLeft(list, 2s, 2), later + 1s);
    BOOST_TEST(turned.size() == engineCount);
    BOOST_TEST(sendUntilRefused(dispatcher, later + 1s, 200) == share);
    // The same entries, seen again, are no news.
    dispatcher.setUpstreams(withColdLeft(list, 2s, 2), later + 2s);
    BOOST_TEST(sendUntilRefused(dispatcher, later + 2200ms, 200) == share);
    BOOST_TEST(sendUntilRefused(dispatcher, later + 3s, 200) == 200U);
}

// Guards against a rush to an engine that just registered and does not tell whether it is cold, and
// against holding back engines known before.
BOOST_AUTO_TEST_CASE(an_engine_that_just_registered_counts_as_cold)
{
    Dispatcher dispatcher({"here", 1}, {}, start);
    dispatcher.setConfiguration(coldPoolConfiguration());
    auto list = engines(3);
    BOOST_TEST(dispatcher.setUpstreams(withColdLeft(list, std::nullopt, 1), later).empty());
    list = engines(4);
    const auto turned = dispatcher.setUpstreams(withColdLeft(list, std::nullopt, 2), later);
    BOOST_REQUIRE(turned.size() == 1);
    BOOST_TEST(turned.front().instance == "engine-3");
    BOOST_TEST((turned.front().left == 3s));
}

// Guards against holding back the engines of a service that names no limit.
BOOST_AUTO_TEST_CASE(a_service_without_a_limit_is_not_held_back)
{
    Dispatcher dispatcher({"here", 1}, {}, start);
    dispatcher.setConfiguration(coldPoolConfiguration(0));
    BOOST_TEST(dispatcher.setUpstreams(withColdLeft(engines(2), 3s, 1), later).empty());
    BOOST_TEST(sendUntilRefused(dispatcher, later, 100) == 100U);
}

// Guards against callers that are told to come back before a cold engine takes anything.
BOOST_AUTO_TEST_CASE(callers_come_back_when_a_cold_engine_takes_requests)
{
    Dispatcher dispatcher({"here", 1}, {}, start);
    dispatcher.setConfiguration(coldPoolConfiguration());
    dispatcher.setFleet({{}, true, 1});
    dispatcher.setUpstreams(withColdLeft(engines(1), 10s, 1), later);
    BOOST_TEST(sendUntilRefused(dispatcher, later, 100) == 6U);
    const auto permit = std::get<Permit>(dispatcher.admit("a", "/x", std::nullopt));
    RoutingInput input;
    input.prompt = {{1, 100}, {2, 10}};
    const auto refused =
        std::get<applehatch::core::Failure>(dispatcher.choose(permit, input, later));
    BOOST_TEST((refused.run == applehatch::core::Run::NotRun));
    BOOST_TEST((refused.retryAfter.value() >= ColdShare::window));
    BOOST_TEST((refused.retryAfter.value() <= ColdShare::window + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
