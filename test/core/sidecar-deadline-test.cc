#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto poolWithLongQueueWait() -> Pool
{
    auto pool = poolOf(1, 1);
    pool.queueWait = 60s;
    return pool;
}

/// Runs one request, so that the sidecar can estimate the service time.
auto runFor(Sidecar &sidecar, const RequestId &id, Duration time, int priority = 0) -> void
{
    auto submit = sidecar.request(id);
    submit.terms.priority = priority;
    const auto run = sidecar.run(std::move(submit));
    sidecar.passWithHeartbeats(time);
    sidecar.answer(run, "x");
}

auto withPriority(Submit submit, int priority) -> Submit
{
    submit.terms.priority = priority;
    return submit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_deadline)

// A request that could meet its deadline waits in the queue, then a burst of requests of higher
// priority overtakes it. Without an early refusal its caller would wait almost to the deadline and
// then be refused.
BOOST_AUTO_TEST_CASE(an_overtaken_request_is_refused_once_its_deadline_is_unmeetable)
{
    Sidecar sidecar(poolWithLongQueueWait());
    runFor(sidecar, "first", 2s);
    sidecar.run(sidecar.request("running"));
    auto low = sidecar.request("low");
    low.notAfter = sidecar.now + 20s;
    sidecar.from(low);
    BOOST_TEST(sidecar.sent<Refusal>().empty());
    for (auto number = 0; number < 12; ++number) {
        sidecar.from(withPriority(sidecar.request("high-" + std::to_string(number)), 9));
        BOOST_TEST(sidecar.sent<Refusal>().empty());
    }
    sidecar.passWithHeartbeats(500ms);
    BOOST_TEST(sidecar.refusal().request == "low");
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "deadline-unmeetable/not-run");
    BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
}

// Requests of high priority alone keep the engine busy. A request of low priority finds a short
// queue, but the next request of high priority always goes first: it must be refused at once, not
// after its whole deadline.
BOOST_AUTO_TEST_CASE(a_request_always_overtaken_by_higher_priorities_is_refused_at_once)
{
    Sidecar sidecar(poolWithLongQueueWait());
    for (auto number = 0; number < 20; ++number) {
        runFor(sidecar, "high-" + std::to_string(number), 1s, 9);
    }
    sidecar.run(withPriority(sidecar.request("high"), 9));
    auto low = sidecar.request("low");
    low.notAfter = sidecar.now + 8s;
    sidecar.from(low);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "deadline-unmeetable/not-run");
    auto alike = withPriority(sidecar.request("alike"), 9);
    alike.notAfter = sidecar.now + 8s;
    sidecar.from(alike);
    BOOST_TEST(sidecar.sent<Refusal>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
