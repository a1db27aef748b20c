/// How long streams take, for a process that is about to end.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>

namespace applehatch::direct {

/// Learns from finished streams how long a token takes.
///
/// A process that stops has a fixed time left. A stream begun too late is cut in the middle, and
/// its caller starts over; one refused without need costs the caller a way to another router.
class StreamPace
{
public:
    /// Before any stream was seen; slow enough that a stream taken before a stop still ends in
    /// time.
    static constexpr Duration firstGuess = std::chrono::milliseconds(16);
    /// An engine whose neighbours have just left slows down by so much.
    static constexpr double safety = 1.5;
    /// The slowest of some 35 streams counts, and fades by this with each that was faster. A mean
    /// would not do: callers allow for more tokens than most answers have, so that a stream with
    /// all of its tokens takes several times as long a token as the mean.
    static constexpr double fading = 0.98;
    /// Shorter streams tell little of the pace.
    static constexpr std::uint32_t fewestTokens = 50;
    /// Before the first token, at the most: reading 30,000 tokens takes 0.4 s.
    static constexpr Duration beforeFirstToken = std::chrono::milliseconds(1000);

    /// A stream that was allowed `mostTokens` took `took` from its first event to its last.
    auto noteStream(std::uint32_t mostTokens, Duration took) -> void;
    /// Whether a stream of at most `mostTokens` tokens surely ends within `left`.
    [[nodiscard]] auto endsWithin(std::uint32_t mostTokens, Duration left) const -> bool;

private:
    double slowestTokenMs_ = std::chrono::duration<double, std::milli>(firstGuess).count();
};

} // namespace applehatch::direct
