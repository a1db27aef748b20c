/// Routing decisions of a router that calls upstreams directly. Does no I/O and reads no clock.
#pragma once

#include "applehatch/core/error.h"
#include "applehatch/direct/admission.h"
#include "applehatch/direct/choice.h"
#include "applehatch/direct/cold-limiter.h"
#include "applehatch/direct/context-map.h"
#include "applehatch/direct/crash-suspects.h"
#include "applehatch/direct/directory.h"
#include "applehatch/direct/load-tracker.h"
#include "applehatch/direct/pace-tracker.h"
#include "applehatch/direct/part-suspects.h"
#include "applehatch/direct/policies.h"
#include "applehatch/direct/prompt.h"
#include "applehatch/direct/reading-backlog.h"
#include "applehatch/direct/retry-budget.h"
#include "applehatch/direct/stream-versions.h"
#include "applehatch/direct/upstream-announcements.h"
#include "applehatch/direct/upstream-health.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace applehatch::direct {

/// The result of matching a request to a route and its key to a customer.
struct Permit
{
    ConfigurationPtr configuration; ///< Owns `route` and `service`.
    const Route *route = nullptr;
    const Service *service = nullptr; ///< Null when the configuration has no such service.
    std::string serviceName;
    std::string customer; ///< Empty if no known key was given.
    int priority = 0; ///< The customer's priority, or the route's if the customer has none; 0 is
                      ///< the most urgent.
};

/// The properties of a request, besides the permit, that the selection of an upstream depends on.
struct RoutingInput
{
    Prompt prompt;
    Fingerprint fingerprint = 0;   ///< The same for all copies of a request.
    std::vector<PartKey> parts;    ///< Keys of the parts of the prompt that may be shared.
    std::vector<UpstreamId> tried; ///< Upstreams that were tried already and are excluded.
    /// The version that began the stream, the only one at which it may go on; none for any.
    std::optional<std::string> version;
    Duration sinceFirstSent{0}; ///< 0 unless the caller comes back after a refusal.
};

/// A selected upstream and the inputs of the decision, for the log.
struct Choice
{
    Upstream upstream;
    std::uint32_t load = 0;
    std::uint32_t usable = 0;
    Duration expectedWait{0}; ///< Expected wait for a free slot there.
    bool holdsContext = false;
    std::uint32_t unreadTokens = 0; ///< Tokens of the prompt that the engine has to read.
    /// An engine from which to fetch the context if the chosen one does not hold it: fetching
    /// 10,000 tokens takes about 5 ms, reading them 120 ms.
    std::optional<Address> fetchFrom;
};

/// The router's data centre, the seed of its random numbers and its identity in the fleet.
struct DispatcherOptions
{
    std::string dataCenter;
    std::uint64_t seed = 0;
    RouterId router = 0;
};

/// Data centres.
using DataCenters = std::set<std::string, std::less<>>;

/// Matches requests to routes, selects upstreams and keeps the state that these decisions depend
/// on. Not thread-safe.
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, RetryLimits retryLimits, Instant startedAt);

    /// Installs a configuration. Returns false and changes nothing unless its version is newer than
    /// the current one.
    auto setConfiguration(ConfigurationPtr configuration) -> bool;
    /// Replaces the upstreams; returns those that turned cold.
    auto setUpstreams(UpstreamList upstreams, Instant now) -> std::vector<TurnedCold>;
    /// Replaces the data centres that get no new requests. Upstreams of one that is taken back
    /// count as cold, since they may have become so just before; these are returned.
    auto setEvacuated(DataCenters evacuated, Instant now) -> std::vector<TurnedCold>;
    [[nodiscard]] auto evacuated() const -> const DataCenters & { return evacuated_; }
    auto setColdTolerance(ColdTolerance tolerance) -> void { cold_.setTolerance(tolerance); }
    auto setFleet(FleetView fleet) -> void { cold_.setFleet(std::move(fleet)); }
    auto setPolicies(Policies policies) -> void { policies_ = policies; }
    [[nodiscard]] auto policies() const -> const Policies & { return policies_; }
    auto setLoadBound(LoadBound bound) -> void { bound_ = bound; }
    auto setRetryLimits(RetryLimits limits) -> void { budget_.setLimits(limits); }
    auto setRouters(std::size_t routers) -> void { routers_ = routers; }
    /// Sets what decides whether this router, rather than another, may let a request with a
    /// convicted part through.
    auto setGivesLeave(std::function<bool(PartKey)> givesLeave) -> void
    {
        givesLeave_ = std::move(givesLeave);
    }

    [[nodiscard]] auto configuration() const -> const ConfigurationPtr & { return configuration_; }
    [[nodiscard]] auto ready() const -> bool { return configuration_ != nullptr; }
    [[nodiscard]] auto upstreams() const -> const UpstreamList & { return upstreams_; }
    [[nodiscard]] auto findUpstream(UpstreamId id) const -> const Upstream *;

    /// Whether a request may still be sent to a chosen upstream. Opening a connection may have
    /// taken seconds; an upstream that meanwhile began to drain, asked for rest, was evacuated or
    /// turned cold must not get it.
    [[nodiscard]] auto acceptsNewRequests(UpstreamId id, Instant now) const -> bool;

    /// Finds the route, checks the key and draws the target service.
    [[nodiscard]] auto admit(std::string_view host, std::string_view path,
                             const std::optional<std::string> &key)
        -> std::variant<Permit, core::Failure>;

    /// Why the request is not sent to any upstream at present: a part of its prompt crashes them,
    /// or it crashed upstreams, or crashed one and a copy of it is running. None if it may be sent.
    [[nodiscard]] auto crashRefusal(const RoutingInput &input, Instant now)
        -> std::optional<core::Failure>;

    /// Makes the permit one for the service that began a stream, if its route allows it. Returns
    /// whether it does.
    [[nodiscard]] auto keepService(Permit &permit, const std::string &service) const -> bool;

    /// Counts the request towards the retry budget of its service.
    auto noteRequest(const Permit &permit, Instant now) -> void;

    /// Selects an upstream that has not been tried; refuses a first attempt that would wait too
    /// long for a slot.
    [[nodiscard]] auto choose(const Permit &permit, const RoutingInput &input, Instant now)
        -> std::variant<Choice, core::Failure>;

    /// Whether a usable upstream remains that has not been tried, and the request may be sent.
    [[nodiscard]] auto hasUntriedUpstream(const Permit &permit, const RoutingInput &input,
                                          Instant now) -> bool;

    /// Whether requests are admitted by the time that they have left; else in order of arrival.
    [[nodiscard]] auto admitsByTimeLeft(const Permit &permit) const -> bool;
    /// Whether a request that an upstream failed, first sent `sinceFirstSent` ago, may take a slot
    /// from others.
    [[nodiscard]] auto mayRepeat(const Permit &permit, Duration sinceFirstSent, Instant now)
        -> bool;

    auto noteSent(UpstreamId upstream, const RoutingInput &input, Instant now) -> void;
    /// Records that the request left `upstream`, with any outcome.
    auto noteDone(UpstreamId upstream, const RoutingInput &input) -> void;
    /// Counts the request for admission control from when it is sent until it leaves its upstream.
    /// `serviceTime` is how long it occupied a slot, if it was served.
    auto noteAdmissionStart(const Permit &permit) -> void
    {
        admission_.noteSent(admissionRequestOf(permit));
    }
    auto noteAdmissionEnd(const Permit &permit, std::optional<Duration> serviceTime, Instant now)
        -> void
    {
        admission_.noteDone(admissionRequestOf(permit), serviceTime, now);
    }
    auto noteOutcome(UpstreamId upstream, Outcome outcome, Instant now) -> void;
    /// Records that the first event of a request arrived after `wait`.
    auto noteFirstEvent(UpstreamId upstream, Duration wait, Instant now) -> void;

    /// Takes a retry from the budget of the permit's service; returns false if none is left.
    [[nodiscard]] auto takeRetry(const Permit &permit, Instant now) -> bool;

    /// Returns the delay after which a refused caller should retry, randomized so that callers do
    /// not all return at once.
    [[nodiscard]] auto retryAfter() -> Duration;
    /// Returns the retry delay for a request that no upstream has room for; it grows with the
    /// number of recent refusals, and includes the time until an upstream that may run it takes
    /// requests.
    [[nodiscard]] auto overloadRetryAfter(const Permit &permit, const RoutingInput &input,
                                          Instant now) -> Duration;

    [[nodiscard]] auto loads() -> LoadTracker & { return loads_; }
    [[nodiscard]] auto paces() -> PaceTracker & { return paces_; }
    [[nodiscard]] auto backlog() -> ReadingBacklog & { return backlog_; }
    [[nodiscard]] auto contexts() -> ContextMap & { return contexts_; }
    [[nodiscard]] auto suspects() -> CrashSuspects & { return suspects_; }
    [[nodiscard]] auto parts() -> PartSuspects & { return parts_; }
    /// Returns all that is known of crashes, for a peer that has just started.
    [[nodiscard]] auto crashMemory(Instant now) const -> CrashMemory;
    auto adopt(const CrashMemory &memory, Instant now) -> void;
    [[nodiscard]] auto streams() -> StreamVersions & { return streams_; }
    [[nodiscard]] auto streams() const -> const StreamVersions & { return streams_; }
    [[nodiscard]] auto health() -> UpstreamHealth & { return health_; }
    [[nodiscard]] auto announcements() -> UpstreamAnnouncements & { return announcements_; }

private:
    /// An upstream selected for a request, and whether the request is admitted there.
    struct Selection
    {
        const Upstream *upstream = nullptr;
        std::uint32_t load = 0;
        AdmissionDecision admission;
    };

    [[nodiscard]] auto partRefusal(const RoutingInput &input, Instant now)
        -> std::optional<core::Failure>;
    /// Selects the engine for a prompt.
    [[nodiscard]] auto selectEngine(const Permit &permit, const RoutingInput &input,
                                    const std::vector<UpstreamView> &usable, Instant now) const
        -> const Upstream *;
    /// Whether engines are chosen by the prompt tokens that they have to read.
    [[nodiscard]] auto weighsPrompts(const Permit &permit) const -> bool;
    /// Whether any upstream of the service reports its pace.
    [[nodiscard]] auto reportsPace(const std::string &service) const -> bool;
    /// Returns what requests that should go to the same engine have in common: a suspected part, or
    /// else their context.
    [[nodiscard]] auto placementKey(const RoutingInput &input, Instant now) const -> std::uint64_t;
    /// Whether the request is refused for crashes that no part of a prompt explains.
    [[nodiscard]] auto isSuspect(const RoutingInput &input, Instant now) -> bool;
    [[nodiscard]] auto usableUpstreams(const Permit &permit, const RoutingInput &input,
                                       Instant now) const -> std::vector<UpstreamView>;
    /// Whether the upstream may run the request, as far as versions go.
    [[nodiscard]] static auto fits(const Upstream &upstream, const RoutingInput &input) -> bool
    {
        return !input.version || upstream.version == *input.version;
    }
    [[nodiscard]] auto acceptsNewRequests(const Upstream &upstream, Instant now) const -> bool;
    /// Time that work takes at the upstream now as a multiple of the usual time, where that counts.
    [[nodiscard]] auto slowdownOf(UpstreamId upstream, Instant now) const -> double;
    [[nodiscard]] auto isEvacuated(const Upstream &upstream) const -> bool;
    [[nodiscard]] auto findService(const std::string &name) const -> const Service *;
    /// Selects the upstream for a request among `usable` and decides on its admission.
    [[nodiscard]] auto select(const Permit &permit, const RoutingInput &input,
                              const std::vector<UpstreamView> &usable, Instant now)
        -> std::optional<Selection>;
    /// Returns the mean load of the service's upstreams that do not leave, usable or not.
    [[nodiscard]] auto meanLoad(const std::string &service, Instant now) const -> double;
    /// Why no upstream can be selected, and when to return.
    [[nodiscard]] auto noUpstream(const Permit &permit, const RoutingInput &input, Instant now)
        -> core::Failure;
    /// Whether the upstream leaves, by its registry entry or its own answers.
    [[nodiscard]] auto isLeaving(const Upstream &upstream, Instant now) const -> bool;
    /// When the upstream may get the next request, as far as its rest and its being cold go.
    [[nodiscard]] auto availableAt(const Upstream &upstream, Instant now) const -> Instant;
    /// Returns the time until the first upstream of the service that may run the request is
    /// available; 0 if one is, or if there is none.
    [[nodiscard]] auto waitForAvailable(const std::string &service, const RoutingInput &input,
                                        Instant now) const -> Duration;
    /// Returns the engine from which `chosen`, which does not hold the context, should fetch it: an
    /// engine known to hold it, or, if none is known, the context's other candidate, which answers
    /// at once if it does not hold it either.
    [[nodiscard]] auto fetchSource(std::uint64_t context, const Upstream &chosen,
                                   const std::vector<UpstreamView> &usable, Instant now) const
        -> std::optional<Address>;
    /// Returns the first of `holders` that can be trusted to give a context to `receiver`. One of
    /// another version cannot: what two versions write does not fit together.
    [[nodiscard]] auto reachableHolder(const std::vector<UpstreamId> &holders,
                                       const Upstream &receiver, Instant now) const
        -> std::optional<Address>;
    [[nodiscard]] auto drawTarget(const Route &route) -> const std::string &;
    [[nodiscard]] auto draw() -> std::uint64_t;
    [[nodiscard]] static auto admissionRequestOf(const Permit &permit) -> AdmissionRequest;
    /// The same with the time that the request has left, where that counts.
    [[nodiscard]] auto admissionRequestOf(const Permit &permit, Duration sinceFirstSent) const
        -> AdmissionRequest;
    [[nodiscard]] auto refusal(core::ErrorKind kind, std::string detail) -> core::Failure;

    DispatcherOptions options_;
    Policies policies_;
    std::uint64_t randomState_;
    ConfigurationPtr configuration_;
    UpstreamList upstreams_;
    std::unordered_map<std::string, std::vector<std::size_t>> indexesByService_;
    std::unordered_map<UpstreamId, std::size_t> indexById_;
    LoadBound bound_;
    LoadTracker loads_;
    PaceTracker paces_;
    ReadingBacklog backlog_;
    UpstreamHealth health_;
    UpstreamAnnouncements announcements_;
    ContextMap contexts_;
    CrashSuspects suspects_;
    PartSuspects parts_;
    std::function<bool(PartKey)> givesLeave_ = [](PartKey) { return true; };
    StreamVersions streams_;
    std::unordered_map<Fingerprint, std::uint32_t> running_; // Copies of each request.
    RetryBudget budget_;
    Admission admission_;
    DataCenters evacuated_;
    ColdLimiter cold_;
    std::size_t routers_ = 1;
};

} // namespace applehatch::direct
