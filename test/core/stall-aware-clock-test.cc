#include "applehatch/core/stall-aware-clock.h"

#include <boost/test/unit_test.hpp>

namespace applehatch::core {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(listening_clock)

BOOST_AUTO_TEST_CASE(it_advances_with_time_while_polls_are_frequent)
{
    StallAwareClock clock;
    const Instant start{10s};
    BOOST_TEST((clock.at(start) == start));
    for (auto passed = 50ms; passed <= 5s; passed += 50ms)
        clock.recordPoll(start + passed);
    BOOST_TEST((clock.at(start + 5s) == start + 5s));
    BOOST_TEST((clock.at(start + 5100ms) == start + 5100ms));
}

// Guards against counting time in which this process received nothing as silence of its peers.
BOOST_AUTO_TEST_CASE(it_stops_during_a_long_gap_between_polls)
{
    StallAwareClock clock;
    const Instant start{10s};
    clock.recordPoll(start);
    BOOST_TEST((clock.at(start + 1h) == start + StallAwareClock::maxStep));
    clock.recordPoll(start + 1h);
    BOOST_TEST((clock.at(start + 1h) == start + StallAwareClock::maxStep));
    clock.recordPoll(start + 1h + 50ms);
    BOOST_TEST((clock.at(start + 1h + 50ms) == start + StallAwareClock::maxStep + 50ms));
}

// Guards against two threads that read the system time in one order and query this clock in the
// other.
BOOST_AUTO_TEST_CASE(it_never_goes_backwards)
{
    StallAwareClock clock;
    const Instant start{10s};
    clock.recordPoll(start);
    clock.recordPoll(start + 100ms);
    BOOST_TEST((clock.at(start + 90ms) == start + 100ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::core
