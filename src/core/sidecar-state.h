// State of the sidecar node, and the functions on it by source file.
#pragma once

#include "applehatch/core/admission.h"
#include "applehatch/core/answer-store.h"
#include "applehatch/core/arrival-rates.h"
#include "applehatch/core/chat-pointers.h"
#include "applehatch/core/crash-tracker.h"
#include "applehatch/core/expiring-map.h"
#include "applehatch/core/gossip.h"
#include "applehatch/core/order-plan.h"
#include "applehatch/core/rendezvous.h"
#include "applehatch/core/run-once-table.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/core/stall-aware-clock.h"
#include "applehatch/core/wait-queue.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

/// Maximum number of bytes in one `Chunk`.
inline constexpr std::size_t chunkBytes = 256U << 10U;

/// Number of load entries in an `End` or `Refusal`.
inline constexpr std::size_t carriedEntries = 6;

/// A router's link that receives an answer, and the request id by which the router knows it.
struct Reader
{
    LinkId link = 0;
    RequestId request;
    std::uint32_t attempt = 0;
    std::uint64_t next = 0; ///< Offset of the next byte to send.
    bool headSent = false;
    bool replayed = false; ///< The reader joined after the answer was complete.
    bool resumed = false;  ///< The reader resumed the answer, possibly through another router.
};

enum class JobPhase {
    Waiting,
    Running,
    Lost,     ///< The connection broke; it is not known yet whether the upstream crashed.
    Complete, ///< The upstream completed its answer.
    Failed,
};

/// A request accepted by this sidecar, from admission until its answer is discarded.
struct Job
{
    RunId run = 0;
    JobPhase phase = JobPhase::Waiting;
    Terms terms;
    Call call;
    Instant notAfter;
    UpstreamId movedFrom = 0;
    std::vector<RequestId> requestIds; ///< Several if other requests have the same idempotency key.
    std::vector<std::pair<RequestId, std::uint32_t>> attempts;
    std::vector<Reader> readers;
    Instant acceptedAt;
    Instant startedAt;
    Instant brokenAt;
    std::optional<Instant>
        unreadSince; ///< Since when no link reads the answer, on the stall-aware clock.
    RunBreak breakKind = RunBreak::Lost;
    std::string keyName;    ///< Name in the run-once table; empty without a key.
    bool continued = false; ///< Continues a stream of an earlier incarnation.
    std::uint64_t continuedFrom = 0;
    std::uint32_t reconnects =
        0; ///< Reconnects after silent connections, each at the offset reached.
    bool headKnown = false;
    bool replayed = false;
    int status = 200;
    Headers headers;
    bool warm = false;
    Failure failure;

    [[nodiscard]] auto isActive() const -> bool
    {
        return phase == JobPhase::Waiting || phase == JobPhase::Running || phase == JobPhase::Lost;
    }
    [[nodiscard]] auto isKeyed() const -> bool { return !keyName.empty(); }
    [[nodiscard]] auto isRunOnce() const -> bool { return terms.runOnce || isKeyed(); }
};

/// The reason for which a submit is rejected.
struct Rejection
{
    Failure failure;
    UpstreamId redirect = 0;
    std::string cause; ///< `cause` in the log line.
};

struct PeerLink
{
    Instant lastSignAt; ///< Last message or `PeerResponded`, on the stall-aware clock.
    Instant clockSentAt;
};

/// A former list of the pool's members, which matters until `until`.
struct PastMembers
{
    std::vector<settings::Member> members;
    Instant until;
};

struct SidecarNode::State
{
    State(SidecarIdentity sidecar, SidecarLimits keep);

    SidecarIdentity identity;
    SidecarLimits limits;
    UpstreamId self = 0;
    Random random;
    Instant now;
    StallAwareClock stallAwareClock;
    Instant stallAwareNow; ///< `now` on the stall-aware clock.
    bool initialized = false;
    Instant initializedAt;
    std::vector<SidecarAction> out;

    // Settings and values derived from them.
    SettingsPtr settings;
    Pool pool; ///< The last known pool, kept if the settings remove it.
    SettingsIndex teamIndex = 0;
    std::uint32_t slots = 1;
    std::deque<PastMembers> pastMembers;

    // The upstream as reported by the host.
    std::optional<UpstreamReport> report;
    std::string epoch; ///< The last reported epoch, kept while the upstream is unreachable.
    bool drainRequested = false;
    bool hostLeaving = false;
    bool removed = false;
    bool drainedReported = false;
    std::optional<HostList> hostList;

    // Requests.
    std::unordered_map<RunId, Job> jobs;
    std::unordered_map<RequestId, RunId> byRequest;
    std::set<RunId> active;
    WaitQueue queue;
    std::uint32_t running = 0;
    RunId lastRun = 0;
    AnswerStore answers;
    RunOnceTable keys;
    ExpiringMap<Run>
        endedAttempts; ///< Outcomes of revoked or refused attempts, by request and attempt.
    ExpiringMap<bool> startedBefore; ///< Requests that were started.
    ExpiringMap<bool> redirected;    ///< Requests that were redirected.
    ServiceTime serviceTime;
    ArrivalRates arrivals;
    Instant reviewedAt; ///< Last review of the queue for requests that cannot meet their deadline.

    // Peers and load gossip.
    std::map<LinkId, PeerLink> links;
    LoadTable loads;
    PoolSums sums;
    ReplyBudget replies;
    CrashTracker crashes;
    ChatPointers chats;
    DigestEntry own;
    std::optional<Instant> ownMadeAt; ///< Without a value, the next refresh makes a new version.
    Instant digestAt;
    Instant expiredAt;

    // Crashes.
    std::uint32_t crashSequence = 0;
    std::optional<Instant> crashAt;
    std::set<RunId> crashRuns; ///< Runs at the time of the last crash that have not broken yet.
    std::set<RunId> delayed;   ///< Second tries, delayed as copies elsewhere may still crash.

    // Orders.
    FencingNumbers fencing;
    std::optional<std::uint64_t> outstandingOrder;
    Instant orderGivenAt;
    Instant orderNotBefore;
    Instant reportAt;
    Instant reportWantedAfter; ///< An older report may not show the effect of the last order.
    std::uint32_t orderFailures = 0;
    std::uint32_t reportsSincePause = 0;
    bool ordersStopped = false;
    bool outForRollout = false;
    std::optional<Instant> quietSince;

    // Handoff of chats before leaving.
    std::optional<Instant> leavingSince;
    std::deque<ChatKey> handoffs;
    std::uint32_t handoffsOutstanding = 0;

    SidecarCounts counted;

    // sidecar-node.cc
    auto advance(Instant to) -> void;
    auto on(FromPeer &event) -> void;
    auto on(const Tick &event) -> void;
    [[nodiscard]] auto upstreamState() const -> UpstreamState;
    [[nodiscard]] auto isLeaving() const -> bool
    {
        return drainRequested || hostLeaving || removed;
    }
    [[nodiscard]] auto load() const -> std::uint32_t;
    [[nodiscard]] auto view() const -> GossipView;
    [[nodiscard]] auto backlog() const -> Backlog;
    auto send(LinkId link, Message message) -> void;
    auto log(const LogLine &line) -> void;
    auto logJob(std::string_view event, const RequestId &request, const Terms &terms,
                std::string_view cause) -> void;

    // sidecar-submit.cc
    auto submit(LinkId link, Submit &&message) -> void;
    [[nodiscard]] auto checkAddress(const Submit &message) const -> std::optional<Rejection>;
    [[nodiscard]] auto checkHistory(const Submit &message) const -> std::optional<Rejection>;
    [[nodiscard]] auto checkSecondTry(const Submit &message) const -> std::optional<Rejection>;
    [[nodiscard]] auto checkPlace(const Submit &message) const -> std::optional<Rejection>;
    [[nodiscard]] auto servingHolder(ChatKey chat) const -> UpstreamId;
    [[nodiscard]] auto checkLoad(const Submit &message) const -> std::optional<Rejection>;
    [[nodiscard]] auto mayWaitForContext(const Submit &message,
                                         const settings::Customer *customer) const -> bool;
    [[nodiscard]] auto bound() const -> std::uint32_t;
    [[nodiscard]] auto runningBound() const -> std::uint32_t;
    [[nodiscard]] auto mayReconnect(const Job &job) const -> bool;
    auto reconnect(Job &job) -> void;
    [[nodiscard]] auto customerOf(const Terms &terms) const -> const settings::Customer *;
    [[nodiscard]] auto inFlightOf(const Terms &terms) const -> std::uint32_t;
    [[nodiscard]] auto customersAtLimit() const -> std::set<std::string>;
    [[nodiscard]] auto attemptExpiry(Instant notAfter = {}) const -> Instant;
    auto applyEntries(std::vector<DigestEntry> entries) -> void;
    [[nodiscard]] auto asWaiting(const Terms &terms, Instant notAfter) const -> Waiting;
    [[nodiscard]] auto attachKnown(LinkId link, const Submit &message) -> bool;
    auto attach(LinkId link, const Submit &message, Job &job, std::string_view cause) -> void;
    auto accept(LinkId link, Submit &&message) -> void;
    auto enqueue(const Job &job) -> void;
    auto reject(LinkId link, const Submit &message, const Rejection &rejection) -> void;
    auto countRefusal(ErrorKind kind) -> void;
    [[nodiscard]] auto refusalOf(ErrorKind kind, Run run, std::string detail) const -> Failure;

    // sidecar-keys.cc
    [[nodiscard]] auto submitKey(LinkId link, const Submit &message) -> bool;
    [[nodiscard]] auto checkKeyOwner(const Submit &message) const -> std::optional<Rejection>;
    [[nodiscard]] auto keyLifetime(const Job &job) const -> Instant;
    auto replay(LinkId link, const Submit &message, const RunOnceEntry &entry) -> void;
    auto finishKey(const Job &job, Run run) -> void;

    // sidecar-runs.cc
    auto dispatch() -> void;
    auto startRun(Job &job) -> void;
    auto on(RunHead &event) -> void;
    auto on(RunChunk &event) -> void;
    auto on(const RunEnd &event) -> void;
    auto on(const RunBroken &event) -> void;
    [[nodiscard]] auto findRunning(RunId run) -> Job *;
    auto fail(Job &job, Failure failure, std::string_view cause) -> void;
    auto cancel(Job &job, Failure failure, std::string_view cause) -> void;
    auto releaseSlot(Job &job) -> void;
    auto checkJobs() -> void;
    auto checkWaiting(Job &job) -> void;
    auto reviewQueue() -> void;
    [[nodiscard]] auto canMeet(const Waiting &waiting, double ahead) const -> bool;
    auto checkRunning(Job &job) -> void;

    // sidecar-answers.cc
    auto addReader(Job &job, Reader reader) -> void;
    auto serve(Job &job) -> void;
    auto serveReader(Job &job, Reader &reader) -> bool;
    auto sendBytes(const StoredAnswer &answer, Reader &reader) -> void;
    auto resume(LinkId link, const Resume &message) -> void;
    auto continueStream(LinkId link, const Resume &message) -> void;
    auto acknowledge(const Acknowledge &message) -> void;
    auto revoke(LinkId link, const Revoke &message) -> void;
    [[nodiscard]] auto revokeJob(Job &job, LinkId link, const Revoke &message) -> Run;
    [[nodiscard]] auto revokeUnknown(const Revoke &message) -> Run;
    auto handleEvicted(const std::vector<RunId> &runs) -> void;
    auto forgetJob(RunId run) -> void;
    [[nodiscard]] auto findJob(const RequestId &request) -> Job *;

    // sidecar-links.cc
    auto on(const PeerLinkUp &event) -> void;
    auto on(const PeerLinkDown &event) -> void;
    auto on(const PeerResponded &event) -> void;
    auto sendClock(LinkId link) -> void;
    auto checkLinks() -> void;
    auto dropReaders(LinkId link) -> void;

    // sidecar-plane.cc
    auto on(const DigestReceived &event) -> void;
    auto on(const SettingsInForce &event) -> void;
    auto refreshOwn() -> void;
    auto exchangeDigest() -> void;
    [[nodiscard]] auto digestFor(const DigestRecipient &reader) const -> Digest;
    auto broadcastCrashes() -> void;
    auto advertiseToSome() -> void;

    // sidecar-crashes.cc
    auto on(const UpstreamReport &event) -> void;
    auto declareCrash(std::string_view cause) -> void;
    auto handleLostRun(Job &job) -> void;
    auto recordCrash(const Job &job) -> void;
    auto failLostRuns(Duration brokenFor, bool crashed) -> void;
    [[nodiscard]] auto lostRunFailure(const Job &job, bool crashed) const -> Failure;
    [[nodiscard]] auto inPhase(JobPhase phase) const -> std::vector<RunId>;
    auto cancelRunning() -> void;
    auto checkLostRuns() -> void;
    [[nodiscard]] auto earliestStart(const Job &job) const -> Instant;
    auto releaseDelayed() -> void;
    [[nodiscard]] auto secondTryUpstream(Fingerprint fingerprint) const
        -> std::optional<UpstreamId>;

    // sidecar-leaving.cc
    auto on(const HostListRead &event) -> void;
    auto on(const DrainRequested &event) -> void;
    auto on(const CacheEvents &event) -> void;
    auto on(const HandoffDone &event) -> void;
    auto handleLeavingChange(bool before) -> void;
    auto notifyRouters() -> void;
    auto handOffNext() -> void;
    auto checkDrained() -> void;

    // sidecar-orders.cc
    auto on(const OrderAnswered &event) -> void;
    auto considerOrder() -> void;
    auto giveOrder(const PlannedChange &change) -> void;
    [[nodiscard]] auto hasTurn() -> bool;
    [[nodiscard]] auto isUnlisted(const settings::Member &member) const -> bool;
    [[nodiscard]] auto mayOrder() const -> bool;
    [[nodiscard]] auto holdsAnyModel() const -> bool;
};

[[nodiscard]] auto attemptHash(const RequestId &request, std::uint32_t attempt) -> std::uint64_t;

[[nodiscard]] auto stateName(UpstreamState state) -> std::string_view;

/// Returns `team/customer`, the form used in `Resume`.
[[nodiscard]] auto fullCustomer(const Terms &terms) -> std::string;

/// Returns the id of a request at the engine. The id ends in a hash of the customer, so that a
/// caller who learns a request id cannot resume another customer's stream after a restart of the
/// sidecar.
[[nodiscard]] auto engineRequest(const RequestId &request, const std::string &customer)
    -> RequestId;

} // namespace applehatch::core
