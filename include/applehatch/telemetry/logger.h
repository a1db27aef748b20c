/// The log: one line of key=value pairs for each event, on standard output.
#pragma once

#include <string_view>

namespace applehatch::telemetry {

enum class LogLevel {
    Info,
    Warning, ///< Something failed and the process goes on.
    Error,   ///< The process cannot do its work.
};

/// Sets the log up; once, before the first `writeLog`.
auto startLog() -> void;

/// Writes `time=... level=... TEXT`; `text` is a line of key=value pairs. Thread-safe.
auto writeLog(LogLevel level, std::string_view text) -> void;

} // namespace applehatch::telemetry
