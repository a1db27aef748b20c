/// What both programs take on their command line, and how they end.
#pragma once

#include "applehatch/settings/process-file.h"

#include <memory>
#include <optional>
#include <string>

namespace applehatch::process {

/// Exit codes of both programs.
enum class ExitCode : int {
    Done = 0,
    SettingsRefused = 1, ///< The file of `--config` or `--check` cannot be read or was refused.
    Usage = 2,
    CannotBind = 3, ///< An address it should listen on is taken or not its own.
    WorkCut = 4,    ///< Stopped with requests in flight: a second signal or the drain deadline.
};

/// What to run; without a file the process ends with `exit`.
struct CommandLine
{
    std::shared_ptr<const settings::ProcessFile> file;
    ExitCode exit = ExitCode::Done;
};

/// Reads the flags; prints help, version, problems and check results itself.
[[nodiscard]] auto readCommandLine(int argc, char **argv, settings::Role role) -> CommandLine;

} // namespace applehatch::process
