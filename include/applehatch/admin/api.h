/// The read-only administration API, apart from the server that carries it.
#pragma once

#include "applehatch/core/router-node.h"
#include "applehatch/core/settings-replica.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::admin {

/// Every path of the API begins with this.
inline constexpr std::string_view apiPrefix = "/admin/v1/";

/// One request after the server read it.
struct Request
{
    std::string method;
    std::string path; ///< Percent-decoding is done here, not by the server.
    std::string query;
    std::string body;
    std::string authorization; ///< The header's value; empty without one.
    bool fromLoopback = false; ///< The caller's address is on this host.
};

struct Answer
{
    int status = 200;
    std::string body; ///< JSON; `application/problem+json` when `status` is 400 or more.
};

/// What the API tells of the process itself.
struct ProcessStatus
{
    std::string name;
    std::string role; ///< `router` or `sidecar`.
    std::string dataCenter;
    bool ready = false;
    bool draining = false;
    std::uint64_t inFlight = 0;
};

/// Where the answers come from; the host sets each hook and holds its locks within it.
struct Source
{
    std::function<ProcessStatus()> process;
    std::function<core::SettingsPtr()> settings;
    std::function<std::vector<core::SubtreeStatus>()> subtrees;
    std::function<std::optional<core::DigestEntry>(core::UpstreamId)> load;
    std::function<core::PoolLoad(const core::Pool &)> poolLoad;
    /// Team, pool, chat, context token; unset in a sidecar, which routes nothing.
    std::function<std::vector<core::Candidate>(const std::string &, const std::string &,
                                               const std::string &, const std::string &)>
        explain;
    std::function<core::Instant()> now;
};

/// Whether `authorization` opens a team's subtree.
///
/// With a token hash the bearer token must match it, compared in constant time. Without one only
/// callers on this host are let in, so that a team that set no token is not open to the network.
[[nodiscard]] auto authorized(const settings::Team &team, const std::string &authorization,
                              bool fromLoopback) -> bool;

/// Answers one request; changes nothing.
[[nodiscard]] auto handle(const Request &request, const Source &source) -> Answer;

} // namespace applehatch::admin
