/// What routers tell one another, and its form on the wire.
#pragma once

#include "applehatch/direct/context-map.h"
#include "applehatch/direct/load-book.h"
#include "applehatch/direct/reader-book.h"
#include "applehatch/direct/registry-replica.h"
#include "applehatch/direct/suspects.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::gateway {

using core::Address;

/// Sent to some peers several times a second, in one datagram.
struct PeerDigest
{
    Address sender;
    std::uint64_t life = 0;     ///< Of the sending process.
    std::uint64_t sequence = 0; ///< Rises with each digest; an older one changes nothing.
    std::uint64_t revision = 0; ///< Of the registry, as far as the sender knows.
    bool leaving = false;
    /// Tells only of the registry, at once after a change; the lists below are empty and say
    /// nothing.
    bool brief = false;
    std::vector<direct::ReaderWord> readers; ///< The sender among them, if it is one.
    std::vector<Address> members;            ///< Some of the routers that the sender heard of.
    std::vector<direct::PeerLoad> loads;
    std::vector<direct::CrashCount> crashes;
    std::vector<direct::ContextPlace> contexts; ///< Used a moment ago.
};

[[nodiscard]] auto encodeDigest(const PeerDigest &digest) -> std::string;
/// None for anything that is no digest.
[[nodiscard]] auto decodeDigest(std::string_view bytes) -> std::optional<PeerDigest>;

[[nodiscard]] auto encodeNews(const direct::RegistryNews &news) -> std::string;
[[nodiscard]] auto decodeNews(std::string_view bytes) -> std::optional<direct::RegistryNews>;

} // namespace applehatch::gateway
