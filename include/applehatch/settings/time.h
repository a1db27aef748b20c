/// The time types of the decision packages.
#pragma once

#include <chrono>
#include <cstdint>

namespace applehatch::settings {

/// All durations inside decisions; microseconds.
using Duration = std::chrono::microseconds;

/// A clock that cannot be read.
///
/// Decisions are given the time with each event, so that the same code runs in the programs, in
/// tests and in a bench that bends time. It therefore has no `now()`.
struct NodeClock
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<NodeClock, Duration>;
    static constexpr bool is_steady = true;
};

/// A reading of one process's steady clock. Readings of two processes do not compare.
using Instant = NodeClock::time_point;

} // namespace applehatch::settings
