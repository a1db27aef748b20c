/// What the platform publishes, checked and typed.
#pragma once

#include "applehatch/settings/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::settings {

/// A version of a subtree, or of the whole tree, as numbered by the configuration service.
using SettingsIndex = std::uint64_t;

/// Names one upstream within the fleet: the hash of `team/pool/member`; 0 names none.
using UpstreamId = std::uint64_t;

/// Where a process can be reached; always by IP number.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator==(const Address &) const -> bool = default;
};

/// One upstream of a pool and the sidecar beside it.
struct Member
{
    UpstreamId id = 0;
    std::string name;
    std::string dataCenter;
    Address sidecar;         ///< TCP, for routers and other sidecars.
    Address digest;          ///< UDP, for load digests.
    Address upstream;        ///< HTTP, for its own sidecar only.
    std::uint32_t slots = 1; ///< Requests it runs at once; its capacity.
};

enum class PoolKind {
    Model,   ///< Engines that serve chat completions.
    Service, ///< Plain services, reached under a path prefix.
};

/// Whether the engines of a pool refuse an order with an old fencing number.
enum class Fencing {
    Honored,
    Ignored,
};

/// How waiting requests are ordered.
enum class QueueOrder {
    FirstCome,
    EarliestDeadline,
    DeadlineWithRefusal, ///< As above, and what cannot be met is refused on arrival.
};

/// The engines of one deployment that stand in for one another.
struct Pool
{
    std::string team;
    std::string name;
    PoolKind kind = PoolKind::Model;
    std::string pathPrefix;          ///< Services only; begins with a slash.
    std::vector<std::string> models; ///< Models only; what its engines hold.
    double loadMultiple = 1.25;      ///< Bound on an upstream's load over the mean of its pool.
    std::uint32_t queueLimit = 64;   ///< Requests that may wait at one upstream.
    Duration queueWait = std::chrono::seconds(5); ///< Longest wait before a refusal.
    /// Longest expected wait that a chat takes at its home rather than start cold elsewhere.
    /// Zero: it moves at once. The longer, the more chats find their context, and the more often a
    /// busy upstream stays at its bound.
    Duration homeWait = std::chrono::seconds(1);
    QueueOrder queueOrder = QueueOrder::DeadlineWithRefusal;
    Duration defaultDeadline = std::chrono::seconds(120);
    Duration maxDeadline = std::chrono::seconds(600);
    Duration resendWindow = std::chrono::seconds(600); ///< How long a caller may repeat a key.
    double retryBudget = 0.1; ///< Retries allowed as a share of recent requests.
    Fencing fencing = Fencing::Honored;
    std::uint32_t rolloutWidth = 1;   ///< Upstreams that may be out at a time in a rollout.
    bool preferOwnDataCenter = false; ///< Hash among the router's own data centre first.
    std::vector<Member> members;
};

/// One of a team's customers.
struct Customer
{
    std::string name;
    double weight = 1.0;             ///< Share of a queue relative to other customers.
    std::uint32_t inFlightLimit = 0; ///< Per upstream; 0 sets none.
};

/// One team's subtree, accepted whole.
struct Team
{
    std::string name;
    SettingsIndex index = 0;
    std::map<std::string, Pool> pools;
    std::map<std::string, Customer> customers;
    std::string adminTokenHash; ///< Lower-case hex SHA-256 of the token; empty grants no access.
};

/// What one process has in force; never changed in place, replaced by a newer one.
struct Settings
{
    SettingsIndex index = 0; ///< The highest index seen; subtrees may be older.
    std::map<std::string, std::shared_ptr<const Team>> teams;
};

using SettingsPtr = std::shared_ptr<const Settings>;

/// One thing wrong with a subtree.
struct Problem
{
    std::string path;                  ///< Such as `pools.drafting.members[2].slots`.
    std::optional<std::uint32_t> line; ///< Where known; from 1.
    std::string expected;              ///< What the key takes, and what was found.

    auto operator==(const Problem &) const -> bool = default;
};

/// Outcome of parsing a subtree: a team when there are no problems.
struct ParseResult
{
    std::shared_ptr<const Team> team;
    std::vector<Problem> problems;
};

/// Checks one team's subtree and gives its typed form.
///
/// A pure function of its arguments, so that every process accepts or refuses the same text. All
/// problems are reported at once. `text` is JSON with comments.
[[nodiscard]] auto parseTeam(const std::string &teamName, const std::string &text,
                             SettingsIndex index) -> ParseResult;

/// The id of an upstream from its full name.
[[nodiscard]] auto upstreamId(const std::string &team, const std::string &pool,
                              const std::string &member) -> UpstreamId;

} // namespace applehatch::settings
