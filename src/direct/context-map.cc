#include "applehatch/direct/context-map.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

auto ContextMap::put(const ContextPlace &place, Instant now) -> void
{
    auto held = places(place.context, now);
    std::erase(held, place.upstream);
    held.insert(held.begin(), place.upstream);
    if (held.size() > placesEach)
        held.pop_back();
    places_.put(place.context, std::move(held), now + lifetime);
}

auto ContextMap::noteSent(std::uint64_t context, UpstreamId upstream, Instant now) -> void
{
    put({context, upstream}, now);
    uses_.push_back({{context, upstream}, now});
    if (uses_.size() > mostTold)
        uses_.pop_front();
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
    const auto *held = places_.find(context, now);
    return held == nullptr ? std::vector<UpstreamId>() : *held;
}

} // namespace applehatch::direct
