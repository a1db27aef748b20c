#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto servicePool(std::uint32_t members = 1) -> Pool
{
    auto pool = poolOf(members, 4);
    pool.kind = applehatch::settings::PoolKind::Service;
    return pool;
}

// Returns a key that member 0 owns in `owned` and another member owns in `elsewhere`.
auto keyOwnedOnlyIn(const Pool &owned, const Pool &elsewhere) -> std::string
{
    for (int number = 0;; ++number) {
        Terms terms;
        terms.team = "tai";
        terms.pool = "jobs";
        terms.customer = "c1";
        terms.idempotencyKey = "k" + std::to_string(number);
        const auto hash = runOnceHash(terms);
        const auto own = owned.members.at(0).id;
        if (rendezvousOwner(hash, owned.members) == own
            && rendezvousOwner(hash, elsewhere.members) != own)
            return terms.idempotencyKey;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_keys)

// A caller books a repair, loses its connection and sends the key again, through any router and at
// any time. If the key ran again, two operatives would be sent to one address.
BOOST_AUTO_TEST_CASE(repeats_of_a_key_never_run_again)
{
    struct Row
    {
        std::string when;
        std::string expected; // Empty when the recorded answer is replayed completely.
    };
    const std::vector<Row> rows = {{"running", ""},
                                   {"acknowledged", ""},
                                   {"answer-expired", ""},
                                   {"lost", "outcome-unknown/unknown"},
                                   {"ended-early", "outcome-unknown/unknown"},
                                   {"restarted", "outcome-unknown/unknown"},
                                   {"deadline", "outcome-unknown/unknown"},
                                   {"revoked", ""},
                                   {"unread", ""},
                                   {"other-body", "key-reused/not-run"}};
    for (const auto &row : rows) {
        Sidecar sidecar(servicePool());
        const auto run = sidecar.run(sidecar.keyed("r1", "k"));
        sidecar.give(RunHead{run, 201, {{"a", "b"}}, false}).give(RunChunk{run, "job "});
        if (row.when == "lost" || row.when == "ended-early") {
            sidecar.give(
                RunBroken{run, row.when == "lost" ? RunBreak::Lost : RunBreak::EndedEarly});
            sidecar.pass(2s);
            BOOST_TEST(outcomeOf(sidecar.refusal()) == row.expected);
        } else if (row.when == "restarted") {
            sidecar.report("epoch-2");
        } else if (row.when == "deadline") {
            sidecar.passWithHeartbeats(60s);
            BOOST_TEST(outcomeOf(sidecar.refusal()) == "deadline-exceeded/ran");
        } else if (row.when == "revoked") {
            sidecar.from(Revoke{"r1", 1, 7});
        } else if (row.when == "unread") {
            sidecar.give(PeerLinkDown{routerLink}).pass(20s).give(PeerLinkUp{routerLink});
        }
        if (row.when != "running")
            sidecar.give(RunChunk{run, "7"}).give(RunEnd{run});
        if (row.when == "acknowledged")
            sidecar.from(Acknowledge{"r1", 5, true});
        if (row.when == "answer-expired")
            sidecar.pass(70s);
        auto again = sidecar.keyed("r2", "k");
        again.terms.firstSend = false;
        if (row.when == "other-body")
            again.terms.fingerprint = 1;
        sidecar.from(again);
        BOOST_TEST(sidecar.did<StartRun>().empty(), row.when);
        if (!row.expected.empty()) {
            BOOST_TEST(outcomeOf(sidecar.refusal()) == row.expected, row.when);
            continue;
        }
        BOOST_TEST(sidecar.sent<Head>().at(0).replayed == (row.when != "running"), row.when);
        BOOST_TEST(sidecar.sent<Head>().at(0).status == 201);
        if (row.when == "running")
            sidecar.give(RunChunk{run, "7"}).give(RunEnd{run});
        BOOST_TEST(sidecar.sent<End>().back().request == "r2", row.when);
        BOOST_TEST(sidecar.sent<End>().back().hash == stableHash("job 7"), row.when);
    }
}

// The upstream accepted no connection, so the key did not run and may be sent again.
BOOST_AUTO_TEST_CASE(a_key_that_never_ran_may_run)
{
    Sidecar sidecar(servicePool());
    sidecar.give(RunBroken{sidecar.run(sidecar.keyed("r1", "k")), RunBreak::NeverSent});
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "upstream-failed/not-run");
    sidecar.run(sidecar.keyed("r2", "k"));
}

// Between two sends of a key its owner restarts or the member list changes. The earlier owner or
// the earlier incarnation may have run the key, and the new owner cannot know.
BOOST_AUTO_TEST_CASE(resend_window)
{
    const auto three = servicePool(3);
    auto two = three;
    two.members.erase(two.members.begin() + 1);
    const auto key = keyOwnedOnlyIn(two, three);
    struct Row
    {
        bool firstSend;
        bool listChanged;
        Duration waited; // Since the start or the change of the member list.
        std::string expected;
    };
    const std::vector<Row> rows = {{false, false, 599s, "resend-window/unknown"},
                                   {false, false, 601s, ""},
                                   {true, false, 1s, ""},
                                   {false, true, 599s, "resend-window/unknown"},
                                   {false, true, 601s, ""},
                                   {true, true, 1s, ""}};
    for (const auto &row : rows) {
        Sidecar sidecar(row.listChanged ? three : two);
        if (row.listChanged) {
            sidecar.pass(700s, 1s);
            sidecar.from(sidecar.keyed("early", key));
            BOOST_TEST(outcomeOf(sidecar.refusal()) == "no-upstream/not-run");
            BOOST_TEST(sidecar.refusal().redirect != sidecar.id(0));
            sidecar.give(SettingsInForce{settingsOf(two, 2)});
        }
        sidecar.pass(row.waited, 1s);
        auto submit = sidecar.keyed("r1", key);
        submit.terms.firstSend = row.firstSend;
        sidecar.from(submit);
        BOOST_TEST(sidecar.did<StartRun>().size() == (row.expected.empty() ? 1U : 0U));
        if (!row.expected.empty())
            BOOST_TEST(outcomeOf(sidecar.refusal()) == row.expected);
    }
}

// A ticket is valid for one incarnation only; afterwards nobody knows whether it ran.
BOOST_AUTO_TEST_CASE(tickets)
{
    struct Row
    {
        Incarnation target;
        Duration expiresIn;
        bool firstSend;
        std::string expected;
    };
    const std::vector<Row> rows = {{7, 600s, false, ""},
                                   {6, 600s, false, "outcome-unknown/unknown"},
                                   {6, 600s, true, "stale-incarnation/not-run"},
                                   {7, 0s, false, "ticket-expired/unknown"},
                                   {0, 600s, false, "bad-request/not-run"},
                                   {7, 90000s, false, "bad-request/not-run"}};
    for (const auto &row : rows) {
        Sidecar sidecar(servicePool(3));
        const Ticket ticket{{1, 7}, "tai/jobs", 5, sidecar.now + row.expiresIn};
        auto submit = sidecar.keyed("r1", ticketKey(ticket));
        submit.target = row.target;
        submit.terms.firstSend = row.firstSend;
        sidecar.from(submit);
        BOOST_TEST(sidecar.did<StartRun>().size() == (row.expected.empty() ? 1U : 0U));
        if (!row.expected.empty())
            BOOST_TEST(outcomeOf(sidecar.refusal()) == row.expected);
    }
}

BOOST_AUTO_TEST_CASE(full_table_refuses_new_keys)
{
    SidecarLimits limits;
    limits.keys = 2;
    Sidecar sidecar(servicePool(), limits);
    sidecar.answer(sidecar.run(sidecar.keyed("r1", "k1")), "x");
    sidecar.run(sidecar.keyed("r2", "k2"));
    sidecar.from(sidecar.keyed("r3", "k3"));
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "overloaded/not-run");
    sidecar.from(sidecar.keyed("r4", "k1"));
    BOOST_TEST(sidecar.sent<End>().size() == 1U);
    sidecar.passWithHeartbeats(601s);
    sidecar.run(sidecar.keyed("r5", "k5"));
}

BOOST_AUTO_TEST_SUITE_END()
