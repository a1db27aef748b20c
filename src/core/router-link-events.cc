// Connections to sidecars: opening, loss, and detection of silence.
#include "router-state.h"

#include <algorithm>

namespace applehatch::core {

auto RouterNode::State::send(UpstreamId upstream, Message message) -> void
{
    actions_.emplace_back(SendToSidecar{upstream, std::move(message)});
}

auto RouterNode::State::openLink(UpstreamId upstream) -> void
{
    auto &link = links_[upstream];
    if (link.phase != LinkPhase::Closed)
        return;
    link.phase = LinkPhase::Opening;
    link.openedAt = listeningNow_;
    actions_.emplace_back(OpenLink{upstream});
}

auto RouterNode::State::linkLine(std::string_view event, UpstreamId upstream,
                                 const Link &link) const -> LogLine
{
    LogLine line(event);
    line.add("upstream", upstreamName(upstream))
        .add("exchanges", static_cast<std::int64_t>(link.exchanges.size()));
    return line;
}

// The name in the settings, or the id when the settings no longer contain it.
auto RouterNode::State::upstreamName(UpstreamId upstream) const -> std::string
{
    if (!settings_)
        return std::to_string(upstream);
    for (const auto &[teamName, team] : settings_->teams) {
        for (const auto &[poolName, pool] : team->pools) {
            if (const auto *member = PoolRef{team, &pool}.member(upstream))
                return teamName + '/' + poolName + '/' + member->name;
        }
    }
    return std::to_string(upstream);
}

auto RouterNode::State::on(LinkUp &event) -> void
{
    auto &link = links_[event.upstream];
    auto line = linkLine("link-up", event.upstream, link);
    if (link.phase == LinkPhase::Opening)
        line.add("opening_us", Duration(listeningNow_ - link.openedAt).count());
    actions_.emplace_back(WriteLog{line});
    link.phase = LinkPhase::Open;
    if (link.incarnation != event.incarnation)
        link.leavingAt.reset();
    link.incarnation = event.incarnation;
    link.readClock(event.clock, now_);
    link.quietSince = listeningNow_;
    link.probedAt = listeningNow_;
    if (link.failedAt) {
        link.failedAt.reset();
        views_.clear();
    }
    for (const auto &revoke : std::exchange(link.pendingRevokes, {}))
        send(event.upstream, revoke);
    const auto waiting = link.exchanges;
    for (const auto &request : waiting) {
        auto *exchange = find(request);
        if (exchange != nullptr && exchange->upstream == event.upstream && exchange->isAnswering())
            serve(*exchange);
    }
}

auto RouterNode::State::on(LinkDown &event) -> void
{
    const auto link = links_.find(event.upstream);
    if (link != links_.end())
        linkLost(event.upstream, link->second, "closed");
}

auto RouterNode::State::linkLost(UpstreamId upstream, Link &link, std::string_view cause) -> void
{
    auto line = linkLine("link-lost", upstream, link);
    line.add("cause", cause).add("quiet_us", Duration(listeningNow_ - link.quietSince).count());
    actions_.emplace_back(WriteLog{line});
    link.phase = LinkPhase::Closed;
    link.failedAt = now_;
    views_.clear();
    const auto depending = link.exchanges;
    for (const auto &request : depending) {
        auto *exchange = find(request);
        if (exchange != nullptr && exchange->upstream == upstream)
            linkLost(*exchange);
    }
}

auto RouterNode::State::linkLost(Exchange &exchange) -> void
{
    if (!exchange.isAnswering()) {
        erase(exchange);
        return;
    }
    if (exchange.phase == ExchangePhase::Waiting && exchange.kind != ExchangeKind::Resume) {
        if (exchange.boundTo != 0) {
            fail(exchange,
                 {ErrorKind::NoUpstream, Run::NotRun, "the upstream cannot be reached",
                  limits::defaultRetryAfter});
            return;
        }
        exchange.lastKind = ErrorKind::NoUpstream;
        leaveUpstream(exchange, "link-down");
        advance(exchange, AttemptCost::Free);
        return;
    }
    const auto firstLoss = !exchange.linkLostAt;
    if (firstLoss)
        exchange.linkLostAt = listeningNow_;
    const auto isSought = listeningNow_ - *exchange.linkLostAt < limits::reconnectTimeout;
    // With the retry budget spent the request could only be refused, while its first run may still
    // be answered.
    const auto runsAgain = exchange.mayRunAgain() && budgetOf(exchange).canSpend(now_);
    if (!firstLoss && (runsAgain || !isSought)) {
        handleLoss(exchange, "the upstream cannot be reached");
        return;
    }
    // The first reopening is tried at once, later ones from the tick.
    if (firstLoss)
        openLink(exchange.upstream);
}

auto RouterNode::State::isOutstanding(const Link &link) -> bool
{
    return std::any_of(link.exchanges.begin(), link.exchanges.end(), [&](const auto &request) {
        const auto *exchange = find(request);
        return exchange != nullptr && exchange->phase != ExchangePhase::Finished;
    });
}

auto RouterNode::State::checkLink(UpstreamId upstream, Link &link) -> void
{
    if (link.phase == LinkPhase::Opening && listeningNow_ - link.openedAt >= links::openTimeout) {
        actions_.emplace_back(DropLink{upstream});
        linkLost(upstream, link, "not-opened");
        return;
    }
    if (!isOutstanding(link))
        return;
    if (link.phase == LinkPhase::Closed
        && listeningNow_ - link.openedAt >= limits::reconnectInterval) {
        openLink(upstream);
        return;
    }
    if (link.phase != LinkPhase::Open)
        return;
    if (listeningNow_ - link.quietSince >= links::silenceTimeout) {
        // A device between the two ends has lost the state of the connection. This never raises an
        // error, and the caller's stream would stop permanently. A new connection works.
        actions_.emplace_back(DropLink{upstream});
        linkLost(upstream, link, "silent");
        return;
    }
    const auto isQuiet = listeningNow_ - link.quietSince >= links::probeInterval;
    if (isQuiet && listeningNow_ - link.probedAt >= links::probeInterval)
        probe(upstream, link);
}

// The sidecar answers at once with its clock, so that times are converted correctly again as soon
// as a stalled sidecar is back.
auto RouterNode::State::probe(UpstreamId upstream, Link &link) -> void
{
    link.probedAt = listeningNow_;
    send(upstream, Heartbeat{});
}

} // namespace applehatch::core
