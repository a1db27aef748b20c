/// Whether one more request may join an upstream, and how long it would wait.
#pragma once

#include "applehatch/core/load-table.h"

#include <cstdint>
#include <optional>

namespace applehatch::core {

/// The largest load an upstream may reach now.
///
/// `heard` includes the upstream itself. When none of the other members has been heard from, the
/// mean is unknown and the upstream takes no more than it can run at once; a pool of one member
/// has no mean to keep to, so only its queue bounds it.
[[nodiscard]] auto admissionBound(const Pool &pool, const PoolLoad &heard, std::uint32_t slots)
    -> std::uint32_t;

/// How long runs take: an exponentially weighted moving average.
class ServiceTime
{
public:
    auto record(Duration run) -> void;

    /// None before the first run ended.
    [[nodiscard]] auto mean() const -> std::optional<Duration> { return mean_; }

private:
    std::optional<Duration> mean_;
};

/// What stands before a request that must wait.
struct Backlog
{
    double ahead = 0; ///< Waiting requests that go first.
    std::uint32_t slots = 1;
    double takenShare = 0; ///< Of the slots, by requests yet to come that will go first.
};

/// Until a slot is free for a request behind `backlog`, all slots being taken.
[[nodiscard]] auto expectedWait(const Backlog &backlog, Duration serviceTime) -> Duration;

/// When a refused caller may come back: about when `backlog` has been worked off.
[[nodiscard]] auto retryAfterFor(const Backlog &backlog, std::optional<Duration> serviceTime)
    -> Duration;

} // namespace applehatch::core
