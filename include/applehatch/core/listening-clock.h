/// The time in which this process was able to hear others.
#pragma once

#include "applehatch/core/identity.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace applehatch::core {

/// A clock that stands still while this process is held up.
///
/// What others sent meanwhile lies unread, so by any other clock all of them would have been silent
/// together; one would see a short pause end in a storm of new connections.
class ListeningClock
{
public:
    /// Most that counts between two looks.
    static constexpr Duration longestStep = std::chrono::milliseconds(200);

    /// All that had arrived by `now` was looked at.
    auto look(Instant now) -> void
    {
        reading_ = at(now);
        lookedAt_ = now;
    }

    /// The reading at `now`; the first one starts it.
    [[nodiscard]] auto at(Instant now) -> Instant
    {
        if (!lookedAt_) {
            lookedAt_ = now;
            reading_ = now;
        }
        return reading_ + std::clamp(Duration(now - *lookedAt_), Duration(0), longestStep);
    }

private:
    std::optional<Instant> lookedAt_;
    Instant reading_;
};

} // namespace applehatch::core
