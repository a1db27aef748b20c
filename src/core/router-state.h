/// State of one router node. A comment above each group of functions names the file that defines
/// them.
#pragma once

#include "applehatch/core/router-node.h"
#include "applehatch/core/stall-aware-clock.h"

#include "router-budget.h"
#include "router-crashes.h"
#include "router-exchange.h"
#include "router-links.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

namespace limits {

using namespace std::chrono_literals;

inline constexpr std::uint32_t maxAttempts = 4;   ///< Submits per request.
inline constexpr std::uint32_t maxHops = 8;       ///< Upstreams chosen per request.
inline constexpr Duration defaultRetryAfter = 1s; ///< Sent when no refusal gave a time.
inline constexpr Duration reconnectTimeout =
    10s; ///< For reopening the link of an answer in progress.
inline constexpr Duration reconnectInterval = 500ms; ///< Between failed attempts to open a link.
inline constexpr Duration resumeInterval = 1s;       ///< Between resumes from the same offset.
inline constexpr Duration quietExchangeTimeout =
    5s; ///< Without a message this long, the answer is requested again.
inline constexpr Duration detachedLifetime =
    10s; ///< Time for a caller to resume a stream that it left.
inline constexpr Duration recentMessageWindow =
    2s; ///< A run that sent a message within it still sends to this router.
inline constexpr Duration consumeTimeout = 30s; ///< For a caller to receive the last bytes.
inline constexpr Duration ticketTimeout = 10s;  ///< For a link to open before a ticket is issued.
inline constexpr Duration digestInterval = 1s;
inline constexpr Duration poolViewLifetime = 50ms;
inline constexpr Duration leavingDisputeTimeout =
    3s; ///< After that the host list takes precedence.
inline constexpr std::uint64_t maxEarlyVersion =
    4; ///< A sidecar advertises about one version per second.
inline constexpr std::size_t maxDigestEntries = 8;
inline constexpr std::size_t maxDigestCrashes = 4;
inline constexpr std::size_t maxSubmitLoads = 4;
inline constexpr std::uint64_t acknowledgeStep = 128U << 10U;
inline constexpr Duration answerLifetime = 60s; ///< How long a sidecar keeps a complete answer.

} // namespace limits

/// Placement input of one pool. Cached for a few ticks, since computing it visits every member.
struct PoolView
{
    PoolRef pool;
    std::vector<UpstreamId> usable; ///< Members with no evidence against them.
    std::vector<UpstreamId>
        fallback; ///< Usable members, and those with only weak evidence against them.
    PoolLoad load;
    Instant madeAt;
};

/// Whether an upstream that a request has not tried yet could accept it.
enum class SpareCapacity {
    None,    ///< All are at their bound, or cannot be used.
    Unknown, ///< Some have no known load.
    Available,
};

/// What an attempt costs the retry budget.
enum class AttemptCost {
    First,
    Free,     ///< The last attempt was never sent, or its refusal named an upstream.
    Hop,      ///< After a full upstream; charged, but never denied.
    OneRetry, ///< Any other repetition.
};

/// The part of an answer that its caller has received.
struct AnswerProgress
{
    Instant at;
    UpstreamId upstream = 0;
    RequestId origin;
    std::uint64_t offset = 0;
};

/// The next upstream for a request, and the reason.
struct Choice
{
    UpstreamId upstream = 0;
    std::string cause;
};

struct RouterNode::State
{
    // router-node.cc
    explicit State(RouterIdentity self, Placement order);
    auto handleEvent(RouterEvent &event) -> void;
    auto on(SettingsInForce &event) -> void;
    auto on(HostListRead &event) -> void;
    auto on(DigestReceived &event) -> void;
    auto on(DrainRequested &event) -> void;
    auto on(FromSidecar &event) -> void;
    [[nodiscard]] auto recentLoads() -> const std::vector<DigestEntry> &;
    auto applyLoads(const std::vector<DigestEntry> &entries) -> void;
    auto reportDrained() -> void;

    // router-requests.cc
    auto on(CallerRequest &event) -> void;
    auto on(CallerConsumed &event) -> void;
    auto on(CallerDisconnected &event) -> void;
    auto on(CallerResume &event) -> void;
    [[nodiscard]] auto admit(CallerRequest &event, Exchange &exchange) -> std::optional<Failure>;
    [[nodiscard]] auto checkDeadline(const CallerRequest &event, Exchange &exchange)
        -> std::optional<Failure>;
    [[nodiscard]] auto checkCrashes(const Exchange &exchange) -> std::optional<Failure>;
    auto start(Exchange exchange) -> void;
    [[nodiscard]] auto belongsToAnotherCustomer(const CallerResume &event, const RequestId &origin)
        -> bool;
    auto supersede(const RequestId &origin) -> void;

    // router-tickets.cc
    auto on(TicketRequest &event) -> void;
    [[nodiscard]] auto bindRunOnce(const std::string &ticket, Exchange &exchange)
        -> std::optional<Failure>;
    [[nodiscard]] auto bindTicket(const std::string &text, Exchange &exchange)
        -> std::optional<Failure>;
    auto giveTicket(Exchange &exchange, const Link &link) -> void;

    // router-choice.cc
    [[nodiscard]] auto choose(Exchange &exchange) -> std::optional<Choice>;
    [[nodiscard]] auto chooseAfterCrash(const Exchange &exchange,
                                        const std::vector<UpstreamId> &crashed)
        -> std::optional<Choice>;
    auto recordPassedOverOwner(Exchange &exchange, const PlacementView &view, UpstreamId chosen)
        -> void;
    [[nodiscard]] auto chooseByPlacement(Exchange &exchange) -> std::optional<Choice>;
    [[nodiscard]] auto isUnlisted(const settings::Member &member) const -> bool;
    [[nodiscard]] auto crashedUpstreams(const Exchange &exchange) const -> std::vector<UpstreamId>;
    [[nodiscard]] auto spareCapacityElsewhere(const Exchange &exchange) const -> SpareCapacity;
    [[nodiscard]] auto poolView(const PoolRef &pool) -> const PoolView &;
    [[nodiscard]] auto makePoolView(const PoolRef &pool, Instant now) const -> PoolView;
    [[nodiscard]] auto obstacle(const settings::Member &member, bool includeWeak, Instant now) const
        -> std::string_view;
    [[nodiscard]] auto ownObstacle(const settings::Member &member, Instant now) const
        -> std::string_view;
    [[nodiscard]] auto onlyListedAsLeaving(const settings::Member &member) const -> bool;
    auto addContestedTokenUpstream(const Exchange &exchange, std::vector<UpstreamId> &usable) const
        -> void;
    [[nodiscard]] auto hasJustStarted(const settings::Member &member) const -> bool;
    auto writeDecision(const Exchange &exchange) -> void;

    // router-acknowledge.cc
    auto acknowledge(Exchange &exchange) -> void;
    auto acknowledge(const AnswerProgress &progress, bool finished) -> void;
    auto acknowledgeEnd(const Exchange &exchange) -> void;
    auto collectConfiguredUpstreams() -> void;
    [[nodiscard]] auto isKnownLeaving(UpstreamId upstream) const -> bool;
    auto releaseAcknowledgements(const std::function<bool(UpstreamId)> &isFor) -> void;
    auto expireAcknowledgements() -> void;

    // router-explain.cc
    [[nodiscard]] auto explain(const std::string &teamName, const std::string &poolName,
                               const std::string &chat, const std::string &contextToken,
                               Instant now) const -> std::vector<Candidate>;
    [[nodiscard]] auto describe(const settings::Member &member, const PlacementView &view,
                                const std::vector<UpstreamId> &order) const -> Candidate;

    // router-attempts.cc
    auto advance(Exchange &exchange, AttemptCost cost) -> void;
    [[nodiscard]] auto budgetOf(const Exchange &exchange) -> RetryBudget &;
    [[nodiscard]] auto pay(const Exchange &exchange, AttemptCost cost) -> bool;
    auto giveUp(Exchange &exchange, ErrorKind kind, std::string detail) -> void;
    auto serve(Exchange &exchange) -> void;
    auto resubmit(Exchange &exchange) -> void;
    auto submit(Exchange &exchange, Link &link) -> void;
    auto resume(Exchange &exchange) -> void;
    auto leaveUpstream(Exchange &exchange, std::string reason) -> void;
    auto revoke(Exchange &exchange) -> void;
    auto handleLoss(Exchange &exchange, const std::string &why) -> void;
    auto fail(Exchange &exchange, Failure failure) -> void;
    auto erase(Exchange &exchange) -> void;

    // router-answers.cc
    auto onMessage(UpstreamId upstream, Head &head) -> void;
    auto onMessage(UpstreamId upstream, Chunk &chunk) -> void;
    auto onMessage(UpstreamId upstream, End &end) -> void;
    auto onMessage(UpstreamId upstream, Refusal &refusal) -> void;
    auto onMessage(UpstreamId upstream, Revoked &revoked) -> void;
    auto onMessage(UpstreamId upstream, Heartbeat &heartbeat) -> void;
    template <typename Other>
    auto onMessage(UpstreamId /*upstream*/, Other & /*message*/) -> void
    { }
    auto refuse(Exchange &exchange, Refusal &refusal) -> void;
    auto checkClock(const Exchange &exchange, const Failure &failure) -> void;
    [[nodiscard]] auto resolveLostAnswer(Exchange &exchange, Run run) -> bool;
    auto crash(Exchange &exchange, const Failure &failure) -> bool;
    auto passOn(Exchange &exchange, std::string data) -> void;
    auto finish(Exchange &exchange) -> void;
    auto resumeIfDue(Exchange &exchange) -> void;
    [[nodiscard]] auto find(const RequestId &request) -> Exchange *;
    [[nodiscard]] auto findAt(UpstreamId upstream, const RequestId &origin) -> Exchange *;

    // router-link-events.cc
    auto on(LinkUp &event) -> void;
    auto on(LinkDown &event) -> void;
    auto openLink(UpstreamId upstream) -> void;
    auto linkLost(UpstreamId upstream, Link &link, std::string_view cause) -> void;
    [[nodiscard]] auto linkLine(std::string_view event, UpstreamId upstream, const Link &link) const
        -> LogLine;
    [[nodiscard]] auto upstreamName(UpstreamId upstream) const -> std::string;
    auto linkLost(Exchange &exchange) -> void;
    auto probe(UpstreamId upstream, Link &link) -> void;
    auto checkLink(UpstreamId upstream, Link &link) -> void;
    [[nodiscard]] auto isOutstanding(const Link &link) -> bool;
    auto send(UpstreamId upstream, Message message) -> void;

    // router-tick.cc
    auto on(Tick &event) -> void;
    auto checkExchange(Exchange &exchange) -> void;
    auto passDeadline(Exchange &exchange) -> void;
    auto checkEnded(Exchange &exchange) -> void;
    auto sendDigest() -> void;

    RouterIdentity identity_;
    Placement placement_;
    Random random_;
    LoadTable loads_;
    std::vector<DigestEntry>
        recentLoads_; ///< Sent with each submit; cached, since selecting them costs a sort.
    Instant recentLoadsAt_;
    CrashTable crashes_;
    SettingsPtr settings_;
    std::set<UpstreamId> configuredUpstreams_;         ///< All members of `settings_`.
    std::unordered_map<std::string, HostState> hosts_; ///< Empty while unknown.
    std::unordered_map<std::string, Instant>
        listedLeavingSince_; ///< When host lists began to show a host as leaving, by IP.
    LinkTable links_;
    std::deque<AnswerProgress>
        deferredAcknowledgements_; ///< For complete answers; no sidecar waits for them.
    RetryBudgets budgets_;
    std::map<std::string, PoolView> views_; ///< By `team/pool`.
    std::map<RequestId, Exchange> exchanges_;
    std::unordered_map<RequestId, RequestId> byOrigin_;
    RouterCounts counts_;
    bool draining_ = false;
    bool drainedReported_ = false;
    StallAwareClock listeningClock_;
    Instant lastDigestAt_;
    std::size_t nextDigestPool_ = 0;

    std::vector<RouterAction> actions_; ///< Result of the event being handled.
    Instant now_;                       ///< Time of the event being handled.
    Instant listeningNow_;              ///< The same on the listening clock.
};

} // namespace applehatch::core
