/// Estimates how long streams take, for a process that is shutting down.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>

namespace applehatch::direct {

/// Learns the time per token from finished streams.
///
/// A process that shuts down has a fixed time left. A stream that is accepted too late is cut off
/// in the middle and its caller starts over; one that is refused needlessly costs its caller a
/// request to another router.
class StreamDurationEstimator
{
public:
    /// Time per token assumed before any stream has finished; slow enough that a stream accepted
    /// before a shutdown still ends in time.
    static constexpr Duration initialTokenTime = std::chrono::milliseconds(16);
    /// Factor by which an engine may slow down when other engines have just left.
    static constexpr double safetyFactor = 1.5;
    /// Decay of the slowest time per token with each faster stream, so that the slowest of about 35
    /// streams counts. A mean would not do: callers allow for more tokens than most answers have,
    /// so a stream that uses all of its tokens takes several times as long per allowed token as the
    /// mean.
    static constexpr double decayPerStream = 0.98;
    /// Streams that are allowed fewer tokens are ignored, because they say little about the time
    /// per token.
    static constexpr std::uint32_t minTokens = 50;
    /// Upper bound on the time before the first token; reading 30,000 tokens takes 0.4 s.
    static constexpr Duration maxFirstTokenTime = std::chrono::milliseconds(1000);

    /// Records that a stream allowed `maxTokens` took `duration` from its first event to its last.
    auto noteStream(std::uint32_t maxTokens, Duration duration) -> void;
    /// Whether a stream of at most `maxTokens` tokens is expected to end within `remaining`. False
    /// if `maxTokens` is 0.
    [[nodiscard]] auto endsWithin(std::uint32_t maxTokens, Duration remaining) const -> bool;

private:
    double slowestTokenMs_ = std::chrono::duration<double, std::milli>(initialTokenTime).count();
};

} // namespace applehatch::direct
