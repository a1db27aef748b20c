/// Time types of the decision logic, which never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace applehatch::settings {

/// Duration in the decision logic, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock type without `now()`.
///
/// The decision logic receives the time with each event, so that the same code runs in the
/// programs, in tests and in a test bench with simulated time.
struct NodeClock
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<NodeClock, Duration>;
    static constexpr bool is_steady = true;
};

/// A reading of one process's steady clock. Readings of different processes are not comparable.
using Instant = NodeClock::time_point;

} // namespace applehatch::settings
