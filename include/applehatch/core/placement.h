/// Which upstream gets a request: the default order and the baselines it is measured against.
#pragma once

#include "applehatch/core/router-node.h"

#include <cstddef>

namespace applehatch::core {

/// Candidates that the default placement ranks; more are never tried for one request.
inline constexpr std::size_t placementDepth = 16;

/// The default: the context token's home, then weighted rendezvous hashing of the chat; without a
/// chat the lesser loaded of two random members. Own data centre first where the pool says so.
///
/// Gives at most `placementDepth` members.
[[nodiscard]] auto placeByContext(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: all usable members in random order.
[[nodiscard]] auto placeRandom(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: the lesser loaded of two random members; chats are ignored.
[[nodiscard]] auto placeLeastOfTwo(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: rendezvous hashing over the live members only, without token, weights or loads.
[[nodiscard]] auto placeRendezvousLive(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: consistent hashing on a ring; members known to be at their bound are passed over.
[[nodiscard]] auto placeConsistentBounded(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// The first `count` of the configured members in weighted rendezvous order of `key`: the same in
/// every process with the same settings, whatever it knows of who is live.
[[nodiscard]] auto rendezvousOrder(const Pool &pool, std::uint64_t key, std::size_t count)
    -> std::vector<UpstreamId>;

} // namespace applehatch::core
