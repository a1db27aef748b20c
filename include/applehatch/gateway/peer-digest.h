/// What routers tell one another, and its form on the wire.
#pragma once

#include "applehatch/direct/choice.h"
#include "applehatch/direct/load-book.h"
#include "applehatch/direct/registry-replica.h"
#include "applehatch/direct/suspects.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::gateway {

using core::Address;

/// Sent to each peer several times a second, in one datagram.
struct PeerDigest
{
    Address sender;
    std::uint64_t life = 0;     ///< Of the sending process.
    std::uint64_t sequence = 0; ///< Rises with each digest; an older one changes nothing.
    std::uint64_t revision = 0; ///< Of the registry, as far as the sender knows.
    bool leaving = false;
    std::vector<Address> members; ///< Routers that the sender heard of.
    std::vector<direct::PeerLoad> loads;
    std::vector<direct::CrashCount> crashes;
    std::vector<direct::ContextPlace> contexts; ///< Used a moment ago.
};

[[nodiscard]] auto encodeDigest(const PeerDigest &digest) -> std::string;
/// None for anything that is no digest.
[[nodiscard]] auto decodeDigest(std::string_view bytes) -> std::optional<PeerDigest>;

[[nodiscard]] auto encodeSnapshot(const direct::RegistrySnapshot &snapshot) -> std::string;
[[nodiscard]] auto decodeSnapshot(std::string_view bytes)
    -> std::optional<direct::RegistrySnapshot>;

} // namespace applehatch::gateway
