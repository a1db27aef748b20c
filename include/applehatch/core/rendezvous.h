/// Weighted rendezvous hashing: which member of a configured list owns a key.
#pragma once

#include "applehatch/core/identity.h"

#include <cstdint>
#include <vector>

namespace applehatch::core {

/// The score of `member` for `key`; the member with the largest score owns the key.
///
/// A member's share of the keys is proportional to `slots`. A change to the list moves only the
/// keys of the members that changed.
[[nodiscard]] auto rendezvousScore(std::uint64_t key, UpstreamId member, std::uint32_t slots)
    -> double;

/// The hash of `member` for `key`. Among members with equal slots it gives the same order as the
/// score, at less than half of the cost.
[[nodiscard]] auto rendezvousHash(std::uint64_t key, UpstreamId member) -> std::uint64_t;

/// All members, best score first; ties go to the smaller id.
[[nodiscard]] auto rendezvousOrder(std::uint64_t key, const std::vector<settings::Member> &members)
    -> std::vector<UpstreamId>;

/// First of `rendezvousOrder`; 0 for an empty list.
[[nodiscard]] auto rendezvousOwner(std::uint64_t key, const std::vector<settings::Member> &members)
    -> UpstreamId;

} // namespace applehatch::core
