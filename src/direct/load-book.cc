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
    takeFromPeers(held.running);
    held.toldAt = now;
    held.running.clear();
    for (const auto &load : loads)
        held.running[load.upstream] += load.running;
    addToPeers(held.running);
    sumsHoldUntil_ = std::min(sumsHoldUntil_, now + lifetime_);
}

auto LoadBook::addToPeers(const Counts &counts) -> void
{
    for (const auto &[upstream, running] : counts)
        sums_[upstream] += running;
}

auto LoadBook::takeFromPeers(const Counts &counts) -> void
{
    for (const auto &[upstream, running] : counts) {
        const auto sum = sums_.find(upstream);
        sum->second -= running;
        if (sum->second == 0)
            sums_.erase(sum);
    }
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
    sumsHoldUntil_ = now + lifetime_;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        const auto holdsUntil = peer->second.toldAt + lifetime_;
        if (now <= holdsUntil) {
            sumsHoldUntil_ = std::min(sumsHoldUntil_, holdsUntil);
            ++peer;
            continue;
        }
        takeFromPeers(peer->second.running);
        peer = peers_.erase(peer);
    }
}

auto LoadBook::ofPeers(UpstreamId upstream, Instant now) const -> std::uint32_t
{
    if (now <= sumsHoldUntil_) {
        const auto sum = sums_.find(upstream);
        return sum == sums_.end() ? 0 : sum->second;
    }
    std::uint32_t total = 0;
    for (const auto &[id, peer] : peers_) {
        const auto running = peer.running.find(upstream);
        if (running != peer.running.end() && now - peer.toldAt <= lifetime_)
            total += running->second;
    }
    return total;
}

auto LoadBook::own(UpstreamId upstream) const -> std::uint32_t
{
    const auto found = own_.find(upstream);
    return found == own_.end() ? 0 : found->second;
}

auto LoadBook::fleet(UpstreamId upstream, Instant now) const -> std::uint32_t
{
    const auto mine = own(upstream);
    const auto counted = mine + ofPeers(upstream, now);
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
