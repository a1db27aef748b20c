// Acknowledges to sidecars what callers have received. Each acknowledgement costs a message.
#include "router-state.h"

#include <algorithm>

namespace applehatch::core {

auto RouterNode::State::acknowledge(Exchange &exchange) -> void
{
    exchange.answer.acknowledged = exchange.answer.consumed;
    acknowledge({now_, exchange.upstream, exchange.origin, exchange.answer.consumed}, false);
}

// A sidecar drops a complete answer by itself after a minute, and its buffer has room for what is
// generated in a minute. So the acknowledgement of a short answer is deferred until the sidecar
// leaves. A leaving sidecar waits for every acknowledgement; without it, a planned stop would take
// a minute longer.
auto RouterNode::State::acknowledgeEnd(const Exchange &exchange) -> void
{
    AnswerProgress progress{now_, exchange.upstream, exchange.origin, exchange.answer.received};
    const auto isLong = progress.offset >= limits::acknowledgeStep;
    if (isLong || draining_ || isKnownLeaving(progress.upstream))
        acknowledge(progress, true);
    else
        deferredAcknowledgements_.push_back(std::move(progress));
}

auto RouterNode::State::acknowledge(const AnswerProgress &progress, bool finished) -> void
{
    const auto link = links_.find(progress.upstream);
    if (link != links_.end() && link->second.phase == LinkPhase::Open)
        send(progress.upstream, Acknowledge{progress.origin, progress.offset, finished});
}

auto RouterNode::State::isKnownLeaving(UpstreamId upstream) const -> bool
{
    if (!configuredUpstreams_.contains(upstream))
        return true;
    const auto entry = loads_.find(upstream, now_);
    return entry && entry->state == UpstreamState::Leaving;
}

auto RouterNode::State::releaseAcknowledgements(const std::function<bool(UpstreamId)> &isFor)
    -> void
{
    std::erase_if(deferredAcknowledgements_, [&](const AnswerProgress &progress) {
        const auto isDue = isFor(progress.upstream);
        if (isDue)
            acknowledge(progress, true);
        return isDue;
    });
}

auto RouterNode::State::expireAcknowledgements() -> void
{
    while (!deferredAcknowledgements_.empty()
           && now_ - deferredAcknowledgements_.front().at >= limits::answerLifetime)
        deferredAcknowledgements_.pop_front();
}

} // namespace applehatch::core
