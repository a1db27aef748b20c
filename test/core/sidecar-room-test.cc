#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto mayWait(Submit submit) -> Submit
{
    submit.mayWait = true;
    return submit;
}

auto patient(Pool pool) -> Pool
{
    pool.homeWait = 1s;
    return pool;
}

auto turnOf(const Sidecar &sidecar, const RequestId &id, ChatKey chat) -> Submit
{
    auto submit = sidecar.request(id);
    submit.terms.chat = chat;
    return submit;
}

// Its context is here then, and the service time is known.
auto runTurn(Sidecar &sidecar, ChatKey chat, Duration time) -> void
{
    const auto run = sidecar.run(turnOf(sidecar, "turn-" + std::to_string(chat), chat));
    sidecar.pass(time);
    sidecar.answer(run, "x");
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_room)

// A rush fills one upstream up to its bound while others are idle as far as it has heard. One that
// has nowhere else to go waits here, and the engine carries no more than the bound meanwhile.
BOOST_AUTO_TEST_CASE(one_that_may_wait_starts_when_the_mean_has_caught_up)
{
    Sidecar sidecar(poolOf(3, 8));
    sidecar.hear(1, 0).hear(2, 0);
    sidecar.run(sidecar.request("r1"));
    sidecar.from(sidecar.request("r2"));
    BOOST_TEST(told(sidecar.refusal()) == "overloaded/not-run");
    sidecar.from(mayWait(sidecar.request("r3")));
    BOOST_TEST(sidecar.did<StartRun>().empty());
    BOOST_TEST(sidecar.sent<Refusal>().empty());
    BOOST_TEST(sidecar.node().counts().waiting == 1U);
    sidecar.all.clear();
    sidecar.hear(1, 4).hear(2, 4).give(Tick{});
    BOOST_TEST(Sidecar::pick<StartRun>(sidecar.all).size() == 1U);
}

// Nobody else takes work, so the mean never rises. One request always runs, and the next follows
// it, or those that wait would wait for ever.
BOOST_AUTO_TEST_CASE(those_that_wait_always_get_on)
{
    Sidecar sidecar(poolOf(3, 8));
    sidecar.hear(1, 0).hear(2, 0);
    auto run = sidecar.run(sidecar.request("r1"));
    for (const auto *id : {"r2", "r3"}) {
        sidecar.from(mayWait(sidecar.request(id)));
        sidecar.hear(1, 0).hear(2, 0);
        BOOST_TEST(sidecar.did<StartRun>().empty());
    }
    for (auto left = 2; left > 0; --left) {
        sidecar.answer(run, "done");
        run = sidecar.started();
    }
}

// A chat comes back while its engine is at the bound. Sent away it would pay for its whole context
// again, and the caller of a long sheet would wait for that; here it waits for one run to end.
BOOST_AUTO_TEST_CASE(returning_chat_waits_at_home_while_that_is_short)
{
    for (const auto runTime : {300ms, 2000ms}) {
        Sidecar sidecar(patient(poolOf(3, 8)));
        sidecar.hear(1, 0).hear(2, 0);
        runTurn(sidecar, 42, runTime);
        sidecar.hear(1, 0).hear(2, 0);
        const auto run = sidecar.run(sidecar.request("r1"));
        sidecar.from(turnOf(sidecar, "stranger", 43));
        BOOST_TEST(told(sidecar.refusal()) == "overloaded/not-run");
        sidecar.from(turnOf(sidecar, "home", 42));
        BOOST_TEST(sidecar.did<StartRun>().empty());
        if (runTime > 1s) {
            BOOST_TEST(told(sidecar.refusal()) == "overloaded/not-run");
            continue;
        }
        BOOST_TEST(sidecar.sent<Refusal>().empty());
        sidecar.answer(run, "x");
        BOOST_TEST(sidecar.did<StartRun>().size() == 1U);
    }
}

// A customer is at its own limit when one of its chats comes back. It waits at home, behind its own
// customer and nobody else, and the limit on what runs holds meanwhile.
BOOST_AUTO_TEST_CASE(returning_chat_waits_at_home_for_its_customers_limit)
{
    Sidecar sidecar(patient(poolOf(1, 8)));
    sidecar.give(SettingsInForce{settingsOf(sidecar.pool(), 2, {{"c1", {"c1", 1.0, 1}}})});
    runTurn(sidecar, 42, 300ms);
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.from(sidecar.request("r2"));
    BOOST_TEST(told(sidecar.refusal()) == "customer-limit/not-run");
    sidecar.from(turnOf(sidecar, "home", 42));
    BOOST_TEST(sidecar.sent<Refusal>().empty());
    BOOST_TEST(sidecar.did<StartRun>().empty());
    auto other = sidecar.request("other");
    other.terms.customer = "c2";
    sidecar.from(other);
    BOOST_TEST(sidecar.did<StartRun>().size() == 1U);
    sidecar.answer(run, "x");
    BOOST_TEST(sidecar.did<StartRun>().size() == 1U);
}

// The wait has its limits: a full queue refuses at once, with the time to come back.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses_one_that_may_wait)
{
    auto pool = poolOf(3, 8);
    pool.queueLimit = 2;
    Sidecar sidecar(pool);
    sidecar.hear(1, 0).hear(2, 0);
    sidecar.run(sidecar.request("r1"));
    sidecar.from(mayWait(sidecar.request("r2")));
    sidecar.from(mayWait(sidecar.request("r3")));
    sidecar.from(mayWait(sidecar.request("r4")));
    BOOST_TEST(told(sidecar.refusal()) == "overloaded/not-run");
    BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
