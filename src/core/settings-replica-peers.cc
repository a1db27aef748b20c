#include "settings-replica-peers.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace applehatch::core {

namespace {

auto pickFrom(const std::vector<UpstreamId> &peers, const std::unordered_set<UpstreamId> &asked,
              Random &random) -> UpstreamId
{
    std::vector<UpstreamId> fresh;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(fresh),
                 [&asked](UpstreamId peer) { return asked.count(peer) == 0; });
    const auto &from = fresh.empty() ? peers : fresh;
    if (from.empty()) {
        return 0;
    }
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random)];
}

} // namespace

PeerSelector::PeerSelector(const ReplicaIdentity &identity)
    : self_(identity.self)
    , dataCenter_(identity.dataCenter)
    , readersPerDataCenter_(identity.readersPerDataCenter)
    , bootstrapPeers_(identity.peers)
{ }

auto PeerSelector::setSettings(const settings::Settings &settings) -> void
{
    sidecars_.clear();
    for (const auto &[teamName, team] : settings.teams) {
        for (const auto &[poolName, pool] : team->pools) {
            for (const auto &member : pool.members) {
                sidecars_.push_back({member.id, member.dataCenter, member.sidecar.ip});
            }
        }
    }
    rebuild();
}

auto PeerSelector::setHosts(const HostList &list) -> void
{
    if (list.hosts.empty()) {
        return;
    }
    hosts_.clear();
    for (const auto &host : list.hosts) {
        hosts_[host.ip] = host.state;
    }
    rebuild();
}

auto PeerSelector::isLive(const Sidecar &sidecar) const -> bool
{
    const auto host = hosts_.find(sidecar.ip);
    if (host == hosts_.end()) {
        return hosts_.empty() || sidecar.id == self_;
    }
    return host->second == HostState::Live;
}

auto PeerSelector::rebuild() -> void
{
    std::vector<Sidecar> live;
    std::copy_if(sidecars_.begin(), sidecars_.end(), std::back_inserter(live),
                 [this](const Sidecar &sidecar) { return isLive(sidecar); });
    sameDataCenter_.clear();
    all_.clear();
    for (const auto &sidecar : live) {
        if (sidecar.id == self_) {
            continue;
        }
        all_.push_back(sidecar.id);
        if (sidecar.dataCenter == dataCenter_) {
            sameDataCenter_.push_back(sidecar.id);
        }
    }
    chooseReaders(live);
}

auto PeerSelector::chooseReaders(const std::vector<Sidecar> &live) -> void
{
    using Ranked = std::pair<std::uint64_t, UpstreamId>;
    std::map<std::string, std::vector<Ranked>> byDataCenter;
    for (const auto &sidecar : live) {
        const auto rank = stableHash(sidecar.dataCenter, sidecar.id);
        byDataCenter[sidecar.dataCenter].emplace_back(rank, sidecar.id);
    }
    readerPeers_.clear();
    isReader_ = false;
    for (auto &[dataCenter, ranked] : byDataCenter) {
        const auto count = std::min(readersPerDataCenter_, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                          ranked.end());
        for (std::size_t i = 0; i < count; ++i) {
            const auto id = ranked[i].second;
            const auto own = id == self_ && dataCenter == dataCenter_;
            isReader_ = isReader_ || own;
            if (id != self_) {
                readerPeers_.push_back(id);
            }
        }
    }
}

auto PeerSelector::pick(const std::unordered_set<UpstreamId> &asked, PeerChoice choice,
                        Random &random) const -> UpstreamId
{
    if (all_.empty()) {
        return pickFrom(bootstrapPeers_, asked, random);
    }
    if (choice == PeerChoice::Readers && !readerPeers_.empty()) {
        return pickFrom(readerPeers_, asked, random);
    }
    return pickFrom(
        choice == PeerChoice::SameDataCenter && !sameDataCenter_.empty() ? sameDataCenter_ : all_,
        asked, random);
}

} // namespace applehatch::core
