#include "short-slots-fleet.h"

#include "applehatch/direct/admission.h"
#include "applehatch/direct/caller-patience.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

auto share(std::uint64_t part, std::uint64_t whole) -> double
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

auto played(ShortSlots setting, bool byTimeLeft, bool followsPace = false) -> ShortSlotsOutcome
{
    setting.policies.admitsByTimeLeft = byTimeLeft;
    setting.policies.followsPace = followsPace;
    return ShortSlotsFleet(setting).play();
}

auto comeback(Duration sinceFirstSent) -> AdmissionRequest
{
    AdmissionRequest request{"plain", {}, 0, 0, 300ms};
    request.byTimeLeft = true;
    request.sinceFirstSent = sinceFirstSent;
    return request;
}

/// Admission that knows that work takes 60 ms.
auto busyAdmission() -> Admission
{
    Admission admission;
    admission.noteSent(comeback(0ms));
    admission.noteDone(comeback(0ms), 60ms, start);
    return admission;
}

} // namespace

BOOST_AUTO_TEST_SUITE(time_left)

// Load: nearly twice what the slots bear, for eight seconds, from callers who come back. Guards
// against giving slots to requests that are late already while others could be on time.
BOOST_AUTO_TEST_CASE(short_slots_go_to_requests_that_can_be_on_time)
{
    for (const std::size_t routers : {1U, 3U, 9U, 27U}) {
        ShortSlotsOutcome before;
        ShortSlotsOutcome after;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ShortSlots setting;
            setting.routers = routers;
            setting.seed = seed;
            const auto a = played(setting, false);
            const auto b = played(setting, true);
            before.asked += a.asked, before.onTime += a.onTime, before.late += a.late;
            after.asked += b.asked, after.onTime += b.onTime, after.late += b.late;
            after.servedAfterRefusal += b.servedAfterRefusal;
        }
        BOOST_TEST_MESSAGE(routers << " routers: on time " << share(before.onTime, before.asked)
                                   << " -> " << share(after.onTime, after.asked) << ", late "
                                   << share(before.late, before.asked) << " -> "
                                   << share(after.late, after.asked) << ", after a refusal "
                                   << after.servedAfterRefusal);
        BOOST_TEST(after.onTime > before.onTime);
        BOOST_TEST(after.onTime + after.late > 0.95 * (before.onTime + before.late),
                   "no slot idles for it");
        BOOST_TEST(after.servedAfterRefusal > 0U, "those who come back are not starved");
    }
}

// Load: half of what the slots bear. Guards against refusals where there is room for all.
BOOST_AUTO_TEST_CASE(without_pressure_nobody_is_refused_for_the_time_left)
{
    ShortSlots setting;
    setting.callersPerSecond = 50;
    const auto after = played(setting, true);
    BOOST_TEST(after.gaveUp == 0U);
    BOOST_TEST(share(after.onTime, after.asked) > 0.99);
}

// Guards against starving callers who come back while new ones keep arriving.
BOOST_AUTO_TEST_CASE(one_that_will_be_late_gets_every_ninth_contended_slot)
{
    auto admission = busyAdmission();
    constexpr UpstreamOccupancy busy{12, 6};
    std::size_t late = 0;
    for (std::size_t i = 0; i < 90; ++i) {
        BOOST_TEST(admission.decide(comeback(0ms), busy).admitted);
        late += admission.decide(comeback(400ms), busy).admitted ? 1 : 0;
    }
    BOOST_TEST(late >= 90 / (Admission::onTimePerLate + 1));
    BOOST_TEST(late <= 90 / Admission::onTimePerLate);
    BOOST_TEST(admission.decide(comeback(400ms), {5, 6}).admitted, "a free slot is for anyone");
}

// Guards against sending again what cannot be on time, in the place of what can.
BOOST_AUTO_TEST_CASE(a_failed_request_is_repeated_unless_others_are_refused)
{
    auto admission = busyAdmission();
    BOOST_TEST(admission.mayRepeat(comeback(260ms), start));
    static_cast<void>(admission.retryAfter(comeback(0ms), 0.5, start)); // One is refused.
    BOOST_TEST(!admission.mayRepeat(comeback(260ms), start + 10ms));
    BOOST_TEST(admission.mayRepeat(comeback(100ms), start + 10ms), "it can still be on time");
    BOOST_TEST(admission.mayRepeat(comeback(260ms), start + Admission::shortPeriod + 1ms));
}

// Callers vary the time that they give; one that comes back gives what is left of it.
BOOST_AUTO_TEST_CASE(a_caller_that_comes_back_is_known_by_the_time_it_gives)
{
    CallerPatience patience;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> given(1275, 1500);
    for (std::size_t i = 0; i < 200; ++i)
        BOOST_TEST((patience.note("r", std::chrono::milliseconds(given(random))) == Duration(0)));
    const auto since = patience.note("r", 1000ms);
    BOOST_TEST((since >= 350ms && since <= 500ms));
    // Half of the requests are from callers who come back.
    for (std::size_t i = 0; i < 200; ++i) {
        BOOST_TEST((patience.note("r", 900ms) > 400ms || i == 0));
        BOOST_TEST((patience.note("r", std::chrono::milliseconds(given(random))) == Duration(0)));
    }
    BOOST_TEST((patience.note("other", 100ms) == Duration(0)), "nothing is known of the route");
    for (std::size_t i = 0; i < CallerPatience::maxRoutes; ++i)
        static_cast<void>(patience.note(std::to_string(i), 1500ms));
    BOOST_TEST((patience.note("r", 900ms) == Duration(0)), "routes of long ago are forgotten");
}

BOOST_AUTO_TEST_SUITE_END()
