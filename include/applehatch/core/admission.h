/// Admission control of one upstream: its load bound, and the expected wait in its queue.
#pragma once

#include "applehatch/core/load-table.h"

#include <cstdint>
#include <optional>

namespace applehatch::core {

/// The maximum load that an upstream with `slots` may reach now.
///
/// `knownLoad` is the load of the pool, the upstream itself included. When no other member has
/// reported, the mean is unknown and the upstream accepts no more than it can run at once. A pool
/// of one member has no mean to compare with, so only the length of its queue bounds it.
[[nodiscard]] auto admissionBound(const Pool &pool, const PoolLoad &knownLoad, std::uint32_t slots)
    -> std::uint32_t;

/// Exponentially weighted moving average of the time that a run occupies a slot.
class ServiceTime
{
public:
    auto record(Duration run) -> void;

    /// The average run time; none before the first run ended.
    [[nodiscard]] auto mean() const -> std::optional<Duration> { return mean_; }

private:
    std::optional<Duration> mean_;
};

/// The work that an upstream does before it starts a request that must wait.
struct Backlog
{
    double ahead = 0; ///< Waiting requests that are served first.
    std::uint32_t slots = 1;
    double higherPriorityShare =
        0; ///< Share of the slots taken by future requests of a higher priority.
};

/// The expected time until a slot is free for a request behind `backlog` when all slots are taken.
[[nodiscard]] auto expectedWait(const Backlog &backlog, Duration serviceTime) -> Duration;

/// The time after which a refused caller may retry: about when `backlog` has been served.
[[nodiscard]] auto retryAfterFor(const Backlog &backlog, std::optional<Duration> serviceTime)
    -> Duration;

} // namespace applehatch::core
