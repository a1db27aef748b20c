/// Weighted rendezvous hashing: who of a configured member list is responsible for a key.
#pragma once

#include "applehatch/core/identity.h"

#include <cstdint>
#include <vector>

namespace applehatch::core {

/// Score of `member` for `key`; the member with the largest score is the key's owner.
///
/// A member's share of the keys is proportional to `slots`. A change of the list moves only the
/// keys of the members that changed.
[[nodiscard]] auto rendezvousScore(std::uint64_t key, UpstreamId member, std::uint32_t slots)
    -> double;

/// Hash of `member` for `key`; among members of equal slots it orders as the score does, at less
/// than half of its cost.
[[nodiscard]] auto rendezvousHash(std::uint64_t key, UpstreamId member) -> std::uint64_t;

/// All members, best score first; ties go to the smaller id.
[[nodiscard]] auto rendezvousOrder(std::uint64_t key, const std::vector<settings::Member> &members)
    -> std::vector<UpstreamId>;

/// First of `rendezvousOrder`; 0 for an empty list.
[[nodiscard]] auto rendezvousOwner(std::uint64_t key, const std::vector<settings::Member> &members)
    -> UpstreamId;

} // namespace applehatch::core
