#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

// Starts a stream and delivers its first event, "data: 1".
auto beginStream(Bench &bench) -> UpstreamId
{
    bench.feed(chatRequest("r1", 5));
    const auto upstream = bench.openRequestedLink();
    bench.from(upstream, streamHead("r1"));
    bench.from(upstream, Chunk{"r1", 0, "data: 1\n\n"});
    return upstream;
}

constexpr std::string_view fullBody = "data: 1\n\ndata: 2\n\n";

auto endStream(Bench &bench, UpstreamId upstream) -> void
{
    bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
    bench.from(upstream, End{"r1", fullBody.size(), stableHash(fullBody), {}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_links)

BOOST_AUTO_TEST_CASE(a_heartbeat_is_sent_for_each_second_of_silence_and_no_other)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.all.clear();
    bench.advance(30s, {upstream});
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).empty());
    for (const auto second : {1U, 2U, 3U}) {
        bench.advance(950ms);
        BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == second - 1);
        bench.advance(50ms);
        BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == second);
    }
    // Any message shows that the link is alive and restarts the interval of one second.
    bench.from(upstream, Chunk{"r1", 0, "data: 1\n\n"});
    bench.advance(950ms);
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == 3U);
    bench.advance(50ms);
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == 4U);
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
    endStream(bench, upstream);
    bench.feed(CallerConsumed{"r1", fullBody.size()});
    bench.all.clear();
    bench.advance(10s);
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).empty());
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
}

// A device between the two ends drops its state of the connection. Neither end gets an error, and
// without heartbeats the caller's stream would stall until its deadline.
BOOST_AUTO_TEST_CASE(a_silent_link_is_replaced_and_its_answers_resume_where_they_stopped)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.advance(3950ms);
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
    bench.advance(50ms);
    BOOST_REQUIRE(Bench::of<DropLink>(bench.all).size() == 1U);
    BOOST_TEST(bench.openRequestedLink() == upstream);
    const auto resumes = Bench::sent<Resume>(bench.last);
    BOOST_REQUIRE(resumes.size() == 1U);
    BOOST_TEST(resumes[0].offset == 9U);
    BOOST_TEST(resumes[0].customer == "ledger/east");
    bench.from(upstream, streamHead("r1"));
    endStream(bench, upstream);
    BOOST_TEST(bench.body("r1") == fullBody);
    BOOST_TEST(Bench::of<AnswerEnd>(bench.all).size() == 1U);
    BOOST_TEST(Bench::of<AnswerHead>(bench.all).size() == 1U);
    BOOST_TEST(bench.failures().empty());
}

// The router process was paused, and messages that arrived in the meantime are still unread. If it
// dropped every link as silent, a short pause would cause a burst of new connections.
BOOST_AUTO_TEST_CASE(a_pause_of_the_router_itself_drops_no_link)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.advance(100ms, {upstream});
    bench.now += 30s;
    bench.feed(Tick{});
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
    bench.advance(4s);
    BOOST_TEST(Bench::of<DropLink>(bench.all).size() == 1U);
}

// Guards against treating a series of slightly late ticks as silence of the link.
BOOST_AUTO_TEST_CASE(ticks_that_all_come_late_drop_no_link)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    constexpr auto late = 900ms;
    for (auto passed = 0ms; passed < 8s; passed += late) {
        bench.now += late;
        bench.feed(Tick{});
    }
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
    bench.advance(4s);
    const auto dropped = Bench::of<DropLink>(bench.all);
    BOOST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].upstream == upstream);
}

// A router that was suspended sends its queued messages afterwards. The attempt must carry a
// deadline on the sidecar's clock that has passed by then.
BOOST_AUTO_TEST_CASE(deadlines_are_computed_from_the_last_reading_of_the_sidecars_clock)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.now += 2s;
    // The sidecar's clock stood still for one of the two seconds.
    bench.from(upstream, Heartbeat{firstIncarnation, start + clockOffset + 1s});
    auto request = chatRequest("r2", 5);
    request.deadline = 3s;
    bench.feed(request);
    BOOST_TEST((Bench::sent<Submit>(bench.last).at(0).notAfter == start + clockOffset + 4s));
    bench.from(upstream, Heartbeat{firstIncarnation + 1, Instant{}});
    bench.feed(chatRequest("r3", 5));
    BOOST_TEST((Bench::sent<Submit>(bench.last).at(0).notAfter == start + clockOffset + 1s + 120s));
}

// The router's host was frozen together with its clock, so the deadlines that it computes for a
// sidecar are too early. Requests with their full time left would be refused as late until the
// router reads the sidecar's clock again, so it requests that at once.
BOOST_AUTO_TEST_CASE(a_refusal_its_own_clock_contradicts_makes_the_router_read_the_sidecars_clock)
{
    for (const auto early : {true, false}) {
        Bench bench;
        const auto upstream = beginStream(bench);
        auto request = chatRequest("r2", 5);
        request.deadline = 3s;
        bench.feed(request);
        bench.advance(early ? 500ms : 2500ms, {upstream});
        bench.from(upstream, refusal("r2", 1, ErrorKind::DeadlineExceeded, Run::NotRun));
        BOOST_TEST(Bench::sent<Heartbeat>(bench.last).size() == (early ? 1U : 0U));
    }
}

BOOST_AUTO_TEST_CASE(after_a_lost_link_each_request_continues_in_a_way_that_is_safe_for_it)
{
    struct Row
    {
        std::string what;
        CallerRequest request;
        bool begun;
        Incarnation reopened; ///< 0 if the link cannot be reopened.
        bool resumes;
        bool elsewhere;
        std::optional<Run> failure;
    };
    const std::vector<Row> rows = {
        {"model, reopened", chatRequest("r1"), false, firstIncarnation, true, false, {}},
        {"model, unreachable", chatRequest("r1"), false, 0, false, true, {}},
        {"model, restarted", chatRequest("r1"), false, firstIncarnation + 1, false, true, {}},
        {"stream, restarted", chatRequest("r1"), true, firstIncarnation + 1, true, false, {}},
        {"stream, unreachable", chatRequest("r1"), true, 0, false, false, Run::Ran},
        {"POST, reopened", serviceRequest("r1", "POST"), false, firstIncarnation, true, false, {}},
        {"POST, restarted", serviceRequest("r1", "POST"), false, firstIncarnation + 1, false, false,
         Run::Unknown},
        {"POST, unreachable", serviceRequest("r1", "POST"), false, 0, false, false, Run::Unknown},
        {"GET, unreachable", serviceRequest("r1", "GET"), false, 0, false, true, {}},
    };
    for (const auto &row : rows) {
        Bench bench;
        bench.feed(row.request);
        const auto upstream = bench.openRequestedLink();
        if (row.begun)
            bench.from(upstream, streamHead("r1"));
        bench.feed(LinkDown{upstream});
        bench.all.clear();
        if (row.reopened != 0)
            bench.openLink(upstream, row.reopened);
        const auto elsewhere = [&] {
            const auto opened = Bench::of<OpenLink>(bench.all);
            return std::any_of(opened.begin(), opened.end(),
                               [&](const auto &opening) { return opening.upstream != upstream; });
        };
        for (auto i = 0; row.reopened == 0 && !elsewhere() && i < 25; ++i) {
            bench.feed(LinkDown{upstream});
            if (!elsewhere())
                bench.advance(500ms);
        }
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_TEST((Bench::sent<Resume>(bench.all).size() == 1U) == row.resumes);
            BOOST_TEST(elsewhere() == row.elsewhere);
            BOOST_TEST(bench.failures().size() == (row.failure ? 1U : 0U));
            if (row.failure)
                BOOST_TEST((bench.failures().at(0).failure.run == *row.failure));
        }
    }
}

// An attempt that was abandoned while its link was down may still run. It is revoked once its
// upstream is reachable again, or it would continue for no caller.
BOOST_AUTO_TEST_CASE(an_attempt_given_up_while_its_link_was_down_is_revoked_later)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openRequestedLink();
    bench.feed(LinkDown{first});
    bench.feed(LinkDown{first});
    const auto second = bench.openRequestedLink();
    BOOST_TEST(second != first);
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).attempt == 2U);
    bench.openLink(first);
    const auto revokes = Bench::sent<Revoke>(bench.last);
    BOOST_REQUIRE(revokes.size() == 1U);
    BOOST_TEST(revokes[0].attempt == 1U);
    BOOST_TEST(revokes[0].target == firstIncarnation);
    // Its late answer is not used as the answer of the second attempt.
    bench.from(first, streamHead("r1", 1));
    BOOST_TEST(Bench::of<AnswerHead>(bench.last).empty());
    BOOST_TEST(Bench::sent<Revoke>(bench.last).size() == 1U);
    BOOST_TEST(bench.from(first, Chunk{"r1", 0, "wrong"}).empty());
    BOOST_TEST(bench.from(first, End{"r1", 5, stableHash("wrong"), {}}).empty());
    bench.from(second, streamHead("r1", 2));
    BOOST_TEST(Bench::of<AnswerHead>(bench.last).size() == 1U);
}

// Guards against refusing all requests that the retry budget does not cover when one connection
// fails, although their first runs continue.
BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_run_again_yet_is_sought_where_it_runs)
{
    constexpr std::size_t count = 60;
    Bench bench;
    for (std::size_t number = 0; number < count; ++number)
        bench.feed(chatRequest("r" + std::to_string(number), 5));
    const auto upstream = Bench::of<OpenLink>(bench.all).at(0).upstream;
    bench.openLink(upstream);
    BOOST_REQUIRE(Bench::sent<Submit>(bench.all).size() == count);
    bench.feed(LinkDown{upstream});
    bench.feed(LinkDown{upstream});
    bench.advance(500ms);
    BOOST_TEST(bench.failures().empty());
    bench.all.clear();
    bench.openLink(upstream);
    // Requests that were retried at another upstream are revoked at this one.
    const auto movedRequests = Bench::sent<Revoke>(bench.all).size();
    BOOST_TEST(movedRequests < count / 2);
    BOOST_TEST(Bench::sent<Resume>(bench.all).size() == count - movedRequests);
}

BOOST_AUTO_TEST_CASE(a_flapping_link_is_not_reopened_without_a_pause)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.all.clear();
    for (auto i = 0; i < 40; ++i) {
        bench.feed(LinkDown{upstream});
        for (const auto &opening : Bench::of<OpenLink>(bench.last))
            bench.openLink(opening.upstream);
        bench.advance(50ms);
        if (bench.last.empty())
            continue;
        for (const auto &opening : Bench::of<OpenLink>(bench.last))
            bench.openLink(opening.upstream);
    }
    BOOST_TEST(Bench::of<OpenLink>(bench.all).size() <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
