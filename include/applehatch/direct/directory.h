/// What a router that calls upstreams itself knows of routes, customers and upstreams.
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

/// What may be repeated of a route's requests.
enum class RouteKind {
    Safe,   ///< May run any number of times.
    Unsafe, ///< Runs at most once for each request of a caller.
    Stream, ///< Answers with events; runs at most once unless the route is resumable.
};

/// One service that a route's requests may go to.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1; ///< Share of the requests, against the other targets' weights.
};

struct Route
{
    std::string name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    std::vector<RouteTarget> targets;
    Duration timeout{0};        ///< The longest a caller is kept waiting for the whole answer.
    Duration objective{0};      ///< Answers within it are of full use to the caller.
    Duration eventPause{0};     ///< The longest pause between events that is still on time.
    std::uint32_t attempts = 1; ///< Upstreams that one request may be sent to.
    int priority = 0;           ///< 0 is the most urgent.
    bool isPublic = false;      ///< Needs no key.
    bool resumable = false;     ///< A stream that another upstream may go on with.
};

struct Service
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< That one upstream takes from all callers; 0: not told.
    bool isModel = false;             ///< Its upstreams are engines that keep prompts in memory.
    std::uint32_t memoryTokens = 0;   ///< Of one engine, for requests and contexts; 0: not told.
    bool sharesContexts = false;      ///< An engine can fetch a context from another.
};

struct Customer
{
    std::string name;
    std::optional<int> priority; ///< Goes before the route's.
};

/// Bounds on what a caller may send.
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

    /// The route with the longest prefix that begins `path`; null when there is none.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const
        -> const Route *;

    /// The customer that holds `key`; null when there is none.
    [[nodiscard]] auto findCustomer(const std::string &key) const -> const Customer *;

    /// Whether requests need a key at all.
    [[nodiscard]] auto hasCustomers() const -> bool { return namesCustomers; }

    bool namesCustomers = false;

private:
    std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>> routesOf_;
    std::unordered_map<std::string, std::shared_ptr<const Customer>> customerOf_;
};

enum class UpstreamState {
    Ready,
    Doubtful, ///< Its entry lapsed while the registry was away; it may be back in a moment.
    Leaving,  ///< Finishes what it has and takes nothing new.
};

/// `ready`, `doubtful` or `leaving`; for the log.
[[nodiscard]] auto stateName(UpstreamState state) -> std::string_view;

/// One upstream as its registry entry tells.
struct Upstream
{
    UpstreamId id = 0;      ///< Hash of `instance` and `life`: what is known of one life of an
                            ///< upstream says nothing of the next.
    std::string instance;   ///< The name under which it refuses what is meant for another.
    std::uint64_t life = 0; ///< Changes when it starts again under the same name.
    std::string service;
    Address address;
    std::string dataCenter;
    std::uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready;
};

/// The upstreams of all services.
using UpstreamList = std::vector<Upstream>;

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace applehatch::direct
