/// The decisions of a router that calls upstreams itself; no I/O, no clock.
#pragma once

#include "applehatch/core/error.h"
#include "applehatch/direct/admission.h"
#include "applehatch/direct/choice.h"
#include "applehatch/direct/context-map.h"
#include "applehatch/direct/directory.h"
#include "applehatch/direct/load-book.h"
#include "applehatch/direct/prompt.h"
#include "applehatch/direct/retry-budget.h"
#include "applehatch/direct/suspects.h"
#include "applehatch/direct/upstream-health.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace applehatch::direct {

/// A request that its route and key allow.
struct Permit
{
    ConfigurationPtr configuration; ///< Keeps `route` alive.
    const Route *route = nullptr;
    const Service *service = nullptr; ///< Null when the configuration has no such service.
    std::string serviceName;
    std::string customer; ///< Empty where the configuration names no customers.
    int priority = 0;     ///< The customer's, else the route's; 0 is the most urgent.
};

/// What a choice of upstream depends on besides the permit.
struct Demand
{
    Prompt prompt;
    Fingerprint fingerprint = 0;
    std::vector<UpstreamId> tried; ///< Not again.
};

/// A chosen upstream and the inputs that decided, for the log.
struct Choice
{
    Upstream upstream;
    std::uint32_t load = 0;
    std::uint32_t usable = 0;
    Duration foreseenWait{0}; ///< For a slot there.
    bool heldContext = false;
    /// An engine that holds the context, where the chosen one does not: fetching 10,000 tokens
    /// takes some 5 ms, reading them 120 ms.
    std::optional<Address> fetchFrom;
};

/// Where this router stands.
struct Self
{
    std::string dataCenter;
    std::uint64_t seed = 0;
};

/// Not thread-safe.
class Dispatcher
{
public:
    Dispatcher(Self self, RetryLimits retryLimits, Instant startedAt);

    /// Takes a version; an older one than that in force changes nothing and gives false.
    auto setConfiguration(ConfigurationPtr configuration) -> bool;
    auto setUpstreams(UpstreamList upstreams) -> void;
    auto setLoadBound(LoadBound bound) -> void { bound_ = bound; }
    auto setRetryLimits(RetryLimits limits) -> void { budget_.setLimits(limits); }
    auto setRouters(std::size_t routers) -> void { routers_ = routers; }

    [[nodiscard]] auto configuration() const -> const ConfigurationPtr & { return configuration_; }
    [[nodiscard]] auto ready() const -> bool { return configuration_ != nullptr; }
    [[nodiscard]] auto upstreams() const -> const UpstreamList & { return upstreams_; }
    [[nodiscard]] auto findUpstream(UpstreamId id) const -> const Upstream *;

    /// Whether a request may still be sent to a chosen upstream: a connection may have taken
    /// seconds to open, and one that leaves must get nothing new.
    [[nodiscard]] auto mayTake(UpstreamId id) const -> bool;

    /// Finds the route and checks the key.
    [[nodiscard]] auto admit(std::string_view host, std::string_view path,
                             const std::optional<std::string> &key)
        -> std::variant<Permit, core::Failure>;

    /// Counts the request for the retry budget of its service.
    auto noteRequest(const Permit &permit, Instant now) -> void;

    /// Picks an upstream that has not been tried; refuses a first try that would wait too long.
    [[nodiscard]] auto choose(const Permit &permit, const Demand &demand, Instant now)
        -> std::variant<Choice, core::Failure>;

    /// Whether there is an upstream that has not been tried.
    [[nodiscard]] auto hasOther(const Permit &permit, const Demand &demand, Instant now) const
        -> bool;

    auto noteSent(UpstreamId upstream, const Demand &demand, Instant now) -> void;
    /// The request left `upstream`, however it ended there.
    auto noteDone(UpstreamId upstream) -> void { loads_.noteDone(upstream); }
    /// Counts the request for admission, from when it is sent until it leaves its upstream. `held`
    /// is how long it kept a slot, where it was served.
    auto noteTaken(const Permit &permit) -> void { admission_.noteSent(askOf(permit)); }
    auto noteLeft(const Permit &permit, std::optional<Duration> held, Instant now) -> void
    {
        admission_.noteDone(askOf(permit), held, now);
    }
    auto noteOutcome(UpstreamId upstream, Outcome outcome, Instant now) -> void;
    /// The first event came after `wait`.
    auto noteFirstEvent(UpstreamId upstream, Duration wait, Instant now) -> void;

    /// Whether the budget has a second try for the permit's service; takes it.
    [[nodiscard]] auto takeRetry(const Permit &permit, Instant now) -> bool;

    /// When a caller that is refused now should come back; spread so that callers do not return
    /// all at once.
    [[nodiscard]] auto retryAfter() -> Duration;
    /// The same for a request that found no room: the more were refused, the later.
    [[nodiscard]] auto returnTime(const Permit &permit, Instant now) -> Duration;

    [[nodiscard]] auto loads() -> LoadBook & { return loads_; }
    [[nodiscard]] auto contexts() -> ContextMap & { return contexts_; }
    [[nodiscard]] auto suspects() -> Suspects & { return suspects_; }
    [[nodiscard]] auto health() -> UpstreamHealth & { return health_; }

private:
    [[nodiscard]] auto usableOf(const Permit &permit, const std::vector<UpstreamId> &tried,
                                Instant now) const -> std::vector<ChoiceView>;
    /// Whence an engine that does not hold a context gets it: from a holder; where none is known,
    /// from the context's other home, which answers at once when it does not hold it either.
    [[nodiscard]] auto fetchSource(std::uint64_t context, UpstreamId chosen,
                                   const std::vector<ChoiceView> &usable, Instant now) const
        -> std::optional<Address>;
    [[nodiscard]] auto reachableHolder(const std::vector<UpstreamId> &holders, Instant now) const
        -> std::optional<Address>;
    [[nodiscard]] auto drawTarget(const Route &route) -> const std::string &;
    [[nodiscard]] auto draw() -> std::uint64_t;
    [[nodiscard]] static auto askOf(const Permit &permit) -> AdmissionAsk;
    [[nodiscard]] auto refusal(core::ErrorKind kind, std::string detail) -> core::Failure;

    Self self_;
    std::uint64_t random_;
    ConfigurationPtr configuration_;
    UpstreamList upstreams_;
    std::unordered_map<std::string, std::vector<std::size_t>> ofService_;
    std::unordered_map<UpstreamId, std::size_t> indexOf_;
    LoadBound bound_;
    LoadBook loads_;
    UpstreamHealth health_;
    ContextMap contexts_;
    Suspects suspects_;
    RetryBudget budget_;
    Admission admission_;
    std::size_t routers_ = 1;
};

} // namespace applehatch::direct
