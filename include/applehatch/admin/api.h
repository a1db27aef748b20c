/// The read-only administration API, independent of the HTTP server.
#pragma once

#include "applehatch/core/router-node.h"
#include "applehatch/core/settings-replica.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::admin {

/// Common prefix of all paths of the API.
inline constexpr std::string_view apiPrefix = "/admin/v1/";

/// A request as read by the server.
struct Request
{
    std::string method;
    std::string path; ///< Still percent-encoded; `handle` decodes it.
    std::string query;
    std::string body;
    std::string authorization; ///< Value of the header; empty when it is absent.
    bool fromLoopback = false; ///< The caller connects from this host.
};

struct Answer
{
    int status = 200;
    std::string body; ///< JSON; `application/problem+json` when `status` is 400 or more.
};

/// Status that the API reports about the process itself.
struct ProcessStatus
{
    std::string name;
    std::string role; ///< `router` or `sidecar`.
    std::string dataCenter;
    bool ready = false;
    bool draining = false;
    std::uint64_t inFlight = 0;
};

/// Callbacks that provide the data of the answers. The program sets each callback, which takes any
/// locks it needs.
struct Source
{
    std::function<ProcessStatus()> process;
    std::function<core::SettingsPtr()> settings;
    std::function<std::vector<core::SubtreeStatus>()> subtrees;
    std::function<std::optional<core::DigestEntry>(core::UpstreamId)> load;
    std::function<core::PoolLoad(const core::Pool &)> poolLoad;
    /// Takes team, pool, chat and context token; unset in a sidecar, which routes no requests.
    std::function<std::vector<core::Candidate>(const std::string &, const std::string &,
                                               const std::string &, const std::string &)>
        explain;
    std::function<core::Instant()> now;
};

/// Returns whether `authorization` grants access to a team's subtree.
///
/// If the team has a token hash, the bearer token must match it; the comparison takes constant
/// time. Otherwise only callers on this host have access, so that a team without a token is not
/// exposed to the network.
[[nodiscard]] auto authorized(const settings::Team &team, const std::string &authorization,
                              bool fromLoopback) -> bool;

/// Answers one request without side effects.
[[nodiscard]] auto handle(const Request &request, const Source &source) -> Answer;

} // namespace applehatch::admin
