/// A process's own file, given with `--config`: who it is and where it listens.
#pragma once

#include "applehatch/settings/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace applehatch::settings {

/// Which of the two programs reads the file; each takes some keys that the other refuses.
enum class Role {
    Router,
    Sidecar,
};

/// The typed file. What belongs to the other role is left empty.
struct ProcessFile
{
    std::string name;
    std::string dataCenter;
    Address callers; ///< HTTP; routers only. Port 0 takes a free one, as for `admin`.
    Address admin;   ///< HTTP: metrics, health, administration.
    Address digest;  ///< UDP. Port 0 takes a free one for a router.
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

/// Outcome of parsing: a file when there are no problems.
struct ProcessFileResult
{
    std::shared_ptr<const ProcessFile> file;
    std::vector<Problem> problems;
};

/// Checks a process's own file; reports every problem at once. Pure.
[[nodiscard]] auto parseProcessFile(const std::string &text, Role role) -> ProcessFileResult;

} // namespace applehatch::settings
