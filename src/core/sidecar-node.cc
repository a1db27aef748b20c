#include "applehatch/core/sidecar-node.h"

#include "sidecar-state.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

// Without an event for this long the process was suspended: the host ticks every 50 ms.
constexpr Duration suspensionThreshold = std::chrono::seconds(3);
constexpr Duration expiryInterval = std::chrono::seconds(1);
// Hash buckets of one table visited per interval; a full pass over the largest table takes about
// 20 s.
constexpr std::size_t maxBucketsPerExpiry = 5000;

} // namespace

SidecarNode::State::State(SidecarIdentity sidecar, SidecarLimits keep)
    : identity(std::move(sidecar))
    , limits(keep)
    , self(settings::upstreamId(identity.team, identity.pool, identity.member))
    , random(identity.seed)
    , answers({keep.answerBytes, keep.unacknowledgedBytesPerAnswer, keep.answerLifetime})
    , keys(keep.keys, keep.recordBytes)
    , endedAttempts(keep.tombstones)
    , startedBefore(keep.tombstones)
    , redirected(keep.pointers)
    , replies(keep.replyBytesPerSecond)
    , crashes(keep.crashNotices)
    , chats(keep.pointers)
    , fencing(identity.incarnation)
{ }

auto SidecarNode::State::advance(Instant to) -> void
{
    if (!initialized) {
        initialized = true;
        initializedAt = to;
    } else if (to - now > suspensionThreshold) {
        // The process was suspended, so its view of other upstreams' load is outdated. Admission by
        // an outdated mean could overload the upstream.
        loads = LoadTable();
        sums = PoolSums();
        ownMadeAt.reset();
        reportsSincePause = 0;
        log(LogLine("woke").add("slept_us", Duration(to - now).count()));
    }
    // Two threads of the host may read the clock in one order and call this in the other.
    now = std::max(now, to);
    stallAwareNow = stallAwareClock.at(now);
}

auto SidecarNode::State::on(FromPeer &event) -> void
{
    // The message crossed the closing of its link. Its router treats it as lost, so it must be
    // ignored.
    const auto link = links.find(event.link);
    if (link == links.end())
        return;
    link->second.lastSignAt = stallAwareNow;
    auto &message = event.message;
    if (auto *toSubmit = std::get_if<Submit>(&message))
        submit(event.link, std::move(*toSubmit));
    else if (const auto *toRevoke = std::get_if<Revoke>(&message))
        revoke(event.link, *toRevoke);
    else if (const auto *toResume = std::get_if<Resume>(&message))
        resume(event.link, *toResume);
    else if (const auto *acknowledged = std::get_if<Acknowledge>(&message))
        acknowledge(*acknowledged);
    else if (std::holds_alternative<Heartbeat>(message))
        sendClock(event.link);
    else if (const auto *moved = std::get_if<Moved>(&message))
        chats.markMoved(moved->chat, moved->holder, now);
}

auto SidecarNode::State::on(const Tick & /*event*/) -> void
{
    stallAwareClock.recordPoll(now);
    checkLinks();
    checkLostRuns();
    releaseDelayed();
    checkJobs();
    reviewQueue();
    dispatch();
    considerOrder();
    exchangeDigest();
    if (now - expiredAt >= expiryInterval) {
        expiredAt = now;
        handleEvicted(answers.expire(now));
        keys.expire(now);
        endedAttempts.expireSome(now, maxBucketsPerExpiry);
        startedBefore.expireSome(now, maxBucketsPerExpiry);
        redirected.expireSome(now, maxBucketsPerExpiry);
        loads.expire(now);
        sums.expire(now);
        crashes.expire(now);
        chats.expireSome(now, maxBucketsPerExpiry);
    }
    checkDrained();
}

auto SidecarNode::State::upstreamState() const -> UpstreamState
{
    if (isLeaving())
        return UpstreamState::Leaving;
    if (!report)
        return UpstreamState::Joining;
    if (!report->reachable)
        return UpstreamState::Down;
    return outForRollout || !holdsAnyModel() ? UpstreamState::Joining : UpstreamState::Serving;
}

auto SidecarNode::State::load() const -> std::uint32_t
{
    return running + static_cast<std::uint32_t>(queue.size() + delayed.size());
}

auto SidecarNode::State::view() const -> GossipView
{
    return {pool, self, identity.dataCenter, settings ? settings->index : 0, limits.digestBytes};
}

auto SidecarNode::State::backlog() const -> Backlog
{
    return {static_cast<double>(queue.size()), slots};
}

auto SidecarNode::State::send(LinkId link, Message message) -> void
{
    if (links.contains(link))
        out.emplace_back(SendToPeer{link, std::move(message)});
}

auto SidecarNode::State::log(const LogLine &line) -> void
{
    out.emplace_back(WriteLog{line});
}

auto SidecarNode::State::logJob(std::string_view event, const RequestId &request,
                                const Terms &terms, std::string_view cause) -> void
{
    constexpr double thousand = 1000;
    const auto mean = wholePoolLoad(view(), loads, sums, now).mean();
    log(LogLine(event)
            .add("request", request)
            .add("chat", static_cast<std::int64_t>(terms.chat))
            .add("customer", terms.customer)
            .add("load", load())
            .add("bound", bound())
            .add("mean_milli", static_cast<std::int64_t>(mean * thousand))
            .add("cause", cause));
}

auto attemptHash(const RequestId &request, std::uint32_t attempt) -> std::uint64_t
{
    return stableHash(request, attempt + 1);
}

auto stateName(UpstreamState state) -> std::string_view
{
    switch (state) {
    case UpstreamState::Joining:
        return "joining";
    case UpstreamState::Serving:
        return "serving";
    case UpstreamState::Leaving:
        return "leaving";
    case UpstreamState::Down:
        break;
    }
    return "down";
}

auto fullCustomer(const Terms &terms) -> std::string
{
    return terms.team + '/' + terms.customer;
}

auto engineRequest(const RequestId &request, const std::string &customer) -> RequestId
{
    return request + '.' + std::to_string(stableHash(customer + '\0' + request));
}

SidecarNode::SidecarNode(SidecarIdentity identity, SidecarLimits limits)
    : state_(std::make_unique<State>(std::move(identity), limits))
{ }

SidecarNode::~SidecarNode() = default;

auto SidecarNode::handle(SidecarEvent event, Instant now) -> std::vector<SidecarAction>
{
    state_->out.clear();
    state_->advance(now);
    state_->refreshOwn();
    std::visit([this](auto &alternative) { state_->on(alternative); }, event);
    state_->refreshOwn();
    return std::move(state_->out);
}

auto SidecarNode::counts() const -> SidecarCounts
{
    auto counts = state_->counted;
    counts.running = state_->running;
    counts.waiting = state_->queue.size();
    counts.bound = state_->bound();
    counts.answerBytes = state_->answers.bytes();
    counts.keys = state_->keys.size();
    counts.pointers = state_->chats.size();
    return counts;
}

auto SidecarNode::state() const -> UpstreamState
{
    return state_->upstreamState();
}

auto SidecarNode::loads() const -> const LoadTable &
{
    return state_->loads;
}

auto SidecarNode::settings() const -> SettingsPtr
{
    return state_->settings;
}

} // namespace applehatch::core
