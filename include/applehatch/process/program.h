/// Start, run and shutdown sequence shared by the router and the sidecar programs.
#pragma once

#include "applehatch/process/command-line.h"
#include "applehatch/process/drain.h"
#include "applehatch/process/signals.h"
#include "applehatch/telemetry/logger.h"

#include "applehatch/core/log-line.h"

#include <cstdlib>

namespace applehatch::process {

/// Logs that the process cannot start and returns its exit code.
[[nodiscard]] auto failToStart(std::error_code error) -> ExitCode;

/// Runs `host` until it is stopped and returns the exit code. `Host` provides `start`,
/// `requestDrain`, `inFlight` and `drain`.
template <typename Host>
[[nodiscard]] auto runHost(Host &host, const settings::ProcessFile &file) -> ExitCode
{
    if (const auto error = host.start())
        return failToStart(error);
    const SignalThread signals([&host] { host.drain().request(); });
    telemetry::writeLog(telemetry::LogLevel::Info,
                        core::LogLine("started").add("name", file.name).text());
    host.drain().waitForRequest();
    telemetry::writeLog(telemetry::LogLevel::Info, core::LogLine("draining").text());
    host.requestDrain();
    if (host.drain().waitForDone(file.drainDeadline)) {
        telemetry::writeLog(telemetry::LogLevel::Info, core::LogLine("stopped").text());
        return ExitCode::Done;
    }
    const auto aborted = static_cast<std::int64_t>(host.inFlight());
    telemetry::writeLog(telemetry::LogLevel::Error,
                        core::LogLine("stopped-with-work-cut").add("in-flight", aborted).text());
    // Threads still serve callers' connections; a regular exit could wait for them forever.
    std::_Exit(static_cast<int>(ExitCode::RequestsAborted));
}

} // namespace applehatch::process
