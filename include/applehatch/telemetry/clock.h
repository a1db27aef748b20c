/// Clocks of a process; their readings are passed to the decision logic.
#pragma once

#include "applehatch/core/identity.h"

#include <cstdint>

namespace applehatch::telemetry {

/// Reads the steady clock, which provides the time of each event.
[[nodiscard]] auto steadyNow() -> core::Instant;

/// Reads the wall clock in microseconds since 1970; serves as a sidecar's incarnation.
[[nodiscard]] auto wallMicroseconds() -> std::uint64_t;

} // namespace applehatch::telemetry
