/// Logging helper of the gateway process.
#pragma once

#include "applehatch/core/log-line.h"
#include "applehatch/telemetry/logger.h"

namespace applehatch::gateway {

inline auto log(const core::LogLine &line, telemetry::LogLevel level = telemetry::LogLevel::Info)
    -> void
{
    telemetry::writeLog(level, line.text());
}

} // namespace applehatch::gateway
