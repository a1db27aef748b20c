#include "applehatch/telemetry/clock.h"

namespace applehatch::telemetry {

auto steadyNow() -> core::Instant
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return core::Instant(std::chrono::duration_cast<core::Duration>(now));
}

auto wallMicroseconds() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<core::Duration>(now).count());
}

} // namespace applehatch::telemetry
