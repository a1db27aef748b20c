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

/// A starting process waits this long after its first read for a peer that knows better.
constexpr Duration startWait = milliseconds(1500);
/// Spreads the first reads of processes that start together.
constexpr Duration startJitter = milliseconds(1000);
/// A process that is no reader holds a watch about this often, in case the readers are gone.
constexpr Duration auditPeriod = seconds(600);
/// While a newest text is refused, a peer may hold a later accepted one.
constexpr Duration refusedPeriod = seconds(120);
/// A peer is asked for news about this often even when no digest told of any.
constexpr Duration idlePeriod = seconds(5);
/// Idle pulls of which one lists every index held.
constexpr unsigned idlePullsPerList = 120;
/// Answers in a row that told of a difference before the indices are listed. While a change spreads
/// two peers differ for a moment, and listing then would cost more than the change.
constexpr unsigned differingAnswers = 3;
/// Between direct reads that did not bring what peers speak of.
constexpr Duration firstDirectWait = seconds(4);
constexpr Duration longestDirectWait = seconds(300);
/// Distinct indices looked for at a time; the highest give way, as they are the least likely true.
constexpr std::size_t mostChased = 16;
/// How long an index that was not found is not looked for again.
constexpr Duration distrustPeriod = seconds(120);
/// Texts in one answer to a peer, in bytes.
constexpr std::size_t replyBytes = 2U << 20U;

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
    PeerBook peers;
    SubtreeTable table;
    ServiceCalls calls;
    Pursuit pursuit;
    SettingsPtr current;
    std::vector<SettingsAction> actions;

    bool begun = false;                 ///< The first event was handled.
    bool started = false;               ///< Settings may go into force.
    bool changed = false;               ///< A subtree changed since `current` was made.
    bool peerAnswered = false;          ///< A peer that has settings in force answered.
    bool serviceRead = false;           ///< The service answered at least once.
    std::optional<Instant> startsAt;    ///< When what was read goes into force without more peers.
    std::set<SettingsIndex> chased;     ///< Heard, beyond what is held.
    std::set<SettingsIndex> distrusted; ///< Heard, but nowhere to be found.
    Instant distrustedUntil;
    UpstreamId hint = 0; ///< Said to hold what is chased.
    Instant nextDirect;
    Duration directWait{0};
    unsigned peersToAsk = 0; ///< Pulls still wanted although no higher index was heard.
    Instant nextAudit;
    Instant nextIdlePull;
    Instant nextRefusedPull;
    unsigned differing = 0; ///< Answers in a row that told of a difference.
    bool listNext = false;  ///< The next pull lists every index held.
    unsigned idlePulls = 0; ///< Since one listed every index held.
    bool behindLogged = false;

    auto log(LogLine line) -> void { actions.emplace_back(WriteLog{std::move(line)}); }

    auto begin(Instant now) -> void
    {
        if (begun) {
            return;
        }
        begun = true;
        calls.holdUntil(now + between(Duration(0), startJitter, random));
        planAudit(now);
        pursuit.begin(now, random);
    }

    auto planAudit(Instant now) -> void
    {
        nextAudit = now + between(auditPeriod / 2, auditPeriod * 3 / 2, random);
    }

    // Events.

    auto take(const SettingsRead &read, Instant now) -> void
    {
        calls.answered(read.index, now, random);
        if (read.unchanged) {
            return;
        }
        serviceRead = true;
        noteBehind(read);
        for (const auto &removal : table.removedBy(read)) {
            offer(removal, now);
        }
        for (const auto &text : read.texts) {
            offer(text, now);
        }
        table.completeUpTo(read.index);
        planStart(now);
        planDirect(now);
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
        noteDifference(reply);
        if (partial) {
            listNext = true; // `since` has not risen, and would bring the same part again.
            pursuit.partial(now);
            return;
        }
        if (reply.index != 0) {
            planStart(now);
        }
        peersToAsk -= peersToAsk > 0 && reply.index != 0 ? 1 : 0;
        pursuit.unsatisfied(now, random);
    }

    auto noteDifference(const SettingsReply &reply) -> void
    {
        differing = reply.differs ? differing + 1 : 0;
        if (differing >= differingAnswers) {
            differing = 0;
            listNext = true;
        }
    }

    auto take(const SettingsPull &pull, Instant /*now*/) -> void
    {
        auto reply = started ? table.answer(pull, replyBytes) : SettingsReply();
        actions.emplace_back(AnswerPull{std::move(reply)});
    }

    auto take(const SettingsIndexHeard &event, Instant now) -> void
    {
        const auto doubtful = distrusted.count(event.index) != 0 && now < distrustedUntil;
        if (event.index <= table.index() || doubtful) {
            return;
        }
        if (event.from != 0) {
            hint = event.from;
        }
        if (!chased.insert(event.index).second) {
            return;
        }
        if (chased.size() > mostChased) {
            chased.erase(std::prev(chased.end()));
        }
        pursuit.end();
    }

    auto take(const HostListRead &event, Instant /*now*/) -> void { peers.setHosts(event.list); }

    auto take(const SettingsTick & /*event*/, Instant /*now*/) -> void { }

    auto planStart(Instant now) -> void
    {
        if (!startsAt) {
            startsAt = now + startWait;
        }
    }

    /// A service that lacks what peers speak of lags; it is asked ever more rarely.
    auto planDirect(Instant now) -> void
    {
        const auto lacking = isBehind();
        directWait =
            lacking ? std::clamp(directWait * 2, firstDirectWait, longestDirectWait) : Duration(0);
        nextDirect = now + between(directWait / 2, directWait * 3 / 2, random);
    }

    // Texts.

    auto offer(const SettingsText &text, Instant now) -> void
    {
        const auto taken = table.offer(text, now);
        if (taken == Taken::Known) {
            return;
        }
        const auto status = table.find(text.team);
        if (taken == Taken::Refused) {
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
        LogLine line(taken == Taken::Removed ? "settings-removed" : "settings-accepted");
        log(line.add("team", text.team).add("index", static_cast<std::int64_t>(text.index)));
    }

    /// A peer may have seen an accepted text that this process missed before the refused one.
    auto askPeersForAccepted(Instant now) -> void
    {
        constexpr unsigned peersAsked = 3;
        peersToAsk = std::max(peersToAsk, peersAsked);
        nextRefusedPull = now + between(refusedPeriod / 2, refusedPeriod * 3 / 2, random);
    }

    /// An operator who set the service back to a backup sees no change arrive until its index has
    /// passed the one in force; this line tells why.
    auto noteBehind(const SettingsRead &read) -> void
    {
        const auto behind = read.index < table.index();
        if (behind && !behindLogged) {
            LogLine line("settings-service-behind");
            line.add("index", static_cast<std::int64_t>(read.index));
            log(line.add("seen", static_cast<std::int64_t>(table.index())));
        }
        behindLogged = behind;
    }

    // What follows from the tables, after each event.

    auto settle(Instant now) -> void
    {
        chased.erase(chased.begin(), chased.upper_bound(table.index()));
        start(now);
        publish();
        pursue(now);
        callService(now);
    }

    /// A service that lags could put an older text in force at a process that has just started;
    /// its callers would meet limits that were lifted long ago. So peers are heard first.
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

    /// True while a higher index was heard of than is held.
    [[nodiscard]] auto isBehind() const -> bool
    {
        return !chased.empty() && *chased.rbegin() > table.index();
    }

    auto pursue(Instant now) -> void
    {
        if (started && table.anyRefused() && now >= nextRefusedPull) {
            askPeersForAccepted(now);
            peersToAsk = 1;
        }
        if (!needsPeers()) {
            pursuit.end();
            pullIdly(now);
            return;
        }
        if (pursuit.due(now) && pursuit.exhausted() && started) {
            giveUp(now);
            return;
        }
        pursuit.begin(now, random);
        if (!pursuit.due(now)) {
            return;
        }
        const auto peer = nextPeer();
        pursuit.sent(peer, now, random);
        actions.emplace_back(PullFromPeer{peer, nextPull()});
    }

    /// At full size a list of all indices is 15 KB, so that a pull names their hash instead. Two
    /// sets with the same hash would hide a change for good; so one idle pull in ten minutes lists
    /// them whatever the hash.
    [[nodiscard]] auto nextPull() -> SettingsPull
    {
        const auto acceptedOnly = peersToAsk > 0;
        if (std::exchange(listNext, false) || acceptedOnly) {
            return {table.indices(acceptedOnly), false, 0, 0};
        }
        return {{}, true, table.index(), table.hash()};
    }

    /// Digests are datagrams: a process behind a lossy link may hear of a change late. One small
    /// pull now and then bounds how late.
    auto pullIdly(Instant now) -> void
    {
        if (now < nextIdlePull) {
            return;
        }
        nextIdlePull = now + between(idlePeriod * 3 / 4, idlePeriod * 5 / 4, random);
        const auto peer = peers.pick({}, PeerChoice::Any, random);
        if (++idlePulls >= idlePullsPerList) {
            idlePulls = 0;
            listNext = true;
        }
        actions.emplace_back(PullFromPeer{peer, nextPull()});
    }

    /// The peer whose answer was cut, else the one said to hold the index, else one at random.
    [[nodiscard]] auto nextPeer() -> UpstreamId
    {
        const auto last = pursuit.lastAsked();
        if (last != 0 && pursuit.asked().count(last) == 0) {
            return last;
        }
        const auto hinted = std::exchange(hint, 0);
        if (hinted != 0 && hinted != identity.self) {
            return hinted;
        }
        return peers.pick(pursuit.asked(), pursuit.choice(), random);
    }

    /// An index that neither peers nor the service have was damaged on its way, or its only holder
    /// is gone. Looking for it on and on would hide the next true one, so that changes would arrive
    /// late here only.
    auto giveUp(Instant now) -> void
    {
        if (!chased.empty()) {
            LogLine line("settings-index-not-found");
            log(line.add("index", static_cast<std::int64_t>(*chased.rbegin())));
            distrusted = std::move(chased);
            distrustedUntil = now + between(distrustPeriod / 2, distrustPeriod * 3 / 2, random);
        }
        chased.clear();
        peersToAsk = 0;
        pursuit.end();
    }

    auto callService(Instant now) -> void
    {
        const auto missing = isBehind() && pursuit.wantsService() && now >= nextDirect;
        if (!calls.mayCall(now)) {
            return;
        }
        if (!serviceRead || missing) {
            ask(std::nullopt, now);
        } else if (peers.isReader()) {
            ask(table.index(), now);
        } else if (now >= nextAudit) {
            planAudit(now);
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
    state_->settle(now);
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
