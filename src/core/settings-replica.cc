#include "applehatch/core/settings-replica.h"

#include "settings-replica-calls.h"
#include "settings-replica-peers.h"
#include "settings-replica-table.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace applehatch::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A starting process waits this long after its first read for a peer with newer settings.
constexpr Duration startDelay = milliseconds(1500);
/// Spreads the first reads of processes that start at the same time.
constexpr Duration startJitter = milliseconds(1000);
/// Average interval at which a process that is not a reader watches the service, in case all
/// readers have failed.
constexpr Duration auditInterval = seconds(600);
/// Average interval of pulls while a subtree's newest text is refused: a peer may have an accepted
/// text that this process missed.
constexpr Duration refusedPullInterval = seconds(120);
/// Average interval of pulls when no digest advertised a newer index.
constexpr Duration idlePullInterval = seconds(5);
/// One in this many idle pulls lists the index of every subtree.
constexpr unsigned idlePullsPerList = 120;
/// Consecutive replies that report a difference before a pull lists all indices. Two peers differ
/// briefly while a change spreads, and listing then would cost more traffic than the change.
constexpr unsigned maxDifferingReplies = 3;
/// Interval of direct reads of a service that lacks the index advertised by peers.
constexpr Duration minDirectReadInterval = seconds(4);
constexpr Duration maxDirectReadInterval = seconds(300);
/// Maximum number of indices searched for at a time. The highest are dropped first, as they are the
/// least likely to be valid.
constexpr std::size_t maxMissingIndices = 16;
/// Average time for which an index that was not found is not searched for again.
constexpr Duration unavailableLifetime = seconds(120);
/// Maximum bytes of text in one answer to a peer.
constexpr std::size_t maxReplyBytes = 2U << 20U;

} // namespace

struct SettingsReplica::State
{
    explicit State(ReplicaIdentity given)
        : identity(std::move(given))
        , random(identity.seed)
        , peers(identity)
        , table(identity.parse)
        , current(std::make_shared<settings::Settings>())
    { }

    ReplicaIdentity identity;
    Random random;
    PeerSelector peers;
    SubtreeTable table;
    ServiceCalls calls;
    PullSchedule pulls;
    SettingsPtr current;
    std::vector<SettingsAction> actions;

    bool initialized = false;        ///< The first event was handled.
    bool started = false;            ///< Settings may go into force.
    bool changed = false;            ///< A subtree changed since `current` was created.
    bool peerAnswered = false;       ///< A peer that has settings in force answered.
    bool serviceRead = false;        ///< The service answered at least once.
    std::optional<Instant> startsAt; ///< When the texts are put in force without waiting for peers.
    std::set<SettingsIndex> missingIndices;     ///< Advertised indices beyond that of `table`.
    std::set<SettingsIndex> unavailableIndices; ///< Advertised indices that were not found.
    Instant unavailableUntil;
    UpstreamId likelyHolder = 0; ///< The peer reported to have a missing index.
    Instant nextDirectRead;
    Duration directReadInterval{0};
    unsigned peersToAsk = 0; ///< Remaining pulls that need no higher index.
    Instant nextAudit;
    Instant nextIdlePull;
    Instant nextRefusedPull;
    unsigned differingReplies = 0; ///< Consecutive replies that reported a difference.
    bool listNext = false;         ///< The next pull lists the index of every subtree.
    unsigned idlePulls = 0;        ///< Idle pulls since the last that listed all indices.
    bool behindLogged = false;

    auto log(LogLine line) -> void { actions.emplace_back(WriteLog{std::move(line)}); }

    auto begin(Instant now) -> void
    {
        if (initialized) {
            return;
        }
        initialized = true;
        calls.delayUntil(now + between(Duration(0), startJitter, random));
        scheduleAudit(now);
        pulls.begin(now, random);
    }

    auto scheduleAudit(Instant now) -> void
    {
        nextAudit = now + between(auditInterval / 2, auditInterval * 3 / 2, random);
    }

    // Events.

    auto take(const SettingsRead &read, Instant now) -> void
    {
        calls.answered(read.index, now, random);
        if (read.unchanged) {
            return;
        }
        serviceRead = true;
        reportServiceBehind(read);
        for (const auto &removal : table.removedBy(read)) {
            offer(removal, now);
        }
        for (const auto &text : read.texts) {
            offer(text, now);
        }
        table.completeUpTo(read.index);
        scheduleStart(now);
        scheduleDirectRead(now);
    }

    auto take(const SettingsReadFailed & /*event*/, Instant now) -> void
    {
        calls.failed(now, random);
    }

    auto take(const SettingsReply &reply, Instant now) -> void
    {
        const auto partial = reply.index == 0 && !reply.texts.empty();
        for (const auto &text : reply.texts) {
            offer(text, now);
        }
        table.completeUpTo(reply.index);
        peerAnswered = peerAnswered || reply.index != 0;
        countDifference(reply);
        if (partial) {
            listNext = true; // `since` is unchanged and would return the same part again.
            pulls.partial(now);
            return;
        }
        if (reply.index != 0) {
            scheduleStart(now);
        }
        peersToAsk -= peersToAsk > 0 && reply.index != 0 ? 1 : 0;
        pulls.unsatisfied(now, random);
    }

    auto countDifference(const SettingsReply &reply) -> void
    {
        differingReplies = reply.differs ? differingReplies + 1 : 0;
        if (differingReplies >= maxDifferingReplies) {
            differingReplies = 0;
            listNext = true;
        }
    }

    auto take(const SettingsPull &pull, Instant /*now*/) -> void
    {
        auto reply = started ? table.answer(pull, maxReplyBytes) : SettingsReply();
        actions.emplace_back(AnswerPull{std::move(reply)});
    }

    auto take(const SettingsIndexAdvertised &event, Instant now) -> void
    {
        const auto isUnavailable =
            unavailableIndices.count(event.index) != 0 && now < unavailableUntil;
        if (event.index <= table.index() || isUnavailable) {
            return;
        }
        if (event.from != 0) {
            likelyHolder = event.from;
        }
        if (!missingIndices.insert(event.index).second) {
            return;
        }
        if (missingIndices.size() > maxMissingIndices) {
            missingIndices.erase(std::prev(missingIndices.end()));
        }
        pulls.end();
    }

    auto take(const HostListRead &event, Instant /*now*/) -> void { peers.setHosts(event.list); }

    auto take(const SettingsTick & /*event*/, Instant /*now*/) -> void { }

    auto scheduleStart(Instant now) -> void
    {
        if (!startsAt) {
            startsAt = now + startDelay;
        }
    }

    /// Schedules the next direct read. A service without the index advertised by peers lags and is
    /// read at increasing intervals.
    auto scheduleDirectRead(Instant now) -> void
    {
        const auto behind = isBehind();
        directReadInterval = behind
            ? std::clamp(directReadInterval * 2, minDirectReadInterval, maxDirectReadInterval)
            : Duration(0);
        nextDirectRead = now + between(directReadInterval / 2, directReadInterval * 3 / 2, random);
    }

    // Offering texts.

    auto offer(const SettingsText &text, Instant now) -> void
    {
        const auto result = table.offer(text, now);
        if (result == OfferResult::Known) {
            return;
        }
        const auto status = table.find(text.team);
        if (result == OfferResult::Refused) {
            LogLine line("settings-refused");
            line.add("team", text.team).add("index", static_cast<std::int64_t>(text.index));
            line.add("in_force", static_cast<std::int64_t>(status.inForce));
            line.add("problems", static_cast<std::int64_t>(status.problems.size()));
            line.add("first", status.problems.front().path);
            log(line);
            askPeersForAccepted(now);
            return;
        }
        changed = true;
        LogLine line(result == OfferResult::Removed ? "settings-removed" : "settings-accepted");
        log(line.add("team", text.team).add("index", static_cast<std::int64_t>(text.index)));
    }

    /// A peer may have an accepted text from before the refused one that this process missed.
    auto askPeersForAccepted(Instant now) -> void
    {
        constexpr unsigned peersAsked = 3;
        peersToAsk = std::max(peersToAsk, peersAsked);
        nextRefusedPull =
            now + between(refusedPullInterval / 2, refusedPullInterval * 3 / 2, random);
    }

    /// Logs that the service is behind. After an operator restores the service from a backup, no
    /// change takes effect until the service's index exceeds the one in force.
    auto reportServiceBehind(const SettingsRead &read) -> void
    {
        const auto behind = read.index < table.index();
        if (behind && !behindLogged) {
            LogLine line("settings-service-behind");
            line.add("index", static_cast<std::int64_t>(read.index));
            log(line.add("seen", static_cast<std::int64_t>(table.index())));
        }
        behindLogged = behind;
    }

    // State updates after each event.

    auto update(Instant now) -> void
    {
        missingIndices.erase(missingIndices.begin(), missingIndices.upper_bound(table.index()));
        start(now);
        publish();
        pullMissing(now);
        callService(now);
    }

    /// A lagging service could give a process that has just started an older text, and its callers
    /// would be subject to limits that were lifted long ago. So peers are queried first.
    auto start(Instant now) -> void
    {
        const auto enough = peerAnswered && !isBehind();
        const auto waited = startsAt && now >= *startsAt;
        if (started || (!enough && !waited)) {
            return;
        }
        started = true;
        changed = true;
        if (!peerAnswered) {
            constexpr unsigned peersAsked = 2;
            peersToAsk = std::max(peersToAsk, peersAsked);
        }
    }

    auto publish() -> void
    {
        if (!started || (!changed && table.index() == current->index)) {
            return;
        }
        changed = false;
        current = table.snapshot();
        peers.setSettings(*current);
        LogLine line("settings-in-force");
        line.add("index", static_cast<std::int64_t>(current->index));
        log(line.add("teams", static_cast<std::int64_t>(current->teams.size())));
        actions.emplace_back(PutInForce{current});
    }

    [[nodiscard]] auto needsPeers() const -> bool
    {
        return !started || isBehind() || peersToAsk > 0;
    }

    /// Returns true while an advertised index is higher than that of the table.
    [[nodiscard]] auto isBehind() const -> bool
    {
        return !missingIndices.empty() && *missingIndices.rbegin() > table.index();
    }

    auto pullMissing(Instant now) -> void
    {
        if (started && table.anyRefused() && now >= nextRefusedPull) {
            askPeersForAccepted(now);
            peersToAsk = 1;
        }
        if (!needsPeers()) {
            pulls.end();
            pullPeriodically(now);
            return;
        }
        if (pulls.due(now) && pulls.exhausted() && started) {
            giveUp(now);
            return;
        }
        pulls.begin(now, random);
        if (!pulls.due(now)) {
            return;
        }
        const auto peer = nextPeer();
        pulls.sent(peer, now, random);
        actions.emplace_back(PullFromPeer{peer, nextPull()});
    }

    /// A list of all indices is 15 KB at full fleet size, so a pull contains their hash instead.
    /// A hash collision would hide a change permanently, so one idle pull in ten minutes lists the
    /// indices regardless of the hash.
    [[nodiscard]] auto nextPull() -> SettingsPull
    {
        const auto acceptedOnly = peersToAsk > 0;
        if (std::exchange(listNext, false) || acceptedOnly) {
            return {table.indices(acceptedOnly), false, 0, 0};
        }
        return {{}, true, table.index(), table.hash()};
    }

    /// Digests are datagrams, so a process behind a lossy link may learn of a change late. A small
    /// periodic pull limits the delay.
    auto pullPeriodically(Instant now) -> void
    {
        if (now < nextIdlePull) {
            return;
        }
        nextIdlePull = now + between(idlePullInterval * 3 / 4, idlePullInterval * 5 / 4, random);
        const auto peer = peers.pick({}, PeerChoice::Any, random);
        if (++idlePulls >= idlePullsPerList) {
            idlePulls = 0;
            listNext = true;
        }
        actions.emplace_back(PullFromPeer{peer, nextPull()});
    }

    /// Returns the peer whose last answer was partial, else the one reported to have the index,
    /// else a random one.
    [[nodiscard]] auto nextPeer() -> UpstreamId
    {
        const auto last = pulls.lastAsked();
        if (last != 0 && pulls.asked().count(last) == 0) {
            return last;
        }
        const auto holder = std::exchange(likelyHolder, 0);
        if (holder != 0 && holder != identity.self) {
            return holder;
        }
        return peers.pick(pulls.asked(), pulls.choice(), random);
    }

    /// An index that neither peers nor the service have was corrupted in transit, or the only
    /// process that had it is gone. A continued search would mask the next valid index and delay
    /// changes at this process only.
    auto giveUp(Instant now) -> void
    {
        if (!missingIndices.empty()) {
            LogLine line("settings-index-not-found");
            log(line.add("index", static_cast<std::int64_t>(*missingIndices.rbegin())));
            unavailableIndices = std::move(missingIndices);
            unavailableUntil =
                now + between(unavailableLifetime / 2, unavailableLifetime * 3 / 2, random);
        }
        missingIndices.clear();
        peersToAsk = 0;
        pulls.end();
    }

    auto callService(Instant now) -> void
    {
        const auto missing = isBehind() && pulls.wantsService() && now >= nextDirectRead;
        if (!calls.mayCall(now)) {
            return;
        }
        if (!serviceRead || missing) {
            ask(std::nullopt, now);
        } else if (peers.isReader()) {
            ask(table.index(), now);
        } else if (now >= nextAudit) {
            scheduleAudit(now);
            ask(table.index(), now);
        }
    }

    auto ask(std::optional<SettingsIndex> waitFor, Instant now) -> void
    {
        calls.asked(waitFor, now);
        actions.emplace_back(ReadService{waitFor});
    }
};

SettingsReplica::SettingsReplica(ReplicaIdentity identity)
    : state_(std::make_unique<State>(std::move(identity)))
{ }

SettingsReplica::~SettingsReplica() = default;

auto SettingsReplica::handle(SettingsEvent event, Instant now) -> std::vector<SettingsAction>
{
    state_->actions.clear();
    state_->begin(now);
    std::visit([this, now](const auto &one) { state_->take(one, now); }, event);
    state_->update(now);
    return std::move(state_->actions);
}

auto SettingsReplica::status() const -> std::vector<SubtreeStatus>
{
    return state_->table.status();
}

auto SettingsReplica::current() const -> SettingsPtr
{
    return state_->current;
}

} // namespace applehatch::core
