#include "applehatch/direct/load-tracker.h"

#include <algorithm>

namespace applehatch::direct {

auto LoadTracker::noteDone(UpstreamId upstream) -> void
{
    const auto found = own_.find(upstream);
    if (found != own_.end() && found->second > 0)
        --found->second;
}

auto LoadTracker::notePeer(PeerId peer, const std::vector<PeerLoad> &loads, Instant now) -> void
{
    auto &entry = peers_[peer];
    subtractFromPeerSums(entry.running);
    entry.receivedAt = now;
    entry.running.clear();
    for (const auto &load : loads)
        entry.running[load.upstream] += load.running;
    addToPeerSums(entry.running);
    peerSumsValidUntil_ = std::min(peerSumsValidUntil_, now + peerLifetime_);
}

auto LoadTracker::addToPeerSums(const Counts &counts) -> void
{
    for (const auto &[upstream, running] : counts)
        peerSums_[upstream] += running;
}

auto LoadTracker::subtractFromPeerSums(const Counts &counts) -> void
{
    for (const auto &[upstream, running] : counts) {
        const auto sum = peerSums_.find(upstream);
        sum->second -= running;
        if (sum->second == 0)
            peerSums_.erase(sum);
    }
}

auto LoadTracker::noteReport(UpstreamId upstream, std::uint32_t running, std::uint32_t waiting,
                             Instant now) -> void
{
    reports_[upstream] = {running + waiting, ownLoad(upstream), now};
}

auto LoadTracker::forget(UpstreamId upstream) -> void
{
    reports_.erase(upstream);
    const auto found = own_.find(upstream);
    if (found != own_.end() && found->second == 0)
        own_.erase(found);
}

auto LoadTracker::expire(Instant now) -> void
{
    peerSumsValidUntil_ = now + peerLifetime_;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        const auto validUntil = peer->second.receivedAt + peerLifetime_;
        if (now <= validUntil) {
            peerSumsValidUntil_ = std::min(peerSumsValidUntil_, validUntil);
            ++peer;
            continue;
        }
        subtractFromPeerSums(peer->second.running);
        peer = peers_.erase(peer);
    }
}

auto LoadTracker::peerLoad(UpstreamId upstream, Instant now) const -> std::uint32_t
{
    if (now <= peerSumsValidUntil_) {
        const auto sum = peerSums_.find(upstream);
        return sum == peerSums_.end() ? 0 : sum->second;
    }
    std::uint32_t total = 0;
    for (const auto &[id, peer] : peers_) {
        const auto running = peer.running.find(upstream);
        if (running != peer.running.end() && now - peer.receivedAt <= peerLifetime_)
            total += running->second;
    }
    return total;
}

auto LoadTracker::ownLoad(UpstreamId upstream) const -> std::uint32_t
{
    const auto found = own_.find(upstream);
    return found == own_.end() ? 0 : found->second;
}

auto LoadTracker::fleetLoad(UpstreamId upstream, Instant now) const -> std::uint32_t
{
    const auto mine = ownLoad(upstream);
    const auto counted = mine + peerLoad(upstream, now);
    const auto report = reports_.find(upstream);
    if (report == reports_.end() || now - report->second.receivedAt > reportLifetime)
        return counted;
    const auto sentSinceReport = static_cast<std::int64_t>(mine) - report->second.ownAtReport;
    const auto corrected = static_cast<std::int64_t>(report->second.total) + sentSinceReport;
    return std::max<std::uint32_t>(
        counted, static_cast<std::uint32_t>(std::max<std::int64_t>(0, corrected)));
}

auto LoadTracker::ownLoads() const -> std::vector<PeerLoad>
{
    std::vector<PeerLoad> loads;
    for (const auto &[upstream, running] : own_) {
        if (running > 0)
            loads.push_back({upstream, running});
    }
    return loads;
}

} // namespace applehatch::direct
