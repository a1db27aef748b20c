/// Prompt tokens that each engine still has to read, for the whole fleet.
#pragma once

#include "applehatch/direct/load-tracker.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace applehatch::direct {

/// Counts the tokens of prompts that were sent and whose first event has not come yet.
///
/// An engine reads prompts one after another. A prompt of 30,000 tokens delays the first events of
/// all that come after it for half a second, and counts as one request like a prompt of 100.
class ReadingBacklog
{
public:
    auto noteSent(UpstreamId upstream, std::uint32_t tokens) -> void { own_[upstream] += tokens; }
    /// Records that the first event of a request came, or that the request left the engine.
    auto noteRead(UpstreamId upstream, std::uint32_t tokens) -> void;
    auto notePeer(PeerId peer, const std::vector<PeerLoad> &loads, Instant now) -> void;
    auto forget(UpstreamId upstream) -> void;
    /// Drops the counts of peers that were not heard for `lifetime`.
    auto expire(Duration lifetime, Instant now) -> void;

    [[nodiscard]] auto ownTokens(UpstreamId upstream) const -> std::uint32_t;
    /// Returns the tokens that all routers wait for.
    [[nodiscard]] auto tokensAt(UpstreamId upstream) const -> std::uint64_t;

private:
    using Tokens = std::unordered_map<UpstreamId, std::uint64_t>;

    struct Peer
    {
        Tokens unread;
        Instant heardAt;
    };

    auto remove(const Peer &peer) -> void;

    Tokens own_;
    std::unordered_map<PeerId, Peer> peers_;
    Tokens peerSums_; // Over `peers_`, which are needed whenever an engine is chosen.
};

} // namespace applehatch::direct
