/// Whether bytes go on coming or going.
#pragma once

#include "applehatch/telemetry/clock.h"

#include <cstddef>

namespace applehatch::telemetry {

/// Notes when bytes last made progress. A few now and then are none: they could keep a connection
/// for ever.
class Progress
{
public:
    /// Fewer bytes than this are no progress yet.
    static constexpr std::size_t minBytes = 4096;
    /// Whoever makes none for this long stands still.
    static constexpr core::Duration stillTime = std::chrono::milliseconds(500);

    auto restart() -> void
    {
        at_ = steadyNow();
        bytes_ = 0;
    }
    auto note(std::size_t bytes) -> void
    {
        bytes_ += bytes;
        if (bytes_ >= minBytes)
            restart();
    }
    [[nodiscard]] auto at() const -> core::Instant { return at_; }

private:
    core::Instant at_ = steadyNow();
    std::size_t bytes_ = 0; // Since `at_`.
};

} // namespace applehatch::telemetry
