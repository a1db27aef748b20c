/// Everything one router node holds; the events are handled in the files named beside them.
#pragma once

#include "applehatch/core/listening-clock.h"
#include "applehatch/core/router-node.h"

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

inline constexpr std::uint32_t attempts = 4;   ///< Submits for one request.
inline constexpr std::uint32_t hops = 8;       ///< Upstreams chosen for one request.
inline constexpr Duration retryEstimate = 1s;  ///< Told when no refusal named a time.
inline constexpr Duration reopenWindow = 10s;  ///< How long a lost answer is sought.
inline constexpr Duration reopenPause = 500ms; ///< Between failed openings.
inline constexpr Duration askPeriod = 1s;      ///< Between resumes from one offset.
inline constexpr Duration quietExchange = 5s;  ///< Then the sidecar is asked about it.
inline constexpr Duration resumeGrace = 10s;   ///< A caller that left a stream may be back.
inline constexpr Duration stillSending = 2s;   ///< A run that sent since is ours to stop.
inline constexpr Duration consumeWindow = 30s; ///< For a caller to take the last bytes.
inline constexpr Duration ticketWait = 10s;    ///< For a link, when giving a ticket.
inline constexpr Duration digestPeriod = 1s;
inline constexpr Duration poolViewLifetime = 50ms;
inline constexpr Duration contestedLeaving = 3s;        ///< Then a list's word is final.
inline constexpr std::uint64_t entriesOfABeginning = 4; ///< A sidecar tells about one a second.
inline constexpr std::size_t digestEntries = 8;
inline constexpr std::size_t digestCrashes = 4;
inline constexpr std::size_t submitLoads = 4;
inline constexpr std::uint64_t acknowledgeStep = 128U << 10U;
inline constexpr Duration answerMemory = 60s; ///< Of a sidecar for a whole answer.

} // namespace limits

/// What is known of a pool for placement, kept for a few ticks since it costs a walk over it.
struct PoolView
{
    PoolRef pool;
    std::vector<UpstreamId> usable;   ///< Nothing speaks against them.
    std::vector<UpstreamId> doubtful; ///< Those, and the ones with only weak evidence against.
    PoolLoad load;
    Instant madeAt;
};

/// Whether an upstream that a request has not tried yet could take it.
enum class Room {
    None,     ///< All are at their bound, or cannot be used.
    Possible, ///< Of some nothing is known.
    Known,
};

/// What an attempt takes from the retry budget.
enum class AttemptCost {
    First,
    Free,     ///< The last one was never sent, or its refusal named where to go.
    Hop,      ///< After a full upstream; charged, but never denied.
    OneRetry, ///< Any other repetition.
};

/// How far a caller has taken an answer.
struct Taken
{
    Instant at;
    UpstreamId upstream = 0;
    RequestId origin;
    std::uint64_t offset = 0;
};

/// Where a request goes next, and why.
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
    auto sayDrained() -> void;

    // router-requests.cc
    auto on(CallerRequest &event) -> void;
    auto on(CallerConsumed &event) -> void;
    auto on(CallerGone &event) -> void;
    auto on(CallerResume &event) -> void;
    [[nodiscard]] auto admit(CallerRequest &event, Exchange &exchange) -> std::optional<Failure>;
    [[nodiscard]] auto checkDeadline(const CallerRequest &event, Exchange &exchange)
        -> std::optional<Failure>;
    [[nodiscard]] auto checkCrashes(const Exchange &exchange) -> std::optional<Failure>;
    auto start(Exchange exchange) -> void;
    [[nodiscard]] auto isOfAnother(const CallerResume &event, const RequestId &origin) -> bool;
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
    auto noteHome(Exchange &exchange, const PlacementView &view, UpstreamId chosen) -> void;
    [[nodiscard]] auto chooseByPlacement(Exchange &exchange) -> std::optional<Choice>;
    [[nodiscard]] auto isUnlisted(const settings::Member &member) const -> bool;
    [[nodiscard]] auto crashedUpstreams(const Exchange &exchange) const -> std::vector<UpstreamId>;
    [[nodiscard]] auto roomElsewhere(const Exchange &exchange) const -> Room;
    [[nodiscard]] auto poolView(const PoolRef &pool) -> const PoolView &;
    [[nodiscard]] auto makePoolView(const PoolRef &pool, Instant now) const -> PoolView;
    [[nodiscard]] auto obstacle(const settings::Member &member, bool weakToo, Instant now) const
        -> std::string_view;
    [[nodiscard]] auto ownObstacle(const settings::Member &member, Instant now) const
        -> std::string_view;
    [[nodiscard]] auto onlyListedAsLeaving(const settings::Member &member) const -> bool;
    auto addContestedHome(const Exchange &exchange, std::vector<UpstreamId> &usable) const -> void;
    [[nodiscard]] auto hasJustBegun(const settings::Member &member) const -> bool;
    auto writeDecision(const Exchange &exchange) -> void;

    // router-acknowledge.cc
    auto acknowledge(Exchange &exchange) -> void;
    auto acknowledge(const Taken &taken, bool finished) -> void;
    auto acknowledgeEnd(const Exchange &exchange) -> void;
    auto noteMembers() -> void;
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
    auto lose(Exchange &exchange, const std::string &why) -> void;
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
    [[nodiscard]] auto settle(Exchange &exchange, Run run) -> bool;
    auto crash(Exchange &exchange, const Failure &failure) -> bool;
    auto passOn(Exchange &exchange, std::string data) -> void;
    auto finish(Exchange &exchange) -> void;
    auto askAgain(Exchange &exchange) -> void;
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
    auto checkLeft(Exchange &exchange) -> void;
    auto sendDigest() -> void;

    RouterIdentity identity_;
    Placement placement_;
    Random random_;
    LoadTable loads_;
    std::vector<DigestEntry> recentLoads_; ///< Sent with each submit; picking them costs a sort.
    Instant recentLoadsAt_;
    CrashTable crashes_;
    SettingsPtr settings_;
    std::set<UpstreamId> configured_;                        ///< All members of `settings_`.
    std::unordered_map<std::string, HostState> hosts_;       ///< Empty while unknown.
    std::unordered_map<std::string, Instant> leavingSaidAt_; ///< Since when lists say so, by IP.
    LinkTable links_;
    std::deque<Taken> withheld_; ///< Ends of answers that no sidecar waits to hear of.
    RetryBudgets budgets_;
    std::map<std::string, PoolView> views_; ///< By `team/pool`.
    std::map<RequestId, Exchange> exchanges_;
    std::unordered_map<RequestId, RequestId> byOrigin_;
    RouterCounts counts_;
    bool draining_ = false;
    bool drainedSaid_ = false;
    ListeningClock listening_;
    Instant digestAt_;
    std::size_t digestPool_ = 0;

    std::vector<RouterAction> actions_; ///< Of the event being handled.
    Instant now_;                       ///< Of the event being handled.
    Instant listened_;                  ///< The same on the listening clock.
};

} // namespace applehatch::core
