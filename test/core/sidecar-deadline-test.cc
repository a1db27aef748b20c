#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto patientPool() -> Pool
{
    auto pool = poolOf(1, 1);
    pool.queueWait = 60s;
    return pool;
}

/// Runs one request, so that the sidecar knows how long runs take.
auto runFor(Sidecar &sidecar, const RequestId &id, Duration time, int priority = 0) -> void
{
    auto submit = sidecar.request(id);
    submit.terms.priority = priority;
    const auto run = sidecar.run(std::move(submit));
    sidecar.passAlive(time);
    sidecar.answer(run, "x");
}

auto withPriority(Submit submit, int priority) -> Submit
{
    submit.terms.priority = priority;
    return submit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_deadline)

// A request that can be run in time waits its turn, and then a rush of damp cases takes the places
// before it. Its caller would hold the line almost to the deadline, only to be told to come back.
BOOST_AUTO_TEST_CASE(one_that_is_overtaken_is_refused_when_its_hope_ends)
{
    Sidecar sidecar(patientPool());
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
    sidecar.passAlive(500ms);
    BOOST_TEST(sidecar.refusal().request == "low");
    BOOST_TEST(told(sidecar.refusal()) == "deadline-unmeetable/not-run");
    BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
}

// Damp cases alone keep the engine busy. One who asks for something else finds a short queue, but
// the next damp case always goes first: it must hear so at once, not after its whole deadline.
BOOST_AUTO_TEST_CASE(one_that_higher_priorities_would_always_overtake_is_refused_at_once)
{
    Sidecar sidecar(patientPool());
    for (auto number = 0; number < 20; ++number) {
        runFor(sidecar, "high-" + std::to_string(number), 1s, 9);
    }
    sidecar.run(withPriority(sidecar.request("high"), 9));
    auto low = sidecar.request("low");
    low.notAfter = sidecar.now + 8s;
    sidecar.from(low);
    BOOST_TEST(told(sidecar.refusal()) == "deadline-unmeetable/not-run");
    auto alike = withPriority(sidecar.request("alike"), 9);
    alike.notAfter = sidecar.now + 8s;
    sidecar.from(alike);
    BOOST_TEST(sidecar.sent<Refusal>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
