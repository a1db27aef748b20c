/// Tracks the number of requests that each upstream runs for the whole fleet.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace applehatch::direct {

/// Identifies one incarnation of a router process.
using PeerId = std::uint64_t;

/// The number of requests that a router reports to have running at one upstream.
struct PeerLoad
{
    UpstreamId upstream = 0;
    std::uint32_t running = 0;
    std::uint32_t unreadTokens = 0; ///< Prompt tokens sent there that no event followed yet.
};

/// Combines this router's own running requests, the counts reported by peers and the reports of the
/// upstreams.
///
/// A router that limits an upstream's load by its own count alone lets the fleet send several times
/// the limit to one upstream; the peers' counts close that gap.
class LoadTracker
{
public:
    /// Default lifetime of a peer's counts; about five lost datagrams at the usual interval.
    static constexpr Duration peerLifetime = std::chrono::milliseconds(1500);
    /// Lifetime of an upstream's report; after this long most of the requests that it counted have
    /// finished.
    static constexpr Duration reportLifetime = std::chrono::milliseconds(400);

    auto noteSent(UpstreamId upstream) -> void { ++own_[upstream]; }
    auto noteDone(UpstreamId upstream) -> void;
    auto notePeer(PeerId peer, const std::vector<PeerLoad> &loads, Instant now) -> void;
    auto noteReport(UpstreamId upstream, std::uint32_t running, std::uint32_t waiting, Instant now)
        -> void;
    auto forget(UpstreamId upstream) -> void;
    /// Sets the lifetime of peers' counts, which must be longer where peers report less often.
    auto setPeerLifetime(Duration lifetime) -> void { peerLifetime_ = lifetime; }
    /// Drops the counts of peers whose reports have expired.
    auto expire(Instant now) -> void;

    [[nodiscard]] auto ownLoad(UpstreamId upstream) const -> std::uint32_t;
    /// Returns the number of requests at `upstream` from all routers: the sum of the routers'
    /// counts, or the number reported by the upstream if that is higher.
    [[nodiscard]] auto fleetLoad(UpstreamId upstream, Instant now) const -> std::uint32_t;
    /// Returns the counts that this router reports to its peers: upstreams with running requests.
    [[nodiscard]] auto ownLoads() const -> std::vector<PeerLoad>;

private:
    struct Peer
    {
        std::unordered_map<UpstreamId, std::uint32_t> running;
        Instant receivedAt;
    };
    using Counts = std::unordered_map<UpstreamId, std::uint32_t>;

    auto addToPeerSums(const Counts &counts) -> void;
    auto subtractFromPeerSums(const Counts &counts) -> void;
    [[nodiscard]] auto peerLoad(UpstreamId upstream, Instant now) const -> std::uint32_t;

    struct Report
    {
        std::uint32_t total = 0;
        // Own requests when the report arrived; later changes are added to the report.
        std::uint32_t ownAtReport = 0;
        Instant receivedAt;
    };

    std::unordered_map<UpstreamId, std::uint32_t> own_;
    std::unordered_map<PeerId, Peer> peers_;
    Duration peerLifetime_ = peerLifetime;
    // Sums over `peers_`, which are needed for each upstream whenever one is selected: with 390
    // peers and 730 upstreams these would be 285,000 look-ups. Valid until `peerSumsValidUntil_`,
    // when the counts of a peer may have expired.
    Counts peerSums_;
    Instant peerSumsValidUntil_;
    std::unordered_map<UpstreamId, Report> reports_;
};

} // namespace applehatch::direct
