#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

// A stream of which "data: 1" has arrived.
auto beginStream(Bench &bench) -> UpstreamId
{
    bench.feed(chatRequest("r1", 5));
    const auto upstream = bench.openAsked();
    bench.from(upstream, streamHead("r1"));
    bench.from(upstream, Chunk{"r1", 0, "data: 1\n\n"});
    return upstream;
}

constexpr std::string_view whole = "data: 1\n\ndata: 2\n\n";

auto endStream(Bench &bench, UpstreamId upstream) -> void
{
    bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
    bench.from(upstream, End{"r1", whole.size(), stableHash(whole), {}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_links)

BOOST_AUTO_TEST_CASE(a_link_is_asked_each_second_that_it_is_quiet_and_never_else)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.all.clear();
    bench.pass(30s, {upstream});
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).empty());
    for (const auto second : {1U, 2U, 3U}) {
        bench.pass(950ms);
        BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == second - 1);
        bench.pass(50ms);
        BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == second);
    }
    // Any message shows that it lives, and the second begins anew.
    bench.from(upstream, Chunk{"r1", 0, "data: 1\n\n"});
    bench.pass(950ms);
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == 3U);
    bench.pass(50ms);
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).size() == 4U);
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
    endStream(bench, upstream);
    bench.feed(CallerConsumed{"r1", whole.size()});
    bench.all.clear();
    bench.pass(10s);
    BOOST_TEST(Bench::sent<Heartbeat>(bench.all).empty());
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
}

// A device between the two ends forgets the connection. Neither end gets an error, and without the
// heartbeats the caller's stream would stand still until its deadline.
BOOST_AUTO_TEST_CASE(a_silent_link_is_replaced_and_its_answers_go_on_where_they_stopped)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.pass(3950ms);
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
    bench.pass(50ms);
    BOOST_REQUIRE(Bench::of<DropLink>(bench.all).size() == 1U);
    BOOST_TEST(bench.openAsked() == upstream);
    const auto resumes = Bench::sent<Resume>(bench.last);
    BOOST_REQUIRE(resumes.size() == 1U);
    BOOST_TEST(resumes[0].offset == 9U);
    BOOST_TEST(resumes[0].customer == "ledger/east");
    bench.from(upstream, streamHead("r1"));
    endStream(bench, upstream);
    BOOST_TEST(bench.body("r1") == whole);
    BOOST_TEST(Bench::of<AnswerEnd>(bench.all).size() == 1U);
    BOOST_TEST(Bench::of<AnswerHead>(bench.all).size() == 1U);
    BOOST_TEST(bench.failures().empty());
}

// This process was paused. What arrived meanwhile is unread yet; dropping every link for silence
// would make a short pause a storm of new connections.
BOOST_AUTO_TEST_CASE(a_pause_of_the_router_itself_drops_no_link)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.pass(100ms, {upstream});
    bench.now += 30s;
    bench.feed(Tick{});
    BOOST_TEST(Bench::of<DropLink>(bench.all).empty());
    bench.pass(4s);
    BOOST_TEST(Bench::of<DropLink>(bench.all).size() == 1U);
}

// Guards against many ticks that come late, none of them very late, being taken for silence.
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
    bench.pass(4s);
    const auto dropped = Bench::of<DropLink>(bench.all);
    BOOST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].upstream == upstream);
}

// A router that slept sends what it had queued. The attempt must carry a time on the sidecar's own
// clock that is over by then.
BOOST_AUTO_TEST_CASE(deadlines_are_reckoned_from_the_links_last_reading_of_the_sidecars_clock)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.now += 2s;
    // The sidecar's clock stood still for one of the two seconds.
    bench.from(upstream, Heartbeat{life, start + clockOffset + 1s});
    auto request = chatRequest("r2", 5);
    request.deadline = 3s;
    bench.feed(request);
    BOOST_TEST((Bench::sent<Submit>(bench.last).at(0).notAfter == start + clockOffset + 4s));
    bench.from(upstream, Heartbeat{life + 1, Instant{}});
    bench.feed(chatRequest("r3", 5));
    BOOST_TEST((Bench::sent<Submit>(bench.last).at(0).notAfter == start + clockOffset + 1s + 120s));
}

// The router's host was frozen, its clock with it, so deadlines it reckons are over too early. One
// would see requests refused as late that had all their time left; the clock is asked for at once.
BOOST_AUTO_TEST_CASE(a_refusal_that_its_own_clock_contradicts_makes_the_router_ask_for_the_clock)
{
    for (const auto early : {true, false}) {
        Bench bench;
        const auto upstream = beginStream(bench);
        auto request = chatRequest("r2", 5);
        request.deadline = 3s;
        bench.feed(request);
        bench.pass(early ? 500ms : 2500ms, {upstream});
        bench.from(upstream, refusal("r2", 1, ErrorKind::DeadlineExceeded, Run::NotRun));
        BOOST_TEST(Bench::sent<Heartbeat>(bench.last).size() == (early ? 1U : 0U));
    }
}

BOOST_AUTO_TEST_CASE(after_a_lost_link_each_request_goes_on_as_is_safe_for_it)
{
    struct Row
    {
        std::string what;
        CallerRequest request;
        bool begun;
        Incarnation reopened; ///< 0 when it cannot be reopened.
        bool resumes;
        bool elsewhere;
        std::optional<Run> failure;
    };
    const std::vector<Row> rows = {
        {"model, reopened", chatRequest("r1"), false, life, true, false, {}},
        {"model, gone", chatRequest("r1"), false, 0, false, true, {}},
        {"model, restarted", chatRequest("r1"), false, life + 1, false, true, {}},
        {"stream, restarted", chatRequest("r1"), true, life + 1, true, false, {}},
        {"stream, gone", chatRequest("r1"), true, 0, false, false, Run::Ran},
        {"POST, reopened", serviceRequest("r1", "POST"), false, life, true, false, {}},
        {"POST, restarted", serviceRequest("r1", "POST"), false, life + 1, false, false,
         Run::Unknown},
        {"POST, gone", serviceRequest("r1", "POST"), false, 0, false, false, Run::Unknown},
        {"GET, gone", serviceRequest("r1", "GET"), false, 0, false, true, {}},
    };
    for (const auto &row : rows) {
        Bench bench;
        bench.feed(row.request);
        const auto upstream = bench.openAsked();
        if (row.begun)
            bench.from(upstream, streamHead("r1"));
        bench.feed(LinkDown{upstream});
        bench.all.clear();
        if (row.reopened != 0)
            bench.up(upstream, row.reopened);
        const auto elsewhere = [&] {
            const auto opened = Bench::of<OpenLink>(bench.all);
            return std::any_of(opened.begin(), opened.end(),
                               [&](const auto &opening) { return opening.upstream != upstream; });
        };
        for (auto i = 0; row.reopened == 0 && !elsewhere() && i < 25; ++i) {
            bench.feed(LinkDown{upstream});
            if (!elsewhere())
                bench.pass(500ms);
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

// An attempt that was given up during a loss may still run. Once its upstream can be reached again
// it is stopped, or it would go on for nobody.
BOOST_AUTO_TEST_CASE(an_attempt_given_up_while_its_link_was_down_is_revoked_later)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openAsked();
    bench.feed(LinkDown{first});
    bench.feed(LinkDown{first});
    const auto second = bench.openAsked();
    BOOST_TEST(second != first);
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).attempt == 2U);
    bench.up(first);
    const auto revokes = Bench::sent<Revoke>(bench.last);
    BOOST_REQUIRE(revokes.size() == 1U);
    BOOST_TEST(revokes[0].attempt == 1U);
    BOOST_TEST(revokes[0].target == life);
    // Its late answer is not taken for that of the second attempt.
    bench.from(first, streamHead("r1", 1));
    BOOST_TEST(Bench::of<AnswerHead>(bench.last).empty());
    BOOST_TEST(Bench::sent<Revoke>(bench.last).size() == 1U);
    BOOST_TEST(bench.from(first, Chunk{"r1", 0, "wrong"}).empty());
    BOOST_TEST(bench.from(first, End{"r1", 5, stableHash("wrong"), {}}).empty());
    bench.from(second, streamHead("r1", 2));
    BOOST_TEST(Bench::of<AnswerHead>(bench.last).size() == 1U);
}

// Guards against an outage of one connection refusing all that the retry budget does not cover,
// while their first runs go on.
BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_run_again_yet_is_sought_where_it_runs)
{
    constexpr std::size_t count = 60;
    Bench bench;
    for (std::size_t number = 0; number < count; ++number)
        bench.feed(chatRequest("r" + std::to_string(number), 5));
    const auto upstream = Bench::of<OpenLink>(bench.all).at(0).upstream;
    bench.up(upstream);
    BOOST_REQUIRE(Bench::sent<Submit>(bench.all).size() == count);
    bench.feed(LinkDown{upstream});
    bench.feed(LinkDown{upstream});
    bench.pass(500ms);
    BOOST_TEST(bench.failures().empty());
    bench.all.clear();
    bench.up(upstream);
    // What was run again elsewhere is revoked here.
    const auto movedOn = Bench::sent<Revoke>(bench.all).size();
    BOOST_TEST(movedOn < count / 2);
    BOOST_TEST(Bench::sent<Resume>(bench.all).size() == count - movedOn);
}

BOOST_AUTO_TEST_CASE(a_flapping_link_is_not_reopened_without_a_pause)
{
    Bench bench;
    const auto upstream = beginStream(bench);
    bench.all.clear();
    for (auto i = 0; i < 40; ++i) {
        bench.feed(LinkDown{upstream});
        for (const auto &opening : Bench::of<OpenLink>(bench.last))
            bench.up(opening.upstream);
        bench.pass(50ms);
        if (bench.last.empty())
            continue;
        for (const auto &opening : Bench::of<OpenLink>(bench.last))
            bench.up(opening.upstream);
    }
    BOOST_TEST(Bench::of<OpenLink>(bench.all).size() <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
