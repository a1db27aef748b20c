/// Typed form of the settings that the configuration service publishes.
#pragma once

#include "applehatch/settings/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::settings {

/// Version of a subtree or of the whole tree, as numbered by the configuration service.
using SettingsIndex = std::uint64_t;

/// Identifies an upstream within the fleet: the hash of `team/pool/member`. 0 means no upstream.
using UpstreamId = std::uint64_t;

/// IPv4 address and port of a process; host names are not accepted.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator==(const Address &) const -> bool = default;
};

/// An upstream of a pool and the sidecar that runs next to it.
struct Member
{
    UpstreamId id = 0;
    std::string name;
    std::string dataCenter;
    Address sidecar;         ///< TCP, for routers and other sidecars.
    Address digest;          ///< UDP, for load digests.
    Address upstream;        ///< HTTP, used only by its own sidecar.
    std::uint32_t slots = 1; ///< Capacity: requests that it runs concurrently.
};

enum class PoolKind {
    Model,   ///< Engines that serve chat completions.
    Service, ///< Plain services, reached under a path prefix.
};

/// Whether the engines of a pool refuse orders with an outdated fencing number.
enum class Fencing {
    Honored,
    Ignored,
};

/// How waiting requests are ordered.
enum class QueueOrder {
    FirstCome,
    EarliestDeadline,
    DeadlineWithRefusal, ///< As above; refuses on arrival what cannot meet its deadline.
};

/// Interchangeable upstreams of one deployment.
struct Pool
{
    std::string team;
    std::string name;
    PoolKind kind = PoolKind::Model;
    std::string pathPrefix;          ///< Service pools only; begins with a slash.
    std::vector<std::string> models; ///< Model pools only; models that its engines serve.
    double loadMultiple = 1.25;      ///< Load bound of an upstream over the mean of its pool.
    std::uint32_t queueLimit = 64;   ///< Requests that may wait at one upstream.
    Duration queueWait = std::chrono::seconds(5); ///< Maximum wait before a refusal.
    /// Maximum expected wait that a chat accepts at its owner rather than start cold on another
    /// engine. Zero moves the chat at once. With a longer wait more chats find their context, and a
    /// busy upstream stays at its load bound more often.
    Duration maxOwnerWait = std::chrono::seconds(1);
    QueueOrder queueOrder = QueueOrder::DeadlineWithRefusal;
    Duration defaultDeadline = std::chrono::seconds(120);
    Duration maxDeadline = std::chrono::seconds(600);
    Duration resendWindow = std::chrono::seconds(600); ///< How long a caller may resend a key.
    double retryBudget = 0.1; ///< Allowed retries as a share of recent requests.
    Fencing fencing = Fencing::Honored;
    std::uint32_t rolloutWidth = 1;   ///< Upstreams that a rollout may take out at a time.
    bool preferOwnDataCenter = false; ///< Hash over the router's own data centre first.
    std::vector<Member> members;
};

/// A customer of a team.
struct Customer
{
    std::string name;
    double weight = 1.0;             ///< Share of a queue relative to other customers.
    std::uint32_t inFlightLimit = 0; ///< Per upstream; 0 means no limit.
};

/// The settings of one team; a subtree is accepted only as a whole.
struct Team
{
    std::string name;
    SettingsIndex index = 0;
    std::map<std::string, Pool> pools;
    std::map<std::string, Customer> customers;
    std::string adminTokenHash; ///< Lower-case hex SHA-256 of the token; empty grants no access.
};

/// Settings in force in one process. Immutable: an update replaces the whole object.
struct Settings
{
    SettingsIndex index = 0; ///< The highest index seen; subtrees may be older.
    std::map<std::string, std::shared_ptr<const Team>> teams;
};

using SettingsPtr = std::shared_ptr<const Settings>;

/// An error or a warning found in a settings text.
struct Problem
{
    std::string path;                  ///< Such as `pools.drafting.members[2].slots`.
    std::optional<std::uint32_t> line; ///< Counted from 1; empty when unknown.
    std::string expected;              ///< Accepted values, and the value found.

    auto operator==(const Problem &) const -> bool = default;
};

/// Result of parsing a subtree: `team` is set only when there are no problems.
struct ParseResult
{
    std::shared_ptr<const Team> team;
    std::vector<Problem> problems;
};

/// Validates a team's subtree and converts it to its typed form.
///
/// A pure function of its arguments, so that all processes accept or refuse the same texts. Reports
/// all problems at once. `text` is JSON with comments.
[[nodiscard]] auto parseTeam(const std::string &teamName, const std::string &text,
                             SettingsIndex index) -> ParseResult;

/// Derives an upstream's id from its team, pool and member names; never 0.
[[nodiscard]] auto upstreamId(const std::string &team, const std::string &pool,
                              const std::string &member) -> UpstreamId;

} // namespace applehatch::settings
