#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

// Returns the crash notices sent to the other members in the last step.
auto sentNotices(const Sidecar &sidecar) -> std::vector<CrashNotice>
{
    const auto digests = sidecar.did<SendDigest>();
    return digests.empty() ? std::vector<CrashNotice>() : digests.front().digest.crashes;
}

auto withCrashes(const std::vector<CrashNotice> &notices) -> DigestReceived
{
    Digest digest;
    digest.crashes = notices;
    return {digest};
}

// Returns the fingerprint of a request whose second try, after a crash at `crashedAt`, belongs to
// `second`.
auto fingerprintFor(const Pool &pool, UpstreamId crashedAt, UpstreamId second) -> Fingerprint
{
    for (Fingerprint fingerprint = 1;; ++fingerprint) {
        auto order = rendezvousOrder(fingerprint, pool.members);
        std::erase(order, crashedAt);
        if (order.front() == second)
            return fingerprint;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_crash)

// A request crashes the upstream that runs it. However the crash is detected, the notices must name
// every running request to all members at once, and the routers must learn that it ran.
BOOST_AUTO_TEST_CASE(crash_is_noticed)
{
    struct Row
    {
        std::string how;
        bool crashed;
    };
    const std::vector<Row> rows = {{"several-lost", true},         {"restarted", true},
                                   {"lost-then-restarted", true},  {"lost-then-unreachable", true},
                                   {"ended-then-restarted", true}, {"lost-while-up", false},
                                   {"ended-while-up", false}};
    for (const auto &row : rows) {
        Sidecar sidecar(poolOf(3, 4));
        sidecar.receiveLoad(1, 8).receiveLoad(2, 8);
        const auto first = sidecar.run(sidecar.request("r1"));
        const auto second = sidecar.run(sidecar.request("r2"));
        const auto from = static_cast<std::ptrdiff_t>(sidecar.all.size());
        const auto how = row.how.starts_with("ended") ? RunBreak::EndedEarly : RunBreak::Lost;
        if (row.how != "restarted")
            sidecar.give(RunBroken{first, how});
        if (row.how == "several-lost" || row.how == "lost-then-unreachable")
            sidecar.give(RunBroken{second, how});
        if (row.how.ends_with("restarted"))
            sidecar.report("epoch-2");
        if (row.how.ends_with("unreachable"))
            sidecar.report("");
        if (row.how.ends_with("while-up"))
            sidecar.pass(500ms).report("epoch-1");
        sidecar.last.assign(sidecar.all.begin() + from, sidecar.all.end());
        const auto refusals = sidecar.sent<Refusal>();
        BOOST_TEST(refusals.size() == (row.crashed ? 2U : 1U), row.how);
        for (const auto &refusal : refusals)
            BOOST_TEST(outcomeOf(refusal)
                           == (row.crashed ? "upstream-crashed/ran" : "upstream-failed/ran"),
                       row.how);
        BOOST_TEST(sidecar.node().counts().crashes == (row.crashed ? 1U : 0U), row.how);
        if (row.crashed) {
            // The notices leave before the refusals; otherwise a router could retry before the
            // notices arrive.
            const auto isDigest = [](const auto &action) {
                return std::holds_alternative<SendDigest>(action);
            };
            const auto isRefusal = [](const auto &action) {
                const auto *send = std::get_if<SendToPeer>(&action);
                return send != nullptr && std::holds_alternative<Refusal>(send->message);
            };
            const auto &all = sidecar.last;
            BOOST_TEST((std::find_if(all.begin(), all.end(), isDigest)
                        < std::find_if(all.begin(), all.end(), isRefusal)));
            const auto notices = sidecar.did<SendDigest>().back().digest.crashes;
            BOOST_TEST(notices.size() == 2U, row.how);
        }
    }
}

// A caller sends the same request again and again, one at a time, through any router. It may crash
// two upstreams but never a third, whichever member it reaches next.
BOOST_AUTO_TEST_CASE(at_most_two_upstreams_are_lost)
{
    const auto pool = poolOf(3, 4);
    const auto first = pool.members[1].id;
    const auto fingerprint = fingerprintFor(pool, first, pool.members[0].id);
    std::vector<CrashNotice> knownNotices = {{fingerprint, {first, 5}, 1, 60s}};
    std::size_t lost = 1;
    for (const Incarnation incarnation : {11U, 12U, 13U, 14U}) {
        Sidecar sidecar(pool, {}, incarnation);
        sidecar.give(withCrashes(knownNotices));
        auto submit = sidecar.request("again" + std::to_string(incarnation));
        submit.terms.fingerprint = fingerprint;
        sidecar.from(submit);
        if (sidecar.did<StartRun>().empty()) {
            BOOST_TEST(outcomeOf(sidecar.refusal()) == "crash-suspect/not-run");
            BOOST_TEST(sidecar.node().counts().refusedCrash == 1U);
            continue;
        }
        ++lost;
        sidecar.give(RunBroken{sidecar.started(), RunBreak::Lost}).report("epoch-2");
        BOOST_TEST(outcomeOf(sidecar.refusal()) == "crash-suspect/ran");
        knownNotices = sentNotices(sidecar);
    }
    BOOST_TEST(lost == 2U);
    BOOST_TEST(knownNotices.size() == 2U);
}

// One upstream is down, and its request is repeated through several routers at the same time. If
// each repeat ran at a different member, each would crash one more upstream.
BOOST_AUTO_TEST_CASE(after_one_crash_only_the_next_candidate_retries)
{
    const auto pool = poolOf(3, 4);
    for (const std::size_t second : {0U, 2U}) {
        const auto first = pool.members[1].id;
        const auto fingerprint = fingerprintFor(pool, first, pool.members[second].id);
        Sidecar sidecar(pool);
        sidecar.give(withCrashes({{fingerprint, {first, 5}, 1, 60s}}));
        auto submit = sidecar.request("r1");
        submit.terms.fingerprint = fingerprint;
        sidecar.from(submit);
        BOOST_TEST(sidecar.did<StartRun>().size() == (second == 0 ? 1U : 0U));
        if (second == 0)
            continue;
        BOOST_TEST(outcomeOf(sidecar.refusal()) == "no-upstream/not-run");
        BOOST_TEST(sidecar.refusal().redirect == pool.members[second].id);
    }
}

// Copies run at two upstreams at the same time and both crash. A second try that knows of the first
// crash only must not begin before the notice of the other crash can have arrived.
BOOST_AUTO_TEST_CASE(second_try_waits_for_copies_at_other_upstreams)
{
    const auto pool = poolOf(4, 4);
    const auto first = pool.members[1].id;
    const auto fingerprint = fingerprintFor(pool, first, pool.members[0].id);
    for (const auto isPoison : {true, false}) {
        Sidecar sidecar(pool);
        sidecar.receiveLoad(1, 0).receiveLoad(2, 0).receiveLoad(3, 0);
        sidecar.give(withCrashes({{fingerprint, {first, 5}, 1, std::chrono::minutes(10)}}));
        auto submit = sidecar.request("r1");
        submit.terms.fingerprint = fingerprint;
        sidecar.from(submit);
        BOOST_TEST(sidecar.did<StartRun>().empty());
        if (isPoison)
            sidecar.give(
                withCrashes({{fingerprint, {pool.members[2].id, 5}, 1, std::chrono::minutes(10)}}));
        sidecar.passWithHeartbeats(600ms);
        BOOST_TEST(sidecar.did<StartRun>().size() == (isPoison ? 0U : 1U));
        if (isPoison)
            BOOST_TEST(outcomeOf(sidecar.refusal()) == "crash-suspect/not-run");
    }
}

// A copy waits in the queue when the notice of the first crash arrives. If it started there as well
// as at the member chosen for the second try, it would crash a third upstream.
BOOST_AUTO_TEST_CASE(queued_copy_leaves_when_its_second_try_is_elsewhere)
{
    const auto pool = poolOf(3, 1);
    const auto first = pool.members[1].id;
    Sidecar sidecar(pool);
    sidecar.receiveLoad(1, 0).receiveLoad(2, 0);
    const auto run = sidecar.run(sidecar.request("r1"));
    auto copy = sidecar.request("r2");
    copy.mayWait = true;
    copy.terms.fingerprint = fingerprintFor(pool, first, pool.members[2].id);
    sidecar.from(copy);
    sidecar.give(withCrashes({{copy.terms.fingerprint, {first, 5}, 1, 60s}}));
    sidecar.answer(run, "fine");
    BOOST_TEST(sidecar.did<StartRun>().empty());
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "no-upstream/not-run");
}

// The same upstream crashes twice within one incarnation of its sidecar: this counts as two
// crashes.
BOOST_AUTO_TEST_CASE(two_crashes_in_one_incarnation)
{
    Sidecar sidecar(poolOf(1, 4));
    for (int time = 1; time <= 3; ++time) {
        auto submit = sidecar.request("r" + std::to_string(time));
        submit.terms.fingerprint = 99;
        sidecar.from(submit);
        BOOST_TEST(sidecar.did<StartRun>().size() == (time < 3 ? 1U : 0U));
        if (time < 3)
            sidecar.give(RunBroken{sidecar.started(), RunBreak::Lost})
                .report("epoch-" + std::to_string(time + 1));
    }
    BOOST_TEST(sidecar.node().counts().crashes == 2U);
}

// An innocent request shared a crash and finishes at another upstream. A second crash that it
// shares must not make it a suspect, and the other members must learn that it is cleared.
BOOST_AUTO_TEST_CASE(finishing_clears_an_innocent)
{
    const auto pool = poolOf(3, 4);
    const UpstreamIncarnation first{pool.members[1].id, 5};
    const auto fingerprint = fingerprintFor(pool, first.upstream, pool.members[0].id);
    const CrashNotice shared{fingerprint, first, 1, 60s};
    Sidecar sidecar(pool);
    auto submit = sidecar.request("r1");
    submit.terms.fingerprint = fingerprint;
    sidecar.give(withCrashes({shared}));
    sidecar.answer(sidecar.run(submit), "fine");
    sidecar.give(withCrashes({shared, {fingerprint, {first.upstream, 6}, 1, 60s}}));
    auto again = sidecar.request("r2");
    again.terms.fingerprint = fingerprint;
    sidecar.run(again);
    sidecar.passWithHeartbeats(5s);
    const auto digests = sidecar.did<SendDigest>();
    BOOST_REQUIRE(!digests.empty());
    const auto &notices = digests.back().digest.crashes;
    BOOST_TEST(std::count_if(notices.begin(), notices.end(),
                             [](const CrashNotice &notice) { return notice.remaining == 0us; })
               == 1);
}

// Requests wait while the upstream crashes. They did not run and are refused as such, so their
// routers try another upstream.
BOOST_AUTO_TEST_CASE(waiting_requests_are_refused_when_the_upstream_is_down)
{
    Sidecar sidecar(poolOf(1, 1));
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.from(sidecar.request("r2"));
    sidecar.give(RunBroken{run, RunBreak::Lost});
    BOOST_TEST(sidecar.did<StartRun>().empty());
    sidecar.report("");
    std::vector<std::string> outcomes;
    for (const auto &refusal : sidecar.sent<Refusal>())
        outcomes.push_back(refusal.request + ' ' + outcomeOf(refusal));
    BOOST_TEST(
        outcomes == (std::vector<std::string>{"r1 upstream-crashed/ran", "r2 no-upstream/not-run"}),
        boost::test_tools::per_element());
    BOOST_TEST((sidecar.node().state() == UpstreamState::Down));
}

BOOST_AUTO_TEST_SUITE_END()
