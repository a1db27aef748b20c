#include "engine-pool.h"

#include "applehatch/direct/dispatcher.h"
#include "applehatch/direct/upstream-announcements.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_announcements)

// Guards against ending a rest early because a later refusal asked for a shorter one.
BOOST_AUTO_TEST_CASE(a_rest_lasts_until_the_latest_end_asked_for)
{
    UpstreamAnnouncements announcements;
    BOOST_TEST(announcements.noteRest(1, start + 3s, start));
    BOOST_TEST(!announcements.noteRest(1, start + 2s, start + 1s));
    BOOST_TEST((announcements.restEnd(1, start + 2500ms) == start + 3s));
    BOOST_TEST(announcements.noteRest(1, start + 4s, start + 2500ms));
    BOOST_TEST((announcements.restEnd(1, start + 3s) == start + 4s));
    BOOST_TEST(!announcements.restEnd(1, start + 4s));
    BOOST_TEST(!announcements.restEnd(2, start));
}

// Guards against forgetting that an upstream leaves while it takes long to do so.
BOOST_AUTO_TEST_CASE(an_upstream_leaves_as_long_as_it_says_so)
{
    UpstreamAnnouncements announcements;
    BOOST_TEST(!announcements.isLeaving(1, start));
    BOOST_TEST(announcements.noteLeaving(1, start));
    for (auto now = start; now < start + 30min; now += 5min)
        BOOST_TEST(!announcements.noteLeaving(1, now));
    BOOST_TEST(announcements.isLeaving(1, start + 30min));
    BOOST_TEST(!announcements.isLeaving(2, start + 30min));
}

// Guards against callers that wait, or come back too early, while every engine wants rest.
BOOST_AUTO_TEST_CASE(callers_come_back_when_the_first_rest_of_a_pool_ends)
{
    constexpr std::size_t engineCount = 4;
    Dispatcher dispatcher({"here", 1}, {}, start);
    const auto list = engines(engineCount);
    dispatcher.setConfiguration(poolConfiguration());
    dispatcher.setUpstreams(list, start);
    const auto permit = std::get<Permit>(dispatcher.admit("a", "/x", std::nullopt));
    RoutingInput input;
    input.prompt = {{1, 100}, {2, 10}};
    for (std::size_t i = 0; i < engineCount; ++i) {
        BOOST_TEST(std::holds_alternative<Choice>(dispatcher.choose(permit, input, start)));
        dispatcher.announcements().noteRest(list[i].id, start + 3s + i * 1s, start);
    }
    const auto refused =
        std::get<applehatch::core::Failure>(dispatcher.choose(permit, input, start + 1s));
    BOOST_TEST((refused.kind == applehatch::core::ErrorKind::Overloaded));
    BOOST_REQUIRE(refused.retryAfter.has_value());
    BOOST_TEST((*refused.retryAfter >= 2s));
    BOOST_TEST((*refused.retryAfter < 3s));
    const auto chosen = std::get<Choice>(dispatcher.choose(permit, input, start + 3s));
    BOOST_TEST(chosen.upstream.id == list[0].id);
    // An engine that leaves is not waited for.
    dispatcher.announcements().noteLeaving(list[0].id, start + 3s);
    const auto later =
        std::get<applehatch::core::Failure>(dispatcher.choose(permit, input, start + 3s));
    BOOST_TEST((*later.retryAfter >= 1s));
}

BOOST_AUTO_TEST_SUITE_END()
