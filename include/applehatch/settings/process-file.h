/// The configuration file of one process, given with `--config`: its identity and addresses.
#pragma once

#include "applehatch/settings/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace applehatch::settings {

/// The program that reads the file. Each program accepts some keys that the other refuses.
enum class Role {
    Router,
    Sidecar,
};

/// Typed form of the file. Fields of the other role stay empty.
struct ProcessFile
{
    std::string name;
    std::string dataCenter;
    Address callers; ///< HTTP; routers only. Port 0 picks a free port, as for `admin`.
    Address admin;   ///< HTTP: metrics, health, administration.
    Address digest;  ///< UDP. Port 0 picks a free port; routers only.
    Address links;   ///< Sidecars only.
    Address upstream;
    std::string team;
    std::string pool;
    std::string member;
    Address settings; ///< The configuration service.
    Address hostList;
    Address weights; ///< Sidecars only.
    std::vector<Address> bootstrapPeers;
    Duration drainDeadline = std::chrono::seconds(600);
};

/// Result of parsing: `file` is set only when there are no problems.
struct ProcessFileResult
{
    std::shared_ptr<const ProcessFile> file;
    std::vector<Problem> problems;
};

/// Validates a process's configuration file and reports all problems at once. A pure function.
[[nodiscard]] auto parseProcessFile(const std::string &text, Role role) -> ProcessFileResult;

} // namespace applehatch::settings
