#include "applehatch/core/listening-clock.h"

#include <boost/test/unit_test.hpp>

namespace applehatch::core {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(stall_aware_clock)

BOOST_AUTO_TEST_CASE(it_advances_with_time_while_polls_are_frequent)
{
    ListeningClock clock;
    const Instant start{10s};
    BOOST_TEST((clock.at(start) == start));
    for (auto passed = 50ms; passed <= 5s; passed += 50ms)
        clock.look(start + passed);
    BOOST_TEST((clock.at(start + 5s) == start + 5s));
    BOOST_TEST((clock.at(start + 5100ms) == start + 5100ms));
}

// Guards against counting time in which this process received nothing as silence of its peers.
BOOST_AUTO_TEST_CASE(it_stops_during_a_long_gap_between_polls)
{
    ListeningClock clock;
    const Instant start{10s};
    clock.look(start);
    BOOST_TEST((clock.at(start + 1h) == start + ListeningClock::longestStep));
    clock.look(start + 1h);
    BOOST_TEST((clock.at(start + 1h) == start + ListeningClock::longestStep));
    clock.look(start + 1h + 50ms);
    BOOST_TEST((clock.at(start + 1h + 50ms) == start + ListeningClock::longestStep + 50ms));
}

// Guards against two threads that read the system time in one order and query this clock in the
// other.
BOOST_AUTO_TEST_CASE(it_never_goes_backwards)
{
    ListeningClock clock;
    const Instant start{10s};
    clock.look(start);
    clock.look(start + 100ms);
    BOOST_TEST((clock.at(start + 90ms) == start + 100ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::core
