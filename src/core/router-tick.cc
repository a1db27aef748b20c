// What the passing of time brings: deadlines, quiet links, digests.
#include "router-state.h"

#include <iterator>

namespace applehatch::core {

auto RouterNode::State::on(Tick & /*event*/) -> void
{
    listening_.look(now_);
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
        checkLeft(exchange);
        return;
    }
    if (exchange.deadline <= now_) {
        passDeadline(exchange);
        return;
    }
    const auto &link = links_[exchange.upstream];
    if (exchange.phase != ExchangePhase::Submitted || link.phase != LinkPhase::Open)
        return;
    // A message can be lost on a connection that otherwise works, in the peer's own queue say;
    // the answer would then never go on although heartbeats do.
    const auto patience = exchange.answer.gap ? limits::askPeriod : limits::quietExchange;
    if (now_ - exchange.heardAt >= patience)
        askAgain(exchange);
}

auto RouterNode::State::passDeadline(Exchange &exchange) -> void
{
    revoke(exchange);
    auto run = Run::NotRun;
    if (exchange.phase == ExchangePhase::Submitted)
        run = exchange.answer.headSent ? Run::Ran : Run::Unknown;
    fail(exchange, {ErrorKind::DeadlineExceeded, run, "", std::nullopt});
}

auto RouterNode::State::checkLeft(Exchange &exchange) -> void
{
    const auto gone = now_ - exchange.leftAt;
    if (exchange.phase == ExchangePhase::Finished) {
        if (gone >= limits::consumeWindow)
            erase(exchange);
        return;
    }
    if (gone < limits::resumeGrace)
        return;
    // A caller that resumed through another router took the stream with it, and its sidecar sends
    // nothing here any more; only a run that still sends here has nobody left.
    if (now_ - exchange.heardAt < limits::stillSending)
        revoke(exchange);
    erase(exchange);
}

auto RouterNode::State::sendDigest() -> void
{
    if (!settings_ || now_ < digestAt_ + limits::digestPeriod)
        return;
    digestAt_ = now_;
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
    const auto &asked = *pools[digestPool_++ % pools.size()];
    Digest digest;
    digest.settingsIndex = settings_->index;
    digest.entries = loads_.freshestOf(asked, {}, limits::digestEntries, now_);
    digest.crashes = crashes_.notices(limits::digestCrashes, now_);
    digest.wantsReply = true;
    const auto &member = asked.members[random_() % asked.members.size()];
    actions_.emplace_back(SendDigest{member.id, std::move(digest)});
}

} // namespace applehatch::core
