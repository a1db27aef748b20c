#include "applehatch/direct/context-map.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

auto ContextMap::put(const ContextPlacement &placement, Instant now) -> void
{
    Entry entry;
    if (const auto *known = entries_.find(placement.context, now)) {
        entry = *known;
        tokensAt_[entry.upstreams.front()] -= entry.tokens;
    }
    std::erase(entry.upstreams, placement.upstream);
    entry.upstreams.insert(entry.upstreams.begin(), placement.upstream);
    if (entry.upstreams.size() > maxUpstreamsPerContext)
        entry.upstreams.pop_back();
    entry.tokens = placement.tokens;
    tokensAt_[placement.upstream] += placement.tokens;
    entries_.put(placement.context, std::move(entry), now + lifetime);
}

auto ContextMap::noteSent(const ContextPlacement &placement, Instant now) -> void
{
    put(placement, now);
    uses_.push_back({placement, now});
    if (uses_.size() > maxReportedUses)
        uses_.pop_front();
}

auto ContextMap::tokensAt(UpstreamId upstream) const -> std::uint64_t
{
    const auto found = tokensAt_.find(upstream);
    return found == tokensAt_.end() ? 0 : found->second;
}

auto ContextMap::expire(Instant now) -> void
{
    if (now - countedAt_ < recountInterval)
        return;
    countedAt_ = now;
    entries_.expire(now);
    tokensAt_.clear();
    entries_.forEach(
        now, [this](const Entry &entry) { tokensAt_[entry.upstreams.front()] += entry.tokens; });
}

auto ContextMap::notePeer(const std::vector<ContextPlacement> &placements, Instant now) -> void
{
    for (const auto &placement : placements)
        put(placement, now);
}

auto ContextMap::recentUses(Instant now, Duration within) -> std::vector<ContextPlacement>
{
    while (!uses_.empty() && now - uses_.front().at > std::max(reportWindow, within))
        uses_.pop_front();
    std::vector<ContextPlacement> placements;
    for (const auto &use : uses_) {
        if (std::find(placements.begin(), placements.end(), use.placement) == placements.end())
            placements.push_back(use.placement);
    }
    return placements;
}

auto ContextMap::upstreamsOf(std::uint64_t context, Instant now) const -> std::vector<UpstreamId>
{
    const auto *entry = entries_.find(context, now);
    return entry == nullptr ? std::vector<UpstreamId>() : entry->upstreams;
}

} // namespace applehatch::direct
