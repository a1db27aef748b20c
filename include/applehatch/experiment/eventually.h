/// Waiting for conditions, never for time.
#pragma once

#include <chrono>
#include <thread>

namespace applehatch::experiment {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Long enough for a busy machine; a condition that holds ends the wait at once.
inline constexpr milliseconds patience{10000};

/// Tries `condition` until it holds; false when it still does not after `limit`.
template <typename Condition>
[[nodiscard]] auto eventually(Condition condition, milliseconds limit = patience) -> bool
{
    constexpr milliseconds pause{10};
    const auto until = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace applehatch::experiment
