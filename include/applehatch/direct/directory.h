/// Routes, customers and upstreams as known to a router that calls upstreams directly.
#pragma once

#include "applehatch/core/identity.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace applehatch::direct {

using core::Address;
using core::Duration;
using core::Instant;
using core::UpstreamId;

/// Determines whether a route's requests may be retried after they may have run.
enum class RouteKind {
    Safe,   ///< May run any number of times.
    Unsafe, ///< Runs at most once per request of a caller.
    Stream, ///< Answers with events; runs at most once unless the route is resumable.
};

/// A service that requests of a route may be sent to.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the weights of the other targets.
};

struct Route
{
    std::string name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    std::vector<RouteTarget> targets;
    Duration timeout{0}; ///< Limit on the time until the answer is complete.
    /// Target response time; answers within it are of full use to the caller.
    Duration objective{0};
    Duration maxEventGap{0};    ///< Target for the pause between two events of a stream.
    std::uint32_t attempts = 1; ///< Maximum number of upstreams that one request may be sent to.
    int priority = 0;           ///< 0 is the most urgent.
    bool isPublic = false;      ///< Accepts requests without a key.
    bool resumable = false;     ///< A broken stream may be continued by another upstream.
};

struct Service
{
    std::string name;
    /// Connections that one upstream accepts from all callers; 0 if not known.
    std::uint32_t maxConnections = 0;
    bool isModel = false; ///< Its upstreams are engines, which keep prompts in memory.
    /// Memory of one engine for requests and contexts, in tokens; 0 if not known.
    std::uint32_t memoryTokens = 0;
    bool sharesContexts = false; ///< An engine can fetch a context from another.
    /// How long an upstream is cold after it starts.
    Duration coldTime{0};
    /// Requests a second that a cold upstream bears from all callers; 0 for no limit.
    double coldRequestsPerSecond = 0;
};

struct Customer
{
    std::string name;
    std::optional<int> priority; ///< Overrides the route's priority.
};

/// Limits on the requests and connections of a caller.
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operator's configuration, with its look-up tables.
class Configuration
{
public:
    std::uint64_t version = 0;
    CallerLimits limits;
    std::map<std::string, Service, std::less<>> services;

    auto add(Route route) -> void;
    auto add(Customer customer, const std::vector<std::string> &keys) -> void;

    /// Returns the route with the longest prefix of `path`; null if there is none.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const
        -> const Route *;

    /// Returns the customer that `key` belongs to; null if there is none.
    [[nodiscard]] auto findCustomer(const std::string &key) const -> const Customer *;

    /// Whether any customers are configured, so that routes that are not public require a key.
    [[nodiscard]] auto hasCustomers() const -> bool { return namesCustomers; }

    bool namesCustomers = false;

private:
    std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>> routesByHost_;
    std::unordered_map<std::string, std::shared_ptr<const Customer>> customersByKey_;
};

enum class UpstreamState {
    Ready,
    Doubtful, ///< Its entry expired while the registry was unreachable; it may be written again
              ///< shortly.
    Leaving,  ///< Draining: completes its running requests and gets no new ones.
};

/// Returns `ready`, `doubtful` or `leaving`, for the log.
[[nodiscard]] auto stateName(UpstreamState state) -> std::string_view;

/// An upstream as described by its registry entry.
struct Upstream
{
    UpstreamId id = 0; ///< Hash of `instance` and `incarnation`; nothing known of one incarnation
                       ///< applies to the next.
    std::string instance; ///< Name of the upstream, by which it recognizes and refuses requests
                          ///< meant for another.
    std::uint64_t incarnation = 0; ///< Changes when the upstream restarts under the same name.
    std::string service;
    std::string version; ///< Version of its software; empty if its entry does not tell.
    Address address;
    std::string dataCenter;
    std::uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready;
    /// How much longer it is cold, as of the time when its entry was written; none if the entry
    /// does not tell.
    std::optional<Duration> coldLeft;
    std::uint64_t entryRevision = 0; ///< Registry revision of its entry.
};

/// The upstreams of all services.
using UpstreamList = std::vector<Upstream>;

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace applehatch::direct
