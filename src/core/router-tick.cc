// Periodic work: deadlines, silent links, digests.
#include "router-state.h"

#include <iterator>

namespace applehatch::core {

auto RouterNode::State::on(Tick & /*event*/) -> void
{
    listeningClock_.recordPoll(now_);
    std::vector<RequestId> requests;
    requests.reserve(exchanges_.size());
    for (const auto &[request, exchange] : exchanges_)
        requests.push_back(request);
    for (const auto &request : requests) {
        if (auto *exchange = find(request))
            checkExchange(*exchange);
    }
    std::vector<UpstreamId> upstreams;
    for (const auto &[upstream, link] : links_) {
        if (link.phase == LinkPhase::Opening || !link.exchanges.empty())
            upstreams.push_back(upstream);
    }
    for (const auto upstream : upstreams)
        checkLink(upstream, links_[upstream]);
    sendDigest();
}

auto RouterNode::State::checkExchange(Exchange &exchange) -> void
{
    if (!exchange.isAnswering()) {
        checkEnded(exchange);
        return;
    }
    if (exchange.deadline <= now_) {
        passDeadline(exchange);
        return;
    }
    const auto &link = links_[exchange.upstream];
    if (exchange.phase != ExchangePhase::Submitted || link.phase != LinkPhase::Open)
        return;
    // A message can be lost on a connection that otherwise works, for example in the peer's own
    // queue. The answer would then never continue although heartbeats do.
    const auto patience =
        exchange.answer.gap ? limits::resumeInterval : limits::quietExchangeTimeout;
    if (now_ - exchange.lastActivityAt >= patience)
        resumeIfDue(exchange);
}

auto RouterNode::State::passDeadline(Exchange &exchange) -> void
{
    revoke(exchange);
    auto run = Run::NotRun;
    if (exchange.phase == ExchangePhase::Submitted)
        run = exchange.answer.headSent ? Run::Ran : Run::Unknown;
    fail(exchange, {ErrorKind::DeadlineExceeded, run, "", std::nullopt});
}

auto RouterNode::State::checkEnded(Exchange &exchange) -> void
{
    const auto gone = now_ - exchange.endedAt;
    if (exchange.phase == ExchangePhase::Finished) {
        if (gone >= limits::consumeTimeout)
            erase(exchange);
        return;
    }
    if (gone < limits::detachedLifetime)
        return;
    // After a caller resumed through another router, the sidecar sends the stream there and nothing
    // here. Only a run that still sends to this router has no caller left.
    if (now_ - exchange.lastActivityAt < limits::recentMessageWindow)
        revoke(exchange);
    erase(exchange);
}

auto RouterNode::State::sendDigest() -> void
{
    if (!settings_ || now_ < lastDigestAt_ + limits::digestInterval)
        return;
    lastDigestAt_ = now_;
    loads_.expire(now_);
    expireAcknowledgements();
    crashes_.expire(now_);
    std::vector<const Pool *> pools;
    for (const auto &[name, team] : settings_->teams) {
        for (const auto &[poolName, pool] : team->pools) {
            if (!pool.members.empty())
                pools.push_back(&pool);
        }
    }
    if (pools.empty())
        return;
    const auto &asked = *pools[nextDigestPool_++ % pools.size()];
    Digest digest;
    digest.settingsIndex = settings_->index;
    digest.entries = loads_.newestEntriesOf(asked, {}, limits::maxDigestEntries, now_);
    digest.crashes = crashes_.notices(limits::maxDigestCrashes, now_);
    digest.wantsReply = true;
    const auto &member = asked.members[random_() % asked.members.size()];
    actions_.emplace_back(SendDigest{member.id, std::move(digest)});
}

} // namespace applehatch::core
