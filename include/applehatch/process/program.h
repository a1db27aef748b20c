/// The life of a program from its command line to its exit code; the same in both.
#pragma once

#include "applehatch/process/command-line.h"
#include "applehatch/process/drain.h"
#include "applehatch/process/signals.h"
#include "applehatch/telemetry/logger.h"

#include "applehatch/core/log-line.h"

#include <cstdlib>

namespace applehatch::process {

/// Logs that a process cannot start and gives its exit code.
[[nodiscard]] auto failToStart(std::error_code error) -> ExitCode;

/// Runs `host`, which has `start`, `requestDrain`, `inFlight` and `drain`, until it is stopped.
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
    const auto cut = static_cast<std::int64_t>(host.inFlight());
    telemetry::writeLog(telemetry::LogLevel::Error,
                        core::LogLine("stopped-with-work-cut").add("in-flight", cut).text());
    // Threads still hold callers' connections, so an orderly end could wait for them for good.
    std::_Exit(static_cast<int>(ExitCode::WorkCut));
}

} // namespace applehatch::process
