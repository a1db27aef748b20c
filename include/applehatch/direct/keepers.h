/// Chooses the routers that keep a piece of knowledge for the fleet.
#pragma once

#include "applehatch/core/identity.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace applehatch::direct {

/// Number of routers that keep a piece of knowledge. All of them must end before it is lost.
inline constexpr std::size_t keeperCount = 3;

/// The routers among which keepers are chosen, prepared for many keys.
class KeeperChoice
{
public:
    explicit KeeperChoice(std::vector<core::Address> routers);

    /// Returns the `count` routers with the highest rendezvous hashes for `key`, highest first.
    /// Routers whose views of the fleet differ a little still agree on most of them.
    [[nodiscard]] auto keepersOf(std::uint64_t key, std::size_t count = keeperCount) const
        -> std::vector<core::Address>;

private:
    std::vector<core::Address> routers_;
    std::vector<std::string> names_; // Address and port of each.
};

/// The same for a single key.
[[nodiscard]] auto keepersOf(std::uint64_t key, std::vector<core::Address> routers,
                             std::size_t count = keeperCount) -> std::vector<core::Address>;

} // namespace applehatch::direct
