/// How many requests each upstream runs, over the whole fleet.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace applehatch::direct {

/// Names one router process in one life.
using PeerId = std::uint64_t;

/// What a router says of its own requests at one upstream.
struct PeerLoad
{
    UpstreamId upstream = 0;
    std::uint32_t running = 0;
};

/// Adds up what this router has under way, what its peers told, and what upstreams report.
///
/// A router that bounds an upstream's load by its own count alone lets the fleet send several
/// times the bound to one upstream; peers' counts close that gap.
class LoadBook
{
public:
    /// A peer's counts are void after this long unless set otherwise; about five lost datagrams at
    /// the usual pace.
    static constexpr Duration peerLifetime = std::chrono::milliseconds(1500);
    /// A report is void after this long: by then most of what it counted has finished.
    static constexpr Duration reportLifetime = std::chrono::milliseconds(400);

    auto noteSent(UpstreamId upstream) -> void { ++own_[upstream]; }
    auto noteDone(UpstreamId upstream) -> void;
    auto notePeer(PeerId peer, const std::vector<PeerLoad> &loads, Instant now) -> void;
    auto noteReport(UpstreamId upstream, std::uint32_t running, std::uint32_t waiting, Instant now)
        -> void;
    auto forget(UpstreamId upstream) -> void;
    /// Where peers tell less often, their counts must hold for longer.
    auto setPeerLifetime(Duration lifetime) -> void { lifetime_ = lifetime; }
    /// Drops the counts of peers that fell silent.
    auto expire(Instant now) -> void;

    [[nodiscard]] auto own(UpstreamId upstream) const -> std::uint32_t;
    /// Requests at `upstream` from all routers: counted, or reported where that is more.
    [[nodiscard]] auto fleet(UpstreamId upstream, Instant now) const -> std::uint32_t;
    /// What this router tells its peers: upstreams with requests under way.
    [[nodiscard]] auto ownLoads() const -> std::vector<PeerLoad>;

private:
    struct Peer
    {
        std::unordered_map<UpstreamId, std::uint32_t> running;
        Instant toldAt;
    };
    using Counts = std::unordered_map<UpstreamId, std::uint32_t>;

    auto addToPeers(const Counts &counts) -> void;
    auto takeFromPeers(const Counts &counts) -> void;
    [[nodiscard]] auto ofPeers(UpstreamId upstream, Instant now) const -> std::uint32_t;

    struct Report
    {
        std::uint32_t total = 0;
        std::uint32_t ownThen = 0; // Own requests when it came, to correct it by later ones.
        Instant toldAt;
    };

    std::unordered_map<UpstreamId, std::uint32_t> own_;
    std::unordered_map<PeerId, Peer> peers_;
    Duration lifetime_ = peerLifetime;
    // Sums of `peers_`, which a choice takes for each upstream: 390 peers before 730 upstreams
    // would make 285,000 look-ups. Whole until `sumsHoldUntil_`, when a peer may have fallen
    // silent.
    Counts sums_;
    Instant sumsHoldUntil_;
    std::unordered_map<UpstreamId, Report> reports_;
};

} // namespace applehatch::direct
