/// The last log line of a process that ends by a fatal signal or an uncaught exception.
#pragma once

#include <cstddef>

namespace applehatch::telemetry {

/// Makes the process write one line before it ends by a fatal signal (`ended-by-signal`) or by
/// `std::terminate` (`ended-by-exception`), then end as it would have without. Call once, after
/// `startLog`. A signal for which somebody has set a handler before keeps that handler.
auto reportFatalEnds() -> void;

/// Sets the number of requests in flight, which the last line names.
auto noteRequestsInFlight(std::size_t requests) -> void;

} // namespace applehatch::telemetry
