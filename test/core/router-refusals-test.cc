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

/// Returns a refusal of the first attempt of "r1" by its overloaded owner, with a redirect to
/// another engine.
auto redirectedFrom(Bench &bench, UpstreamId owner) -> Refusal
{
    auto refused = refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun);
    for (const auto &each : bench.engines()) {
        if (each.id != owner)
            refused.redirect = each.id;
    }
    return refused;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_refusals)

// The owner of a chat is full and refuses a returning chat. The caller must get its answer from the
// next upstream, which informs the owner. The attempt may last only as long as the caller still
// waits.
BOOST_AUTO_TEST_CASE(a_refused_chat_runs_at_the_next_upstream_within_the_remaining_time)
{
    Bench bench;
    auto request = chatRequest("r1", 5);
    request.deadline = 10s;
    bench.feed(request);
    const auto owner = bench.openRequestedLink();
    bench.now += 4s;
    auto refused = refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun);
    refused.loads = {{owner, firstIncarnation, 9, 12, 0, 8, UpstreamState::Serving, 0us}};
    bench.from(owner, refused);
    const auto next = bench.openRequestedLink();
    BOOST_TEST(next != owner);
    const auto submit = submitOf(bench);
    BOOST_TEST(submit.attempt == 2U);
    BOOST_TEST(submit.movedFrom == owner);
    BOOST_TEST((submit.notAfter == start + 10s + clockOffset));
    BOOST_TEST(bench.node.loads().find(owner, bench.now)->running == 12U);
    // A repeated or late copy of the refusal belongs to an attempt that has ended.
    BOOST_TEST(bench.from(owner, refused).empty());
}

BOOST_AUTO_TEST_CASE(a_redirect_is_followed_once)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto owner = bench.openRequestedLink();
    auto refused = redirectedFrom(bench, owner);
    bench.from(owner, refused);
    BOOST_TEST(bench.openRequestedLink() == refused.redirect);
    BOOST_TEST(submitOf(bench).movedFrom == 0U);
    auto again = refusal("r1", 2, ErrorKind::Overloaded, Run::NotRun);
    again.redirect = owner;
    bench.from(refused.redirect, again);
    const auto third = bench.openRequestedLink();
    BOOST_TEST(third != owner);
    BOOST_TEST(submitOf(bench).movedFrom == owner);
}

// Half of a pool leaves, and a full owner redirects its chats to the upstreams that ran them last.
// One of these is leaving. A chat that follows the redirect is refused there too, and its caller is
// refused because no retry is left, while other upstreams have free slots.
BOOST_AUTO_TEST_CASE(a_redirect_to_an_upstream_that_leaves_is_not_followed)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto owner = bench.openRequestedLink();
    auto refused = redirectedFrom(bench, owner);
    refused.loads = {{refused.redirect, firstIncarnation, 9, 0, 0, 8, UpstreamState::Leaving, 0us}};
    bench.from(owner, refused);
    const auto next = bench.openRequestedLink();
    BOOST_TEST(next != refused.redirect);
    BOOST_TEST(next != owner);
}

// A connection is refused before anything was sent. The request did not run, so it may go to
// another upstream at once, and the next requests skip the unreachable one too.
BOOST_AUTO_TEST_CASE(a_link_that_cannot_open_counts_as_never_sent)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto owner = Bench::of<OpenLink>(bench.last)[0].upstream;
    bench.feed(LinkDown{owner});
    const auto next = Bench::of<OpenLink>(bench.last);
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST(next[0].upstream != owner);
    bench.openLink(next[0].upstream);
    BOOST_TEST(submitOf(bench).attempt == 1U);
    bench.feed(chatRequest("r2", 5));
    BOOST_TEST(Bench::of<SendToSidecar>(bench.last)[0].upstream == next[0].upstream);
    const auto log = Bench::of<WriteLog>(bench.last)[0].line.text();
    BOOST_TEST(log.find(":link-down") != std::string::npos);
    bench.now += 4s;
    bench.feed(chatRequest("r3", 5));
    BOOST_TEST(Bench::of<OpenLink>(bench.last).at(0).upstream == owner);
}

// A pool is restarted one member after the other, and each is back within seconds. If the router
// still applied the first member's refusal to its new incarnation when the second one left, the
// caller would get the error that no upstream is left.
BOOST_AUTO_TEST_CASE(a_refusal_for_leaving_ends_with_the_incarnation_that_gave_it)
{
    Bench bench(makeSettings(2));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openRequestedLink();
    bench.from(first, refusal("r1", 1, ErrorKind::UpstreamLeaving, Run::NotRun));
    const auto second = bench.openRequestedLink();
    bench.from(second, Head{"r1", 2, 200, {}});
    bench.now += 1s;
    Digest digest;
    digest.entries = {{first, firstIncarnation + 1, 1, 0, 0, 8, UpstreamState::Serving, 0us}};
    bench.feed(DigestReceived{digest});
    bench.feed(chatRequest("r2", 5));
    bench.from(second, refusal("r2", 1, ErrorKind::UpstreamLeaving, Run::NotRun));
    BOOST_TEST(bench.failures().empty());
}

// An upstream stops. Until digests report it, every chat that has its context there would be sent
// to it first and spend a retry on the refusal.
BOOST_AUTO_TEST_CASE(a_refusal_for_leaving_is_remembered)
{
    Bench bench;
    bench.openAllLinks();
    bench.feed(chatRequest("r1", 5));
    const auto owner = Bench::of<SendToSidecar>(bench.last).at(0).upstream;
    bench.from(owner, refusal("r1", 1, ErrorKind::UpstreamLeaving, Run::NotRun));
    const auto next = Bench::of<SendToSidecar>(bench.last).at(0).upstream;
    BOOST_TEST(next != owner);
    bench.feed(chatRequest("r2", 5));
    BOOST_TEST(Bench::of<SendToSidecar>(bench.last).at(0).upstream == next);
    bench.now += 5s;
    bench.feed(chatRequest("r3", 5));
    BOOST_TEST(Bench::of<SendToSidecar>(bench.last).at(0).upstream == owner);
}

BOOST_AUTO_TEST_CASE(a_link_that_never_answers_counts_as_never_sent)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto owner = Bench::of<OpenLink>(bench.last)[0].upstream;
    bench.advance(2s);
    const auto dropped = Bench::of<DropLink>(bench.all);
    BOOST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].upstream == owner);
    BOOST_TEST(Bench::of<OpenLink>(bench.all).size() == 2U);
}

BOOST_AUTO_TEST_CASE(only_what_is_safe_is_retried)
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
        {"model, answer begun", chatRequest("r1"), ErrorKind::UpstreamFailed, Run::Ran, true,
         false},
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
        const auto upstream = bench.openRequestedLink();
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

BOOST_AUTO_TEST_CASE(when_no_upstream_is_left_the_caller_gets_the_shortest_retry_time_at_once)
{
    Bench bench;
    bench.feed(chatRequest("r1"));
    const auto retryAfters = {9s, 3s, 5s};
    std::uint32_t attempt = 0;
    for (const auto retryAfter : retryAfters) {
        const auto upstream = bench.openRequestedLink();
        bench.from(upstream,
                   refusal("r1", ++attempt, ErrorKind::Overloaded, Run::NotRun, retryAfter));
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
    bench.openAllLinks();
    for (auto i = 0; i < 100; ++i) {
        bench.feed(chatRequest("earlier" + std::to_string(i)));
        bench.feed(CallerDisconnected{"earlier" + std::to_string(i)});
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

// Under overload most requests are refused. Without a retry budget each would be sent up to four
// times, and the retries would keep the pool overloaded.
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
                bench.openLink(opening.upstream);
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
    // The retry budget recovers while the router is idle.
    bench.now += 10s;
    bench.feed(chatRequest("later"));
    const auto upstream = Bench::of<SendToSidecar>(bench.last)[0].upstream;
    bench.from(upstream, refusal("later", 1, ErrorKind::Overloaded, Run::NotRun));
    BOOST_TEST(Bench::sent<Submit>(bench.last).size() == 1U);
}

// A request that was running when an engine crashed is retried after the first crash, since another
// request may have caused it. After the second crash it fails for good, or it would crash the
// engines of the pool one after the other.
BOOST_AUTO_TEST_CASE(a_second_crash_is_final)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openRequestedLink();
    bench.from(first, refusal("r1", 1, ErrorKind::UpstreamCrashed, Run::Unknown));
    const auto second = bench.openRequestedLink();
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

// The caller of a request that crashes engines sends it again through other routers. They must all
// route its copies to the same upstream, whatever chats the copies belong to.
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
        const auto opened = bench.openRequestedLink();
        const auto fingerprint = Bench::sent<Submit>(bench.last)[0].terms.fingerprint;
        bench.from(opened, refusal(request.request, 1, ErrorKind::DeadlineExceeded, Run::NotRun));
        digest.crashes = {{fingerprint, {crashed, firstIncarnation}, 1, 60s},
                          {fingerprint, {crashed, firstIncarnation}, 1, 60s}};
        bench.feed(DigestReceived{digest});
        request.request += "again";
        bench.feed(request);
        const auto log = Bench::of<WriteLog>(bench.last)[0].line.text();
        BOOST_TEST(log.find("cause=after-crash") != std::string::npos);
        for (const auto &opening : Bench::of<OpenLink>(bench.last))
            bench.openLink(opening.upstream);
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

// The upstream that rendezvous hashing selects for the second attempt of a crashed request is down.
// If its copies went to the next one instead, routers that differ in what they know to be down
// would send them to different upstreams and crash one each.
BOOST_AUTO_TEST_CASE(a_second_attempt_goes_nowhere_else_while_its_upstream_is_down)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openRequestedLink();
    const auto fingerprint = Bench::sent<Submit>(bench.last)[0].terms.fingerprint;
    const auto pool = makeSettings(6)->teams.at("ledger")->pools.at("drafting");
    auto order = rendezvousOrder(fingerprint, pool.members);
    std::erase(order, first);
    Digest digest;
    digest.entries.push_back({order.front(), firstIncarnation, 1, 0, 0, 4, UpstreamState::Down});
    bench.feed(DigestReceived{digest});
    bench.advance(2s, {first});
    bench.from(first, refusal("r1", 1, ErrorKind::UpstreamCrashed, Run::Ran));
    BOOST_TEST((onlyFailure(bench).kind == ErrorKind::UpstreamCrashed));
    BOOST_TEST(onlyFailure(bench).retryAfter.has_value());
}

// A sidecar that saw a request crash a second engine reports it and is then unavailable to its
// routers. When the request is sent again, no upstream may run it any more. Its caller must get a
// final error without a time to retry.
BOOST_AUTO_TEST_CASE(a_suspect_request_sent_again_before_the_notices_arrive_fails_for_good)
{
    Bench bench(makeSettings(6));
    bench.feed(chatRequest("r1", 5));
    const auto first = bench.openRequestedLink();
    bench.from(first, refusal("r1", 1, ErrorKind::CrashSuspect, Run::Ran));
    auto again = chatRequest("r2", 5);
    again.call.body = std::make_shared<const std::string>("body of r1");
    bench.feed(again);
    BOOST_REQUIRE(bench.failures().size() == 2U);
    BOOST_TEST((bench.failures()[1].failure.kind == ErrorKind::CrashSuspect));
    BOOST_TEST(!bench.failures()[1].failure.retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
