/// Choice of the upstream for a request: the default placement and the baselines for comparison.
#pragma once

#include "applehatch/core/router-node.h"

#include <cstddef>

namespace applehatch::core {

/// Maximum number of candidates that the default placement ranks; no request tries more.
inline constexpr std::size_t maxPlacementCandidates = 16;

/// Default placement: the upstream that the context token names, then weighted rendezvous hashing
/// of the chat; without a chat the less loaded of two random members. Members of the own data
/// centre come first where the pool prefers them.
///
/// Returns at most `maxPlacementCandidates` members.
[[nodiscard]] auto placeByContext(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: all usable members in random order.
[[nodiscard]] auto placeRandom(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: the less loaded of two random members; chats are ignored.
[[nodiscard]] auto placeLeastOfTwo(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: rendezvous hashing over the live members only, without token, weights or loads.
[[nodiscard]] auto placeRendezvousLive(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// Baseline: consistent hashing on a ring; members known to be at their load bound come last.
[[nodiscard]] auto placeConsistentBounded(const PlacementView &view, Random &random)
    -> std::vector<UpstreamId>;

/// True when a recent report shows a member so far over its load bound that it would refuse a
/// request.
[[nodiscard]] auto isWellOverBound(const PlacementView &view, UpstreamId id) -> bool;

/// The owner of `chat` by rendezvous hashing over the configured members, live or not; 0 for an
/// empty pool.
[[nodiscard]] auto chatOwner(const Pool &pool, ChatKey chat, std::string_view ownDataCenter)
    -> UpstreamId;

/// The first `count` of the configured members in weighted rendezvous order of `key`: the same in
/// every process with the same settings, whichever members it considers live.
[[nodiscard]] auto rendezvousOrder(const Pool &pool, std::uint64_t key, std::size_t count)
    -> std::vector<UpstreamId>;

} // namespace applehatch::core
