#include "applehatch/core/rendezvous.h"
#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

auto submitOf(const Bench &bench) -> Submit
{
    const auto submits = Bench::sent<Submit>(bench.last);
    BOOST_REQUIRE(submits.size() == 1U);
    return submits[0];
}

auto onlyFailure(const Bench &bench) -> Failure
{
    BOOST_REQUIRE(bench.failures().size() == 1U);
    return bench.failures()[0].failure;
}

/// The first attempt of "r1" refused by its full home, which names another engine to ask.
auto redirectedFrom(Bench &bench, UpstreamId home) -> Refusal
{
    auto no = refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun);
    for (const auto &each : bench.engines()) {
        if (each.id != home)
            no.redirect = each.id;
    }
    return no;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_refusals)

// A full home refuses a returning chat. The caller must get its answer from the next upstream,
// which tells the home; the attempt may last only as long as the caller still waits.
BOOST_AUTO_TEST_CASE(a_refused_chat_runs_at_the_next_upstream_with_the_time_that_is_left)
{
    Bench bench;
    auto request = chatRequest("r1", 5);
    request.deadline = 10s;
    bench.feed(request);
    const auto home = bench.openAsked();
    bench.now += 4s;
    auto no = refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun);
    no.loads = {{home, life, 9, 12, 0, 8, UpstreamState::Serving, 0us}};
    bench.from(home, no);
    const auto next = bench.openAsked();
    BOOST_TEST(next != home);
    const auto submit = submitOf(bench);
    BOOST_TEST(submit.attempt == 2U);
    BOOST_TEST(submit.movedFrom == home);
    BOOST_TEST((submit.notAfter == start + 10s + clockOffset));
    BOOST_TEST(bench.node.loads().find(home, bench.now)->running == 12U);
    // The same refusal again, or late, is about an attempt that is over.
    BOOST_TEST(bench.from(home, no).empty());
}

BOOST_AUTO_TEST_CASE(a_redirect_is_followed_once)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto home = bench.openAsked();
    auto no = redirectedFrom(bench, home);
    bench.from(home, no);
    BOOST_TEST(bench.openAsked() == no.redirect);
    BOOST_TEST(submitOf(bench).movedFrom == 0U);
    auto again = refusal("r1", 2, ErrorKind::Overloaded, Run::NotRun);
    again.redirect = home;
    bench.from(no.redirect, again);
    const auto third = bench.openAsked();
    BOOST_TEST(third != home);
    BOOST_TEST(submitOf(bench).movedFrom == home);
}

// Half of a pool leaves, and a full home sends its chats on to the upstreams that ran them last.
// One of these leaves; a chat that follows is refused there too, and its caller is turned away for
// want of a retry while others have room.
BOOST_AUTO_TEST_CASE(a_redirect_to_an_upstream_that_leaves_is_not_followed)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto home = bench.openAsked();
    auto no = redirectedFrom(bench, home);
    no.loads = {{no.redirect, life, 9, 0, 0, 8, UpstreamState::Leaving, 0us}};
    bench.from(home, no);
    const auto next = bench.openAsked();
    BOOST_TEST(next != no.redirect);
    BOOST_TEST(next != home);
}

// A connection is refused before anything was sent. The request did not run, so another upstream
// may have it at once, and the dead one is passed over by the next requests too.
BOOST_AUTO_TEST_CASE(a_link_that_cannot_open_counts_as_never_sent)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto home = Bench::of<OpenLink>(bench.last)[0].upstream;
    bench.feed(LinkDown{home});
    const auto next = Bench::of<OpenLink>(bench.last);
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST(next[0].upstream != home);
    bench.up(next[0].upstream);
    BOOST_TEST(submitOf(bench).attempt == 1U);
    bench.feed(chatRequest("r2", 5));
    BOOST_TEST(Bench::of<SendToSidecar>(bench.last)[0].upstream == next[0].upstream);
    const auto log = Bench::of<WriteLog>(bench.last)[0].line.text();
    BOOST_TEST(log.find(":link-down") != std::string::npos);
    bench.now += 4s;
    bench.feed(chatRequest("r3", 5));
    BOOST_TEST(Bench::of<OpenLink>(bench.last).at(0).upstream == home);
}

// An upstream stops. Until digests say so, every chat that lives there would be sent to it first
// and pay a retry for the refusal.
// A pool is rolled, one member after the other, each back within seconds. The router still held the
// first one's refusal against its new life when the second one left, and a caller was told that no
// upstream was left.
BOOST_AUTO_TEST_CASE(a_refusal_for_leaving_ends_with_the_life_that_gave_it)
{
    Bench bench(makeSettings(2));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openAsked();
    bench.from(first, refusal("r1", 1, ErrorKind::UpstreamLeaving, Run::NotRun));
    const auto second = bench.openAsked();
    bench.from(second, Head{"r1", 2, 200, {}});
    bench.now += 1s;
    Digest digest;
    digest.entries = {{first, life + 1, 1, 0, 0, 8, UpstreamState::Serving, 0us}};
    bench.feed(DigestReceived{digest});
    bench.feed(chatRequest("r2", 5));
    bench.from(second, refusal("r2", 1, ErrorKind::UpstreamLeaving, Run::NotRun));
    BOOST_TEST(bench.failures().empty());
}

BOOST_AUTO_TEST_CASE(a_refusal_for_leaving_is_remembered)
{
    Bench bench;
    bench.upAll();
    bench.feed(chatRequest("r1", 5));
    const auto home = Bench::of<SendToSidecar>(bench.last).at(0).upstream;
    bench.from(home, refusal("r1", 1, ErrorKind::UpstreamLeaving, Run::NotRun));
    const auto next = Bench::of<SendToSidecar>(bench.last).at(0).upstream;
    BOOST_TEST(next != home);
    bench.feed(chatRequest("r2", 5));
    BOOST_TEST(Bench::of<SendToSidecar>(bench.last).at(0).upstream == next);
    bench.now += 5s;
    bench.feed(chatRequest("r3", 5));
    BOOST_TEST(Bench::of<SendToSidecar>(bench.last).at(0).upstream == home);
}

BOOST_AUTO_TEST_CASE(a_link_that_never_answers_counts_as_never_sent)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto home = Bench::of<OpenLink>(bench.last)[0].upstream;
    bench.pass(2s);
    const auto dropped = Bench::of<DropLink>(bench.all);
    BOOST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].upstream == home);
    BOOST_TEST(Bench::of<OpenLink>(bench.all).size() == 2U);
}

BOOST_AUTO_TEST_CASE(only_what_is_safe_is_tried_again)
{
    struct Row
    {
        std::string what;
        CallerRequest request;
        ErrorKind kind;
        Run run;
        bool begun;
        bool again;
    };
    auto keyed = serviceRequest("r1", "GET");
    keyed.terms.runOnce = true;
    keyed.terms.idempotencyKey = "k";
    const std::vector<Row> rows = {
        {"model, not run", chatRequest("r1"), ErrorKind::Overloaded, Run::NotRun, false, true},
        {"model, may have run", chatRequest("r1"), ErrorKind::UpstreamFailed, Run::Unknown, false,
         true},
        {"model, begun", chatRequest("r1"), ErrorKind::UpstreamFailed, Run::Ran, true, false},
        {"model, final kind", chatRequest("r1"), ErrorKind::DeadlineExceeded, Run::NotRun, false,
         false},
        {"suspect", chatRequest("r1"), ErrorKind::CrashSuspect, Run::NotRun, false, false},
        {"POST, not run", serviceRequest("r1", "POST"), ErrorKind::UpstreamFailed, Run::NotRun,
         false, true},
        {"POST, may have run", serviceRequest("r1", "POST"), ErrorKind::UpstreamFailed,
         Run::Unknown, false, false},
        {"GET, may have run", serviceRequest("r1", "GET"), ErrorKind::UpstreamFailed, Run::Unknown,
         false, true},
        {"keyed, not run", keyed, ErrorKind::Overloaded, Run::NotRun, false, false},
    };
    for (const auto &row : rows) {
        Bench bench;
        bench.feed(row.request);
        const auto upstream = bench.openAsked();
        if (row.begun)
            bench.from(upstream, streamHead("r1"));
        bench.from(upstream, refusal("r1", 1, row.kind, row.run, 7s));
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_TEST(Bench::of<OpenLink>(bench.last).size() == (row.again ? 1U : 0U));
            BOOST_TEST(bench.failures().size() == (row.again ? 0U : 1U));
            if (!row.again)
                BOOST_TEST((onlyFailure(bench).run == row.run));
        }
    }
}

BOOST_AUTO_TEST_CASE(when_nobody_is_left_the_caller_is_told_at_once_when_to_come_back)
{
    Bench bench;
    bench.feed(chatRequest("r1"));
    const auto waits = {9s, 3s, 5s};
    std::uint32_t attempt = 0;
    for (const auto wait : waits) {
        const auto upstream = bench.openAsked();
        bench.from(upstream, refusal("r1", ++attempt, ErrorKind::Overloaded, Run::NotRun, wait));
    }
    BOOST_TEST(attempt == 3U);
    const auto failure = onlyFailure(bench);
    BOOST_TEST((failure.kind == ErrorKind::Overloaded));
    BOOST_TEST((failure.run == Run::NotRun));
    BOOST_TEST((failure.retryAfter == Duration(3s)));
    BOOST_TEST(bench.node.counts().inFlight == 0U);
}

BOOST_AUTO_TEST_CASE(attempts_for_one_request_are_capped)
{
    Bench bench(makeSettings(12));
    bench.upAll();
    for (auto i = 0; i < 100; ++i) {
        bench.feed(chatRequest("earlier" + std::to_string(i)));
        bench.feed(CallerGone{"earlier" + std::to_string(i)});
    }
    bench.all.clear();
    bench.feed(chatRequest("r1"));
    auto attempt = 0U;
    while (bench.failures().empty()) {
        const auto upstream = Bench::of<SendToSidecar>(bench.last).at(0).upstream;
        bench.from(upstream, refusal("r1", ++attempt, ErrorKind::Overloaded, Run::NotRun));
    }
    BOOST_TEST(Bench::sent<Submit>(bench.all).size() == 4U);
}

// In an overload most requests are refused. Without a budget each would be sent up to four times
// over, and the retries would keep the pool overloaded.
BOOST_AUTO_TEST_CASE(retries_stay_a_share_of_requests)
{
    Bench bench;
    constexpr auto requests = 400U;
    for (auto i = 0U; i < requests; ++i) {
        const auto id = "r" + std::to_string(i);
        bench.now += 10ms;
        bench.feed(chatRequest(id));
        for (auto attempt = 1U;; ++attempt) {
            for (const auto &opening : Bench::of<OpenLink>(bench.last))
                bench.up(opening.upstream);
            const auto sends = Bench::of<SendToSidecar>(bench.last);
            if (sends.empty())
                break;
            bench.from(sends[0].upstream, refusal(id, attempt, ErrorKind::Overloaded, Run::NotRun));
        }
    }
    const auto counts = bench.node.counts();
    BOOST_TEST(counts.failures == requests);
    BOOST_TEST(counts.attempts == requests + counts.retries);
    BOOST_TEST(counts.retries <= requests / 10 + 3U + 2U);
    BOOST_TEST(counts.retries >= requests / 10);
    BOOST_TEST(counts.retriesDenied > 0U);
    // A quiet router earns a retry again.
    bench.now += 10s;
    bench.feed(chatRequest("later"));
    const auto upstream = Bench::of<SendToSidecar>(bench.last)[0].upstream;
    bench.from(upstream, refusal("later", 1, ErrorKind::Overloaded, Run::NotRun));
    BOOST_TEST(Bench::sent<Submit>(bench.last).size() == 1U);
}

// A request that crashes whatever runs it is sent on after the first crash, since it may have been
// an innocent neighbour. After the second it is told so, or it would take the pool down one by one.
BOOST_AUTO_TEST_CASE(a_second_crash_is_final)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openAsked();
    bench.from(first, refusal("r1", 1, ErrorKind::UpstreamCrashed, Run::Unknown));
    const auto second = bench.openAsked();
    BOOST_TEST(second != first);
    bench.from(second, refusal("r1", 2, ErrorKind::UpstreamCrashed, Run::Unknown));
    BOOST_TEST((onlyFailure(bench).kind == ErrorKind::CrashSuspect));
    BOOST_TEST((onlyFailure(bench).run == Run::Unknown));
    auto copy = chatRequest("r2", 5);
    copy.call.body = std::make_shared<const std::string>("body of r1");
    bench.feed(copy);
    BOOST_REQUIRE(bench.failures().size() == 2U);
    BOOST_TEST((bench.failures()[1].failure.kind == ErrorKind::CrashSuspect));
    BOOST_TEST((bench.failures()[1].failure.run == Run::NotRun));
}

// The caller of a crashing request sends it again through other routers. They must all lead its
// copies to the one same upstream, whatever chats they belong to.
BOOST_AUTO_TEST_CASE(copies_of_a_crashed_request_meet_at_one_upstream)
{
    std::vector<UpstreamId> seconds;
    const auto crashed = makeSettings(12)->teams.at("ledger")->pools.at("drafting").members[2].id;
    for (std::uint64_t router = 1; router <= 5; ++router) {
        Bench bench(makeSettings(12));
        auto request = chatRequest("r" + std::to_string(router), router);
        request.call.body = std::make_shared<const std::string>("poison");
        Digest digest;
        auto terms = request.terms;
        bench.feed(request);
        const auto opened = bench.openAsked();
        const auto fingerprint = Bench::sent<Submit>(bench.last)[0].terms.fingerprint;
        bench.from(opened, refusal(request.request, 1, ErrorKind::DeadlineExceeded, Run::NotRun));
        digest.crashes = {{fingerprint, {crashed, life}, 1, 60s},
                          {fingerprint, {crashed, life}, 1, 60s}};
        bench.feed(DigestReceived{digest});
        request.request += "again";
        bench.feed(request);
        const auto log = Bench::of<WriteLog>(bench.last)[0].line.text();
        BOOST_TEST(log.find("cause=after-crash") != std::string::npos);
        for (const auto &opening : Bench::of<OpenLink>(bench.last))
            bench.up(opening.upstream);
        seconds.push_back(Bench::of<SendToSidecar>(bench.last).at(0).upstream);
        bench.from(seconds.back(),
                   refusal(request.request, 1, ErrorKind::Overloaded, Run::NotRun, 2s));
        BOOST_TEST(bench.failures().size() == 2U);
    }
    for (const auto second : seconds) {
        BOOST_TEST(second == seconds[0]);
        BOOST_TEST(second != crashed);
    }
}

// The upstream that a crashed request names for its second try is down. Sent to the next one
// instead, its copies would cost an upstream for each router that knows less of who is down.
BOOST_AUTO_TEST_CASE(second_try_goes_nowhere_else_while_its_upstream_is_down)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openAsked();
    const auto fingerprint = Bench::sent<Submit>(bench.last)[0].terms.fingerprint;
    const auto pool = makeSettings(6)->teams.at("ledger")->pools.at("drafting");
    auto order = rendezvousOrder(fingerprint, pool.members);
    std::erase(order, first);
    Digest digest;
    digest.entries.push_back({order.front(), life, 1, 0, 0, 4, UpstreamState::Down});
    bench.feed(DigestReceived{digest});
    bench.pass(2s, {first});
    bench.from(first, refusal("r1", 1, ErrorKind::UpstreamCrashed, Run::Ran));
    BOOST_TEST((onlyFailure(bench).kind == ErrorKind::UpstreamCrashed));
    BOOST_TEST(onlyFailure(bench).retryAfter.has_value());
}

// A sidecar that saw a request crash a second engine says so and is gone for its routers. Sent
// again, the request has no upstream left that may try it; its caller must be told that it is final
// and not to come back.
BOOST_AUTO_TEST_CASE(a_suspect_is_told_so_when_sent_again_before_the_notices_come)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openAsked();
    bench.from(first, refusal("r1", 1, ErrorKind::CrashSuspect, Run::Ran));
    auto again = chatRequest("r2", 5);
    again.call.body = std::make_shared<const std::string>("body of r1");
    bench.feed(again);
    BOOST_REQUIRE(bench.failures().size() == 2U);
    BOOST_TEST((bench.failures()[1].failure.kind == ErrorKind::CrashSuspect));
    BOOST_TEST(!bench.failures()[1].failure.retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
