#include "applehatch/direct/reading-backlog.h"

#include <algorithm>

namespace applehatch::direct {

namespace {

auto subtract(std::unordered_map<UpstreamId, std::uint64_t> &from, UpstreamId upstream,
              std::uint64_t tokens) -> void
{
    const auto found = from.find(upstream);
    if (found == from.end())
        return;
    found->second -= std::min(found->second, tokens);
    if (found->second == 0)
        from.erase(found);
}

} // namespace

auto ReadingBacklog::noteRead(UpstreamId upstream, std::uint32_t tokens) -> void
{
    subtract(own_, upstream, tokens);
}

auto ReadingBacklog::notePeer(PeerId peer, const std::vector<PeerLoad> &loads, Instant now) -> void
{
    auto &entry = peers_[peer];
    remove(entry);
    entry.unread.clear();
    entry.heardAt = now;
    for (const auto &load : loads) {
        if (load.unreadTokens == 0)
            continue;
        entry.unread[load.upstream] += load.unreadTokens;
        peerSums_[load.upstream] += load.unreadTokens;
    }
}

auto ReadingBacklog::remove(const Peer &peer) -> void
{
    for (const auto &[upstream, tokens] : peer.unread)
        subtract(peerSums_, upstream, tokens);
}

auto ReadingBacklog::forget(UpstreamId upstream) -> void
{
    own_.erase(upstream);
}

auto ReadingBacklog::expire(Duration lifetime, Instant now) -> void
{
    std::erase_if(peers_, [&](const auto &item) {
        if (item.second.heardAt + lifetime >= now)
            return false;
        remove(item.second);
        return true;
    });
}

auto ReadingBacklog::ownTokens(UpstreamId upstream) const -> std::uint32_t
{
    const auto found = own_.find(upstream);
    return found == own_.end() ? 0 : static_cast<std::uint32_t>(found->second);
}

auto ReadingBacklog::tokensAt(UpstreamId upstream) const -> std::uint64_t
{
    const auto found = peerSums_.find(upstream);
    return ownTokens(upstream) + (found == peerSums_.end() ? 0 : found->second);
}

} // namespace applehatch::direct
