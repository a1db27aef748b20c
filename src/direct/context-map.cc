#include "applehatch/direct/context-map.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

auto ContextMap::put(const ContextPlace &place, Instant now) -> void
{
    Held held;
    if (const auto *known = held_.find(place.context, now)) {
        held = *known;
        tokensAt_[held.upstreams.front()] -= held.tokens;
    }
    std::erase(held.upstreams, place.upstream);
    held.upstreams.insert(held.upstreams.begin(), place.upstream);
    if (held.upstreams.size() > placesEach)
        held.upstreams.pop_back();
    held.tokens = place.tokens;
    tokensAt_[place.upstream] += place.tokens;
    held_.put(place.context, std::move(held), now + lifetime);
}

auto ContextMap::noteSent(const ContextPlace &place, Instant now) -> void
{
    put(place, now);
    uses_.push_back({place, now});
    if (uses_.size() > mostTold)
        uses_.pop_front();
}

auto ContextMap::tokensAt(UpstreamId upstream) const -> std::uint64_t
{
    const auto found = tokensAt_.find(upstream);
    return found == tokensAt_.end() ? 0 : found->second;
}

auto ContextMap::expire(Instant now) -> void
{
    if (now - countedAt_ < countsEach)
        return;
    countedAt_ = now;
    held_.expire(now);
    tokensAt_.clear();
    held_.forEach(now,
                  [this](const Held &held) { tokensAt_[held.upstreams.front()] += held.tokens; });
}

auto ContextMap::notePeer(const std::vector<ContextPlace> &places, Instant now) -> void
{
    for (const auto &place : places)
        put(place, now);
}

auto ContextMap::recentUses(Instant now, Duration within) -> std::vector<ContextPlace>
{
    while (!uses_.empty() && now - uses_.front().at > std::max(toldFor, within))
        uses_.pop_front();
    std::vector<ContextPlace> places;
    for (const auto &use : uses_) {
        if (std::find(places.begin(), places.end(), use.place) == places.end())
            places.push_back(use.place);
    }
    return places;
}

auto ContextMap::places(std::uint64_t context, Instant now) const -> std::vector<UpstreamId>
{
    const auto *held = held_.find(context, now);
    return held == nullptr ? std::vector<UpstreamId>() : held->upstreams;
}

} // namespace applehatch::direct
