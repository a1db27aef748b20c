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
    /// Before any stream was seen: a batch of 30 at the engines that the product was measured with.
    static constexpr Duration firstGuess = std::chrono::milliseconds(8);
    /// The bound is this many times the mean: half of all streams are slower than the mean, and an
    /// engine whose neighbours have just left slows down to less than half.
    static constexpr double safety = 2.0;
    /// Before the first token, at the most: reading 30,000 tokens takes 0.4 s.
    static constexpr Duration beforeFirstToken = std::chrono::milliseconds(1000);

    auto noteStream(std::uint32_t mostTokens, Duration took) -> void;
    /// Whether a stream of at most `mostTokens` tokens surely ends within `left`.
    [[nodiscard]] auto endsWithin(std::uint32_t mostTokens, Duration left) const -> bool;

private:
    double tokenMs_ = std::chrono::duration<double, std::milli>(firstGuess).count();
};

} // namespace applehatch::direct
