#include "short-slots-fleet.h"

#include "applehatch/direct/choice.h"
#include "applehatch/direct/pace-tracker.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(pace)

// Guards against believing for long what changes within a second.
BOOST_AUTO_TEST_CASE(a_report_counts_for_less_the_older_it_is)
{
    PaceTracker paces;
    BOOST_TEST(!paces.reports(1));
    BOOST_TEST(paces.slowdown(1, start) == 1);
    paces.note(1, 2.5, start);
    BOOST_TEST(paces.reports(1));
    BOOST_TEST(paces.slowdown(1, start) == 2.5);
    const auto later = paces.slowdown(1, start + 250ms);
    BOOST_TEST((later > 1.5 && later < 2.0));
    BOOST_TEST(paces.slowdown(1, start + PaceTracker::reportLifetime) < 1.1);
    paces.forget(1);
    BOOST_TEST(!paces.reports(1));
}

// Guards against leaving a slow upstream altogether, which makes the next one slow.
BOOST_AUTO_TEST_CASE(a_slow_upstream_gets_less_not_nothing)
{
    UpstreamList list(2);
    for (auto &upstream : list)
        upstream.slots = 6;
    list[0].id = 1, list[1].id = 2;
    std::vector<UpstreamView> views{{.upstream = &list[0]}, {.upstream = &list[1]}};
    views[0].slowdown = 2.5;
    std::array<std::uint32_t, 2> sent{};
    for (std::uint64_t i = 0; i < 36; ++i) {
        const auto *chosen = chooseSoonest(views, "", i);
        const auto index = chosen == &list[0] ? 0U : 1U;
        ++sent.at(index);
        ++views.at(index).load;
    }
    BOOST_TEST(sent[0] > 0U);
    BOOST_TEST(sent[1] > 1.5 * sent[0]);
}

// Load: three upstreams near what they bear, each slow for a third of the time. Guards against
// sending to an upstream that is slow now, and against a herd that leaves it all at once.
BOOST_AUTO_TEST_CASE(more_are_on_time_where_the_pace_is_followed)
{
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        ShortSlots setting;
        setting.upstreams = 3;
        setting.callersPerSecond = 150;
        setting.slowShare = 0.33;
        setting.seed = seed;
        before += ShortSlotsFleet(setting).play().onTime;
        setting.policies.followsPace = true;
        after += ShortSlotsFleet(setting).play().onTime;
    }
    BOOST_TEST_MESSAGE("on time " << before << " -> " << after);
    BOOST_TEST(after > before);
}

BOOST_AUTO_TEST_SUITE_END()
