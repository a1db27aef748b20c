/// Log on standard output with one line of key=value pairs per event.
#pragma once

#include <string_view>

namespace applehatch::telemetry {

enum class LogLevel {
    Info,
    Warning, ///< Something failed; the process continues.
    Error,   ///< The process cannot do its work.
};

/// Initializes the log. Call once, before the first `writeLog`.
auto startLog() -> void;

/// Writes `time=... level=... TEXT`; `text` is a line of key=value pairs. Thread-safe.
auto writeLog(LogLevel level, std::string_view text) -> void;

} // namespace applehatch::telemetry
