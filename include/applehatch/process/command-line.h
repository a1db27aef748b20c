/// Command line and exit codes of the router and the sidecar programs.
#pragma once

#include "applehatch/settings/process-file.h"

#include <memory>
#include <optional>
#include <string>

namespace applehatch::process {

/// Exit codes of both programs.
enum class ExitCode : int {
    Done = 0,
    SettingsRefused = 1, ///< The file of `--config` or `--check` cannot be read or is invalid.
    Usage = 2,
    CannotBind = 3, ///< A listening address is in use or does not belong to this host.
    RequestsAborted =
        4, ///< Stopped with requests in flight, by a second signal or the drain deadline.
};

/// Result of parsing the command line. Without a file the process exits with `exit`.
struct CommandLine
{
    std::shared_ptr<const settings::ProcessFile> file;
    ExitCode exit = ExitCode::Done;
};

/// Parses the flags. Prints help, the version, errors and the results of `--check` itself.
[[nodiscard]] auto readCommandLine(int argc, char **argv, settings::Role role) -> CommandLine;

} // namespace applehatch::process
