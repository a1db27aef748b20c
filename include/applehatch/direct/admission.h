/// Admission control: which requests are accepted, and when a refused caller should retry.
#pragma once

#include "applehatch/direct/directory.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace applehatch::direct {

/// The properties of a request that its admission depends on.
struct AdmissionRequest
{
    std::string service;
    std::string customer;
    int priority = 0;      ///< 0 is the most urgent.
    int routePriority = 0; ///< Orders requests of the same `priority`; 0 is the most urgent.
    Duration objective{0}; ///< Time to the first event after which an answer is of little use; 0 if
                           ///< the route has none.
    /// Whether requests that can still be on time come before those that cannot.
    bool byTimeLeft = false;
    Duration sinceFirstSent{0}; ///< Part of the objective that was spent before this attempt.
};

/// Occupancy of the upstream that would receive the request.
struct UpstreamOccupancy
{
    std::uint32_t load = 0; ///< Requests that all routers of the fleet have at the upstream.
    std::uint32_t slots = 1;
    double slowdown = 1; ///< Time that work takes there now as a multiple of the usual time.
};

struct AdmissionDecision
{
    bool admitted = true;
    Duration expectedWait{0}; ///< Expected wait for a free slot.
    Duration maxWait{0};      ///< Longest wait for a slot at which the request is admitted.
};

/// Refuses requests that would wait too long for a slot to be of use, the less urgent ones first.
///
/// This protects against bursts of several times the load that the engines can run. Without
/// admission control each engine queues the requests beyond its slots; the first token then arrives
/// after two seconds instead of 90 ms, callers give up, and four in five requests that an engine
/// runs are of no use to anyone. An engine with 64 slots and a service time of 2.5 s frees a slot
/// every 40 ms, so the wait of the next request follows from the number of requests already there.
class Admission
{
public:
    /// Share of the objective that a request may at least spend waiting for a slot. The rest covers
    /// reading the prompt (90 ms of 300 ms) and requests that peers sent in the meantime and that
    /// are not known here yet. Where a request is done sooner, it may wait up to the objective less
    /// the service time.
    static constexpr double maxWaitShare = 0.4;
    /// Highest priority step; lower urgency is treated like this step.
    static constexpr int maxPrioritySteps = 2;
    /// Share of an upstream's slots that is kept free for more urgent requests, by priority step:
    /// four and five of 64 slots. The least urgent requests are mostly short, so reserving more
    /// slots against them would not help the others.
    static constexpr std::array<double, maxPrioritySteps + 1> reservedSlotShares{0, 4.0 / 64,
                                                                                 5.0 / 64};
    /// Additional share of slots reserved per step of the route's own priority, which orders
    /// requests whose customers have equal priority.
    static constexpr double routePriorityShare = 1.0 / 64;
    /// A customer that runs more than this multiple of an equal share of the running requests
    /// counts as one step less urgent while other customers have requests running too.
    static constexpr double fairShareFactor = 2.0;
    /// Shares of customers are not compared while fewer requests than this are running.
    static constexpr std::uint32_t minRunningForShares = 16;
    /// While slots are short, a request that will be late in any case gets one after this many that
    /// can be on time: callers who come back are served rarely, but they are.
    static constexpr std::uint32_t onTimePerLate = 8;
    /// Slots are short where a request waits longer than this share of the service time. News of
    /// the load is some hundred milliseconds old; a shorter queue would idle slots while it is
    /// awaited.
    static constexpr double shortWaitShare = 0.5;
    /// Slots count as short for this long after a request was refused for want of one.
    static constexpr Duration shortPeriod = std::chrono::milliseconds(500);
    /// Weight of the newest sample in the mean service time; the mean covers about the last twenty.
    static constexpr double serviceTimeWeight = 0.1;
    /// Callers refused within this period are assumed to retry.
    static constexpr Duration refusalWindow = std::chrono::seconds(2);
    /// Fewer refusals than this within the window are random variation and do not widen the spread.
    static constexpr std::size_t minRefusalsForBacklog = 8;
    /// Shortest delay before a retry; an earlier retry would find the same load.
    static constexpr Duration minRetryDelay = std::chrono::milliseconds(150);
    /// Spread of the retry delays after few refusals.
    static constexpr Duration minRetrySpread = std::chrono::milliseconds(350);
    /// Largest spread of the retry delays. Callers wait for at most a third of their timeout; four
    /// seconds are a third of the usual 12.
    static constexpr Duration maxRetrySpread = std::chrono::seconds(4);

    auto decide(const AdmissionRequest &request, UpstreamOccupancy occupancy) -> AdmissionDecision;
    /// Whether a request that an upstream failed may be sent again: not in the place of others that
    /// can be on time, unless it can be so itself.
    [[nodiscard]] auto mayRepeat(const AdmissionRequest &request, Instant now) const -> bool;
    /// Discards the known objectives, which may change with a new configuration.
    auto noteConfiguration() -> void;

    /// Records that the request was sent to an upstream.
    auto noteSent(const AdmissionRequest &request) -> void;
    /// Records that the request left the upstream. `serviceTime` is how long it occupied a slot, if
    /// it ran to completion.
    auto noteDone(const AdmissionRequest &request, std::optional<Duration> serviceTime, Instant now)
        -> void;

    /// Returns the delay after which a caller that is refused now should retry; `draw` is uniform
    /// in 0 to 1. The delay grows with the ratio of recently refused callers, which are expected to
    /// retry, to the requests that the service completes.
    auto retryAfter(const AdmissionRequest &request, double draw, Instant now) -> Duration;

private:
    struct Service
    {
        // Mean service time; empty until a request was served, and no wait is predicted then.
        std::optional<Duration> serviceTime;
        // The shortest objective by priority. A request with a longer objective must not be allowed
        // a longer wait than an equally urgent one with a shorter objective: it would take every
        // slot before the other is admitted.
        std::map<int, Duration> objectives;
        std::uint32_t running = 0;
        std::map<std::string, std::uint32_t> runningByCustomer;
        std::deque<Instant> refusals;
        std::deque<Instant> completions;
        // Requests that waited for a slot and can be on time, since the last one that cannot.
        std::uint32_t onTimeSinceLate = 0;
    };

    [[nodiscard]] static auto maxWait(const AdmissionRequest &request, const Service &service)
        -> Duration;
    /// Refuses a request that will be late while others take all slots, but for its turns.
    static auto orderByTimeLeft(const AdmissionRequest &request, Service &service, Duration wait,
                                AdmissionDecision &decision) -> void;
    /// Whether the request, sent now, would be answered after its objective even without a wait.
    [[nodiscard]] static auto isLate(const AdmissionRequest &request, const Service &service)
        -> bool;
    [[nodiscard]] static auto steps(const AdmissionRequest &request, const Service &service) -> int;

    std::map<std::string, Service> services_;
};

} // namespace applehatch::direct
