/// A clock for timeouts on peers that does not count stalls of this process.
#pragma once

#include "applehatch/core/identity.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace applehatch::core {

/// A clock that does not advance while this process is stalled.
///
/// Messages that arrive during a stall are unread when it ends. With an ordinary clock all peers
/// would time out together, and a short stall would cause a burst of new connections.
class StallAwareClock
{
public:
    /// Maximum advance between two calls of `recordPoll`.
    static constexpr Duration maxStep = std::chrono::milliseconds(200);

    /// Records that everything received by `now` has been read.
    auto recordPoll(Instant now) -> void
    {
        reading_ = at(now);
        polledAt_ = now;
    }

    /// Returns the clock's reading at `now`. The first call starts the clock.
    [[nodiscard]] auto at(Instant now) -> Instant
    {
        if (!polledAt_) {
            polledAt_ = now;
            reading_ = now;
        }
        return reading_ + std::clamp(Duration(now - *polledAt_), Duration(0), maxStep);
    }

private:
    std::optional<Instant> polledAt_;
    Instant reading_;
};

} // namespace applehatch::core
