#include "applehatch/direct/upstream-announcements.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
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

BOOST_AUTO_TEST_SUITE_END()
