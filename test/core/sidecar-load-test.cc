#include "applehatch/core/gossip.h"
#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

// Returns how many requests the sidecar admits at once before it refuses one.
auto countAdmitted(Sidecar &sidecar, const std::string &prefix = "r") -> std::uint32_t
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
// the mean load, by the loads it knows, and name the less loaded upstreams.
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
            sidecar.receiveLoad(at + 1, row.others[at]);
        BOOST_TEST(countAdmitted(sidecar) == row.admitted);
        const auto refusal = sidecar.refusal();
        BOOST_TEST(outcomeOf(refusal) == "overloaded/not-run");
        if (!row.others.empty())
            BOOST_TEST(refusal.loads.at(0).upstream != sidecar.id(0));
        BOOST_TEST(sidecar.node().counts().running <= 4U);
        BOOST_TEST(sidecar.node().counts().refusedBound == 1U);
    }
}

// Loads are also carried by submits, so that in a surge the mean does not wait for the digest
// timer.
BOOST_AUTO_TEST_CASE(submits_carry_loads)
{
    Sidecar sidecar(shortQueue(3, 4));
    BOOST_TEST(countAdmitted(sidecar) == 4U);
    auto submit = sidecar.request("carrier");
    for (const std::size_t at : {1U, 2U})
        submit.loads.push_back({sidecar.id(at), 1, 1, 8, 0, 4, UpstreamState::Serving, 0us});
    sidecar.from(submit);
    BOOST_TEST(sidecar.sent<Refusal>().empty());
    BOOST_TEST(sidecar.node().counts().waiting == 1U);
}

// The process stalls and resumes late. The mean that it remembers is from a busier time; admission
// by that mean would overload the upstream.
BOOST_AUTO_TEST_CASE(old_evidence_is_not_used)
{
    for (const auto stalls : {false, true}) {
        Sidecar sidecar(shortQueue(3, 4));
        sidecar.receiveLoad(1, 40).receiveLoad(2, 40);
        BOOST_TEST(sidecar.node().counts().bound > 20U);
        if (stalls)
            sidecar.now += 5s;
        else
            sidecar.pass(11s);
        BOOST_TEST(countAdmitted(sidecar) == 4U);
    }
}

// An upstream joins a busy pool. Its bound starts from a mean that includes the upstream itself,
// and grows with that mean only as the load of the others grows.
BOOST_AUTO_TEST_CASE(joining_upstream_is_not_flooded)
{
    Sidecar sidecar(shortQueue(3, 4));
    sidecar.receiveLoad(1, 6).receiveLoad(2, 6);
    const auto admitted = countAdmitted(sidecar);
    BOOST_TEST(admitted <= 1.5 * 4 * (12 + admitted + 1) / 12.0 + 1);
    BOOST_TEST(admitted == 13U);
}

BOOST_AUTO_TEST_CASE(queue_is_bounded_in_length_and_time)
{
    auto pool = shortQueue(1, 2, 3);
    pool.queueWait = 2s;
    Sidecar sidecar(pool);
    BOOST_TEST(countAdmitted(sidecar) == 5U);
    BOOST_TEST(sidecar.node().counts().running == 2U);
    sidecar.pass(2s);
    BOOST_TEST(sidecar.sent<Refusal>().size() == 3U);
    for (const auto &refusal : sidecar.sent<Refusal>())
        BOOST_TEST(outcomeOf(refusal) == "overloaded/not-run");
    BOOST_TEST(sidecar.node().counts().waiting == 0U);
}

BOOST_AUTO_TEST_CASE(customer_limit)
{
    Sidecar sidecar(shortQueue(1, 8));
    sidecar.give(SettingsInForce{settingsOf(sidecar.pool(), 2, {{"c1", {"c1", 1.0, 2}}})});
    BOOST_TEST(countAdmitted(sidecar) == 2U);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "customer-limit/not-run");
    BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
}

// The queue is long and runs take 2 s. A caller with 3 s left is refused at once, not after 3 s;
// one whose deadline could be met on arrival is refused as soon as it no longer can.
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
        auto unmeetable = sidecar.request("hopeless");
        unmeetable.notAfter = sidecar.now + 3s;
        sidecar.from(unmeetable);
        const auto refusesEarly = order == QueueOrder::DeadlineWithRefusal;
        BOOST_TEST(sidecar.sent<Refusal>().size() == (refusesEarly ? 1U : 0U));
        if (refusesEarly)
            BOOST_TEST(outcomeOf(sidecar.refusal()) == "deadline-unmeetable/not-run");
        auto meetable = sidecar.request("hopeful");
        meetable.notAfter = sidecar.now + 5s;
        sidecar.from(meetable);
        BOOST_TEST(sidecar.sent<Refusal>().empty());
        sidecar.pass(2900ms);
        BOOST_TEST(sidecar.sent<Refusal>().empty());
        sidecar.pass(200ms);
        const auto expected =
            refusesEarly ? "deadline-unmeetable/not-run" : "deadline-exceeded/not-run";
        BOOST_TEST(outcomeOf(sidecar.refusal()) == expected);
    }
}

// One digest is sent per second, and a digest that wants a reply is answered to its sender.
BOOST_AUTO_TEST_CASE(digests_are_exchanged)
{
    Sidecar sidecar(shortQueue(3, 4));
    sidecar.run(sidecar.request("r1"));
    sidecar.passWithHeartbeats(50s);
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

// Hundreds of routers serve a few upstreams, and each asks one of them every second. The traffic
// that a sidecar sends must not grow with the number of routers.
BOOST_AUTO_TEST_CASE(digest_traffic_is_bounded)
{
    for (const auto routers : {1U, 40U}) {
        Sidecar sidecar(poolOf(18, 8));
        Digest question;
        question.wantsReply = true;
        for (int second = 0; second < 60; ++second) {
            for (std::size_t at = 1; at < 18; ++at)
                sidecar.receiveLoad(at, 4);
            for (std::uint32_t router = 0; router < routers; ++router) {
                sidecar.give(DigestReceived{question});
                sidecar.passWithHeartbeats(Duration(1s) / routers);
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

// An outdated or later entry about this upstream comes back by gossip; the sidecar's own count is
// authoritative.
BOOST_AUTO_TEST_CASE(gossip_about_itself_is_ignored)
{
    Sidecar sidecar(shortQueue(3, 4));
    sidecar.receiveLoad(0, 99);
    BOOST_TEST(sidecar.node().loads().find(sidecar.id(0), sidecar.now)->running == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
