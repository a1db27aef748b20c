#include "applehatch/direct/load-book.h"

#include <algorithm>

namespace applehatch::direct {

auto LoadBook::noteDone(UpstreamId upstream) -> void
{
    const auto found = own_.find(upstream);
    if (found != own_.end() && found->second > 0)
        --found->second;
}

auto LoadBook::notePeer(PeerId peer, const std::vector<PeerLoad> &loads, Instant now) -> void
{
    auto &held = peers_[peer];
    held.toldAt = now;
    held.running.clear();
    for (const auto &load : loads)
        held.running[load.upstream] = load.running;
}

auto LoadBook::noteReport(UpstreamId upstream, std::uint32_t running, std::uint32_t waiting,
                          Instant now) -> void
{
    reports_[upstream] = {running + waiting, own(upstream), now};
}

auto LoadBook::forget(UpstreamId upstream) -> void
{
    reports_.erase(upstream);
    const auto found = own_.find(upstream);
    if (found != own_.end() && found->second == 0)
        own_.erase(found);
}

auto LoadBook::expire(Instant now) -> void
{
    std::erase_if(peers_,
                  [now](const auto &entry) { return now - entry.second.toldAt > peerLifetime; });
}

auto LoadBook::own(UpstreamId upstream) const -> std::uint32_t
{
    const auto found = own_.find(upstream);
    return found == own_.end() ? 0 : found->second;
}

auto LoadBook::fleet(UpstreamId upstream, Instant now) const -> std::uint32_t
{
    const auto mine = own(upstream);
    auto counted = mine;
    for (const auto &[id, peer] : peers_) {
        const auto running = peer.running.find(upstream);
        if (running != peer.running.end() && now - peer.toldAt <= peerLifetime)
            counted += running->second;
    }
    const auto report = reports_.find(upstream);
    if (report == reports_.end() || now - report->second.toldAt > reportLifetime)
        return counted;
    const auto since = static_cast<std::int64_t>(mine) - report->second.ownThen;
    const auto corrected = static_cast<std::int64_t>(report->second.total) + since;
    return std::max<std::uint32_t>(
        counted, static_cast<std::uint32_t>(std::max<std::int64_t>(0, corrected)));
}

auto LoadBook::ownLoads() const -> std::vector<PeerLoad>
{
    std::vector<PeerLoad> loads;
    for (const auto &[upstream, running] : own_) {
        if (running > 0)
            loads.push_back({upstream, running});
    }
    return loads;
}

} // namespace applehatch::direct
