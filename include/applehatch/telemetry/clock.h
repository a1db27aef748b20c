/// The clocks of a process; decisions are given their readings.
#pragma once

#include "applehatch/core/identity.h"

#include <cstdint>

namespace applehatch::telemetry {

/// The steady clock, which each event is stamped with.
[[nodiscard]] auto steadyNow() -> core::Instant;

/// Microseconds of the wall clock since 1970; a sidecar's incarnation.
[[nodiscard]] auto wallMicroseconds() -> std::uint64_t;

} // namespace applehatch::telemetry
