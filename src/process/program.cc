#include "applehatch/process/program.h"

namespace applehatch::process {

auto failToStart(std::error_code error) -> ExitCode
{
    telemetry::writeLog(telemetry::LogLevel::Error,
                        core::LogLine("cannot-bind").add("reason", error.message()).text());
    return ExitCode::CannotBind;
}

} // namespace applehatch::process
