#include "applehatch/direct/crash-suspects.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr auto start = Instant(1000s);
constexpr Fingerprint request = 7;

auto report(Fingerprint fingerprint, UpstreamId upstream, Duration age = 0ms) -> CrashReport
{
    return {fingerprint, upstream, age, 1};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_suspects)

// Guards against forgetting crashes that were seen at different routers or reported twice.
BOOST_AUTO_TEST_CASE(three_upstreams_count_at_whichever_routers_they_crashed)
{
    CrashSuspects suspects;
    suspects.noteBreak(request, 1, start);
    suspects.notePeer(report(request, 2), start);
    BOOST_TEST(!suspects.notePeer(report(request, 2), start + 1s));
    BOOST_TEST(!suspects.isSuspect(request, start + 1s));
    suspects.notePeer(report(request, 3), start + 1s);
    BOOST_TEST(suspects.isSuspect(request, start + 1s));
    BOOST_TEST(suspects.crashes(request, start + 1s) == 3U);
}

// Guards against refusing a request for one crash that several routers saw.
BOOST_AUTO_TEST_CASE(one_crashed_upstream_counts_once)
{
    CrashSuspects suspects;
    suspects.noteBreak(request, 1, start);
    suspects.noteBreak(request, 1, start + 10ms);
    suspects.notePeer(report(request, 1), start);
    BOOST_TEST(suspects.crashes(request, start + 10ms) == 1U);
}

// Guards against clearing a request that crashes upstreams because one answer of it came whole.
BOOST_AUTO_TEST_CASE(a_success_does_not_clear_a_crash)
{
    CrashSuspects suspects;
    suspects.noteBreak(request, 1, start);
    suspects.noteBreak(request, 2, start);
    suspects.noteServed(request, start + 1s);
    BOOST_TEST(suspects.noteBreak(request, 3, start + 2s));
    BOOST_TEST(suspects.isSuspect(request, start + 2s));
}

// Guards against refusing proper requests after connections broke without a crash.
BOOST_AUTO_TEST_CASE(an_upstream_that_answers_a_later_request_did_not_crash)
{
    CrashSuspects suspects;
    for (UpstreamId upstream = 1; upstream <= 3; ++upstream)
        suspects.noteBreak(request, upstream, start);
    BOOST_TEST(suspects.isSuspect(request, start));
    BOOST_TEST(!suspects.noteAnswered(2, start, start + 1s)); // Sent before the break was seen.
    BOOST_TEST(suspects.noteAnswered(2, start + 1ms, start + 1s));
    BOOST_TEST(!suspects.isSuspect(request, start + 1s));
    BOOST_TEST(!suspects.notePeer(report(request, 2, 999ms), start + 1s));
    BOOST_TEST(suspects.crashes(request, start + 1s) == 2U);
    suspects.noteBreak(request, 2, start + 2s);
    BOOST_TEST(suspects.isSuspect(request, start + 2s));
}

// Guards against reviving a refuted break by a peer that has not seen the upstream's answer.
BOOST_AUTO_TEST_CASE(a_late_report_of_a_refuted_break_does_not_count)
{
    CrashSuspects suspects;
    suspects.noteBreak(1, 5, start);
    BOOST_TEST(suspects.noteAnswered(5, start + 1s, start + 1s));
    suspects.notePeer(report(request, 5, 2s), start + 2s);
    BOOST_TEST(suspects.crashes(request, start + 2s) == 0U);
}

// Guards against refusing a common proper request that was running when many upstreams crashed.
BOOST_AUTO_TEST_CASE(a_request_that_is_served_again_and_again_shares_the_crashes_of_others)
{
    CrashSuspects suspects;
    for (UpstreamId upstream = 1; upstream <= 6; ++upstream) {
        const auto at = start + upstream * 10s;
        for (std::uint32_t i = 0; i < CrashSuspects::servesToTrust; ++i)
            suspects.noteServed(request, at);
        BOOST_TEST(!suspects.noteBreak(request, upstream, at));
    }
    BOOST_TEST(suspects.crashes(request, start + 60s) == 0U);
    // Successes are used up by one break: a request that begins to crash upstreams is found.
    for (UpstreamId upstream = 10; upstream < 13; ++upstream)
        BOOST_TEST(suspects.noteBreak(request, upstream, start + 61s));
    BOOST_TEST(suspects.isSuspect(request, start + 61s));
}

// Guards against forgetting a refused request when thousands of others share one crash each.
BOOST_AUTO_TEST_CASE(a_full_table_keeps_those_with_most_crashes)
{
    CrashSuspects suspects;
    for (UpstreamId upstream = 1; upstream <= 3; ++upstream)
        suspects.noteBreak(request, upstream, start);
    for (Fingerprint other = 100; other < 100 + 2 * CrashSuspects::capacity; ++other)
        suspects.noteBreak(other, 9, start + 1s);
    BOOST_TEST(suspects.isSuspect(request, start + 2s));
}

// Guards against reports that never reach a peer because others fill each datagram.
BOOST_AUTO_TEST_CASE(reports_of_a_large_crash_go_out_by_turns)
{
    CrashSuspects suspects;
    CrashSuspects peer;
    constexpr Fingerprint others = 60;
    for (UpstreamId upstream = 1; upstream <= 2; ++upstream)
        suspects.noteBreak(request, upstream, start);
    for (Fingerprint other = 100; other < 100 + others; ++other)
        suspects.noteBreak(other, 2, start);
    for (auto now = start; now < start + CrashSuspects::reportWindow; now += 200ms) {
        const auto reports = suspects.nextReports(now);
        BOOST_TEST(reports.size() <= CrashSuspects::maxReports);
        for (const auto &each : reports)
            peer.notePeer(each, now);
    }
    BOOST_TEST(peer.crashes(request, start + 2s) == 2U);
    for (Fingerprint other = 100; other < 100 + others; ++other)
        BOOST_TEST(peer.crashes(other, start + 2s) == 1U);
    BOOST_TEST(suspects.nextReports(start + 3s).size() == 2U);
}

// Guards against a crash that is remembered for ever because routers tell one another of it.
BOOST_AUTO_TEST_CASE(a_crash_is_forgotten_though_peers_pass_it_on)
{
    CrashSuspects first;
    CrashSuspects second;
    for (UpstreamId upstream = 1; upstream <= 3; ++upstream)
        first.noteBreak(request, upstream, start);
    for (auto now = start; now < start + 2 * CrashSuspects::lifetime; now += 1s) {
        for (const auto &each : first.nextReports(now))
            second.notePeer(each, now);
        for (const auto &each : second.nextReports(now))
            first.notePeer(each, now);
        BOOST_REQUIRE(first.isSuspect(request, now) == (now < start + CrashSuspects::lifetime));
    }
    BOOST_TEST(!second.isSuspect(request, start + 2 * CrashSuspects::lifetime));
}

// Guards against counting the reports of a router that names no upstream, which nothing refutes.
BOOST_AUTO_TEST_CASE(a_report_without_an_upstream_does_not_count)
{
    CrashSuspects suspects;
    BOOST_TEST(!suspects.notePeer({request, 0, 0ms, 3}, start));
    BOOST_TEST(suspects.crashes(request, start) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
