#include "applehatch/core/gossip.h"
#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

// How many requests a sidecar takes at once before it refuses one.
auto admits(Sidecar &sidecar, const std::string &prefix = "r") -> std::uint32_t
{
    for (std::uint32_t taken = 0;; ++taken) {
        sidecar.from(sidecar.request(prefix + std::to_string(taken)));
        if (!sidecar.sent<Refusal>().empty())
            return taken;
    }
}

auto shortQueue(std::uint32_t members, std::uint32_t slots, std::uint32_t limit = 64) -> Pool
{
    auto pool = poolOf(members, slots);
    pool.queueLimit = limit;
    pool.loadMultiple = 1.5;
    return pool;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_load)

// A few customers surge, and every router picks this upstream. It must refuse at its multiple of
// the mean, by what it hears, and name the less loaded ones.
BOOST_AUTO_TEST_CASE(bound_follows_what_is_heard)
{
    struct Row
    {
        std::vector<std::uint32_t> others;
        std::uint32_t admitted;
    };
    const std::vector<Row> rows = {{{}, 4}, {{0, 0}, 1}, {{4, 4}, 9}, {{8, 8}, 17}, {{8}, 27}};
    for (const auto &row : rows) {
        Sidecar sidecar(shortQueue(3, 4));
        for (std::size_t at = 0; at < row.others.size(); ++at)
            sidecar.hear(at + 1, row.others[at]);
        BOOST_TEST(admits(sidecar) == row.admitted);
        const auto refusal = sidecar.refusal();
        BOOST_TEST(told(refusal) == "overloaded/not-run");
        if (!row.others.empty())
            BOOST_TEST(refusal.loads.at(0).upstream != sidecar.id(0));
        BOOST_TEST(sidecar.node().counts().running <= 4U);
        BOOST_TEST(sidecar.node().counts().refusedBound == 1U);
    }
}

// Evidence travels with the traffic too, so that in a surge the mean does not wait for a timer.
BOOST_AUTO_TEST_CASE(submits_carry_evidence)
{
    Sidecar sidecar(shortQueue(3, 4));
    BOOST_TEST(admits(sidecar) == 4U);
    auto submit = sidecar.request("carrier");
    for (const std::size_t at : {1U, 2U})
        submit.loads.push_back({sidecar.id(at), 1, 1, 8, 0, 4, UpstreamState::Serving, 0us});
    sidecar.from(submit);
    BOOST_TEST(sidecar.sent<Refusal>().empty());
    BOOST_TEST(sidecar.node().counts().waiting == 1U);
}

// The process pauses and wakes late. The mean it remembers is of a busier time; admitting by it
// would bury the upstream.
BOOST_AUTO_TEST_CASE(old_evidence_is_not_used)
{
    for (const auto sleeps : {false, true}) {
        Sidecar sidecar(shortQueue(3, 4));
        sidecar.hear(1, 40).hear(2, 40);
        BOOST_TEST(sidecar.node().counts().bound > 20U);
        if (sleeps)
            sidecar.now += 5s;
        else
            sidecar.pass(11s);
        BOOST_TEST(admits(sidecar) == 4U);
    }
}

// An upstream joins a busy pool. Its bound starts from the mean that counts it in, and by the
// mean grows only as the others' load does.
BOOST_AUTO_TEST_CASE(joining_upstream_is_not_flooded)
{
    Sidecar sidecar(shortQueue(3, 4));
    sidecar.hear(1, 6).hear(2, 6);
    const auto admitted = admits(sidecar);
    BOOST_TEST(admitted <= 1.5 * 4 * (12 + admitted + 1) / 12.0 + 1);
    BOOST_TEST(admitted == 13U);
}

BOOST_AUTO_TEST_CASE(queue_is_bounded_in_length_and_time)
{
    auto pool = shortQueue(1, 2, 3);
    pool.queueWait = 2s;
    Sidecar sidecar(pool);
    BOOST_TEST(admits(sidecar) == 5U);
    BOOST_TEST(sidecar.node().counts().running == 2U);
    sidecar.pass(2s);
    BOOST_TEST(sidecar.sent<Refusal>().size() == 3U);
    for (const auto &refusal : sidecar.sent<Refusal>())
        BOOST_TEST(told(refusal) == "overloaded/not-run");
    BOOST_TEST(sidecar.node().counts().waiting == 0U);
}

BOOST_AUTO_TEST_CASE(customer_limit)
{
    Sidecar sidecar(shortQueue(1, 8));
    sidecar.give(SettingsInForce{settingsOf(sidecar.pool(), 2, {{"c1", {"c1", 1.0, 2}}})});
    BOOST_TEST(admits(sidecar) == 2U);
    BOOST_TEST(told(sidecar.refusal()) == "customer-limit/not-run");
    BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
}

// The queue is long and runs take 2 s. A caller with 3 s left is told at once, not after 3 s; one
// that was hopeful on arrival is told when its hope ends.
BOOST_AUTO_TEST_CASE(unmeetable_deadlines_are_refused_early)
{
    using applehatch::settings::QueueOrder;
    for (const auto order : {QueueOrder::DeadlineWithRefusal, QueueOrder::EarliestDeadline}) {
        auto pool = shortQueue(1, 1);
        pool.queueOrder = order;
        pool.queueWait = 60s;
        Sidecar sidecar(pool);
        const auto first = sidecar.run(sidecar.request("first"));
        sidecar.pass(2s);
        sidecar.answer(first, "x");
        sidecar.from(sidecar.request("running"));
        auto hopeless = sidecar.request("hopeless");
        hopeless.notAfter = sidecar.now + 3s;
        sidecar.from(hopeless);
        const auto refuses = order == QueueOrder::DeadlineWithRefusal;
        BOOST_TEST(sidecar.sent<Refusal>().size() == (refuses ? 1U : 0U));
        if (refuses)
            BOOST_TEST(told(sidecar.refusal()) == "deadline-unmeetable/not-run");
        auto hopeful = sidecar.request("hopeful");
        hopeful.notAfter = sidecar.now + 5s;
        sidecar.from(hopeful);
        BOOST_TEST(sidecar.sent<Refusal>().empty());
        sidecar.pass(2900ms);
        BOOST_TEST(sidecar.sent<Refusal>().empty());
        sidecar.pass(200ms);
        const auto expected = refuses ? "deadline-unmeetable/not-run" : "deadline-exceeded/not-run";
        BOOST_TEST(told(sidecar.refusal()) == expected);
    }
}

// Every second one digest goes out, and a question is answered to its sender.
BOOST_AUTO_TEST_CASE(digests_are_exchanged)
{
    Sidecar sidecar(shortQueue(3, 4));
    sidecar.run(sidecar.request("r1"));
    sidecar.passAlive(50s);
    const auto sent = sidecar.did<SendDigest>();
    BOOST_TEST(sent.size() >= 20U);
    BOOST_TEST(sent.size() <= 50U);
    for (const auto &digest : sent)
        BOOST_TEST((digest.upstream != sidecar.id(0) && digest.digest.wantsReply));
    BOOST_TEST(sent.back().digest.entries.at(0).running == 1U);
    Digest question;
    question.wantsReply = true;
    sidecar.give(DigestReceived{question});
    BOOST_TEST(sidecar.did<SendDigest>().at(0).upstream == 0U);
    BOOST_TEST(!sidecar.did<SendDigest>().at(0).digest.wantsReply);
}

// Hundreds of routers stand before a few upstreams and each asks one of them every second. What a
// sidecar sends must not grow with their number.
BOOST_AUTO_TEST_CASE(digest_traffic_is_bounded)
{
    for (const auto routers : {1U, 40U}) {
        Sidecar sidecar(poolOf(18, 8));
        Digest question;
        question.wantsReply = true;
        for (int second = 0; second < 60; ++second) {
            for (std::size_t at = 1; at < 18; ++at)
                sidecar.hear(at, 4);
            for (std::uint32_t router = 0; router < routers; ++router) {
                sidecar.give(DigestReceived{question});
                sidecar.passAlive(Duration(1s) / routers);
            }
        }
        std::size_t bytes = 0;
        std::size_t replies = 0;
        for (const auto &digest : Sidecar::pick<SendDigest>(sidecar.all)) {
            bytes += digestSize(digest.digest);
            replies += digest.upstream == 0 ? 1 : 0;
        }
        BOOST_TEST_MESSAGE(routers << " routers: " << bytes / 60 << " bytes a second");
        BOOST_TEST(replies >= 60U);
        BOOST_TEST(bytes / 60 <= 2100U);
    }
}

// A lost or later entry about this very upstream comes back by gossip; its own count is the truth.
BOOST_AUTO_TEST_CASE(gossip_about_itself_is_ignored)
{
    Sidecar sidecar(shortQueue(3, 4));
    sidecar.hear(0, 99);
    BOOST_TEST(sidecar.node().loads().find(sidecar.id(0), sidecar.now)->running == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
