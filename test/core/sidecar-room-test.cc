#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto mayWait(Submit submit) -> Submit
{
    submit.mayWait = true;
    return submit;
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
