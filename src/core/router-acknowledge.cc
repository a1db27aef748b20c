// Telling sidecars what callers have taken, which costs a message for each word.
#include "router-state.h"

#include <algorithm>

namespace applehatch::core {

auto RouterNode::State::acknowledge(Exchange &exchange) -> void
{
    exchange.answer.acknowledged = exchange.answer.consumed;
    acknowledge({now_, exchange.upstream, exchange.origin, exchange.answer.consumed}, false);
}

// A sidecar forgets a whole answer by itself after a minute, and what is generated in a minute fits
// its buffer. So the word that a caller has a short one is held back until its sidecar leaves: then
// it waits for each such word, and one would see a planned stop last a minute longer.
auto RouterNode::State::acknowledgeEnd(const Exchange &exchange) -> void
{
    Taken taken{now_, exchange.upstream, exchange.origin, exchange.answer.received};
    const auto isLong = taken.offset >= limits::acknowledgeStep;
    if (isLong || draining_ || isKnownLeaving(taken.upstream))
        acknowledge(taken, true);
    else
        withheld_.push_back(std::move(taken));
}

auto RouterNode::State::acknowledge(const Taken &taken, bool finished) -> void
{
    const auto link = links_.find(taken.upstream);
    if (link != links_.end() && link->second.phase == LinkPhase::Open)
        send(taken.upstream, Acknowledge{taken.origin, taken.offset, finished});
}

auto RouterNode::State::isKnownLeaving(UpstreamId upstream) const -> bool
{
    if (!configured_.contains(upstream))
        return true;
    const auto entry = loads_.find(upstream, now_);
    return entry && entry->state == UpstreamState::Leaving;
}

auto RouterNode::State::releaseAcknowledgements(const std::function<bool(UpstreamId)> &isFor)
    -> void
{
    std::erase_if(withheld_, [&](const Taken &taken) {
        const auto isDue = isFor(taken.upstream);
        if (isDue)
            acknowledge(taken, true);
        return isDue;
    });
}

auto RouterNode::State::expireAcknowledgements() -> void
{
    while (!withheld_.empty() && now_ - withheld_.front().at >= limits::answerMemory)
        withheld_.pop_front();
}

} // namespace applehatch::core
