// What the log of a gateway's process tells of its end.
#include "process-fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace {

using namespace applehatch::gateway::testing;

} // namespace

BOOST_AUTO_TEST_SUITE(endings)

// Guards against a process that ends by a signal without a word, so that its log looks like that
// of one that was killed.
BOOST_AUTO_TEST_CASE(a_process_that_ends_by_a_signal_says_so_and_what_was_in_flight)
{
    ProcessFleet fleet(1);
    fleet.addEngine("v1");
    fleet.awaitServing();
    fleet.beginStreams(3, 1);
    auto &gateway = *fleet.gateways.front();
    gateway.signal(SIGABRT);
    BOOST_TEST(runUntil(fleet.loop, [&] { return !gateway.isRunning(); }));
    BOOST_TEST((gateway.exitStatus() == applehatch::experiment::ExitStatus{true, SIGABRT}));
    BOOST_TEST(gateway.logsLine("level=error event=ended-by-signal", "signal=6 inFlight=3"));
}

BOOST_AUTO_TEST_SUITE_END()
