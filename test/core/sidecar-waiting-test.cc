#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto mayWait(Submit submit) -> Submit
{
    submit.mayWait = true;
    return submit;
}

auto withOwnerWait(Pool pool) -> Pool
{
    pool.maxOwnerWait = 1s;
    return pool;
}

auto chatTurn(const Sidecar &sidecar, const RequestId &id, ChatKey chat) -> Submit
{
    auto submit = sidecar.request(id);
    submit.terms.chat = chat;
    return submit;
}

// Runs one turn of the chat. The upstream then holds its context and the sidecar knows the service
// time.
auto runTurn(Sidecar &sidecar, ChatKey chat, Duration time) -> void
{
    const auto run = sidecar.run(chatTurn(sidecar, "turn-" + std::to_string(chat), chat));
    sidecar.pass(time);
    sidecar.answer(run, "x");
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_waiting)

// A burst fills one upstream up to its bound while the others are idle by the last known loads. A
// request with no other upstream to go to waits here, and the engine stays within the bound
// meanwhile.
BOOST_AUTO_TEST_CASE(a_waiting_request_starts_when_the_mean_has_risen)
{
    Sidecar sidecar(poolOf(3, 8));
    sidecar.receiveLoad(1, 0).receiveLoad(2, 0);
    sidecar.run(sidecar.request("r1"));
    sidecar.from(sidecar.request("r2"));
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "overloaded/not-run");
    sidecar.from(mayWait(sidecar.request("r3")));
    BOOST_TEST(sidecar.did<StartRun>().empty());
    BOOST_TEST(sidecar.sent<Refusal>().empty());
    BOOST_TEST(sidecar.node().counts().waiting == 1U);
    sidecar.all.clear();
    sidecar.receiveLoad(1, 4).receiveLoad(2, 4).give(Tick{});
    BOOST_TEST(Sidecar::pick<StartRun>(sidecar.all).size() == 1U);
}

// No other upstream takes requests, so the mean never rises. One request must always run, followed
// by the next, or the waiting requests would wait forever.
BOOST_AUTO_TEST_CASE(waiting_requests_always_progress)
{
    Sidecar sidecar(poolOf(3, 8));
    sidecar.receiveLoad(1, 0).receiveLoad(2, 0);
    auto run = sidecar.run(sidecar.request("r1"));
    for (const auto *id : {"r2", "r3"}) {
        sidecar.from(mayWait(sidecar.request(id)));
        sidecar.receiveLoad(1, 0).receiveLoad(2, 0);
        BOOST_TEST(sidecar.did<StartRun>().empty());
    }
    for (auto left = 2; left > 0; --left) {
        sidecar.answer(run, "done");
        run = sidecar.started();
    }
}

// A chat returns while its engine is at the bound. At another engine its whole context would be
// computed again, and the caller of a long sheet would wait for that; here it waits for one run to
// end.
BOOST_AUTO_TEST_CASE(returning_chat_waits_at_its_owner_while_the_wait_is_short)
{
    for (const auto runTime : {300ms, 2000ms}) {
        Sidecar sidecar(withOwnerWait(poolOf(3, 8)));
        sidecar.receiveLoad(1, 0).receiveLoad(2, 0);
        runTurn(sidecar, 42, runTime);
        sidecar.receiveLoad(1, 0).receiveLoad(2, 0);
        const auto run = sidecar.run(sidecar.request("r1"));
        sidecar.from(chatTurn(sidecar, "stranger", 43));
        BOOST_TEST(outcomeOf(sidecar.refusal()) == "overloaded/not-run");
        sidecar.from(chatTurn(sidecar, "home", 42));
        BOOST_TEST(sidecar.did<StartRun>().empty());
        if (runTime > 1s) {
            BOOST_TEST(outcomeOf(sidecar.refusal()) == "overloaded/not-run");
            continue;
        }
        BOOST_TEST(sidecar.sent<Refusal>().empty());
        sidecar.answer(run, "x");
        BOOST_TEST(sidecar.did<StartRun>().size() == 1U);
    }
}

// A customer is at its own limit when one of its chats returns. The turn waits at its owner, behind
// requests of the same customer only, and the limit on running requests holds meanwhile.
BOOST_AUTO_TEST_CASE(returning_chat_waits_at_its_owner_for_its_customers_limit)
{
    Sidecar sidecar(withOwnerWait(poolOf(1, 8)));
    sidecar.give(SettingsInForce{settingsOf(sidecar.pool(), 2, {{"c1", {"c1", 1.0, 1}}})});
    runTurn(sidecar, 42, 300ms);
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.from(sidecar.request("r2"));
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "customer-limit/not-run");
    sidecar.from(chatTurn(sidecar, "home", 42));
    BOOST_TEST(sidecar.sent<Refusal>().empty());
    BOOST_TEST(sidecar.did<StartRun>().empty());
    auto other = sidecar.request("other");
    other.terms.customer = "c2";
    sidecar.from(other);
    BOOST_TEST(sidecar.did<StartRun>().size() == 1U);
    sidecar.answer(run, "x");
    BOOST_TEST(sidecar.did<StartRun>().size() == 1U);
}

// Waiting is bounded: a full queue refuses at once, with the time after which to retry.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses_a_request_that_may_wait)
{
    auto pool = poolOf(3, 8);
    pool.queueLimit = 2;
    Sidecar sidecar(pool);
    sidecar.receiveLoad(1, 0).receiveLoad(2, 0);
    sidecar.run(sidecar.request("r1"));
    sidecar.from(mayWait(sidecar.request("r2")));
    sidecar.from(mayWait(sidecar.request("r3")));
    sidecar.from(mayWait(sidecar.request("r4")));
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "overloaded/not-run");
    BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
