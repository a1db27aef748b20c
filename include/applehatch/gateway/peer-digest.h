/// Gossip digests and registry deltas exchanged between routers, and their encoding.
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

/// Gossip digest, sent to some peers several times a second in one datagram.
struct PeerDigest
{
    Address sender;
    std::uint64_t life = 0;     ///< Incarnation of the sending process.
    std::uint64_t sequence = 0; ///< Increases with each digest; older digests are ignored.
    std::uint64_t revision = 0; ///< Latest registry revision known to the sender.
    bool leaving = false;
    /// Set for a digest that is sent between the regular ones and reports only registry state. Its
    /// lists, except `readers`, are empty and carry no information.
    bool brief = false;
    /// Registry readers, including the sender if it is one.
    std::vector<direct::ReaderWord> readers;
    std::vector<Address> members; ///< Some of the routers known to the sender.
    std::vector<direct::PeerLoad> loads;
    std::vector<direct::CrashCount> crashes;
    std::vector<direct::ContextPlace> contexts; ///< Recently used contexts.
};

[[nodiscard]] auto encodeDigest(const PeerDigest &digest) -> std::string;
/// Returns none if `bytes` is not a valid digest.
[[nodiscard]] auto decodeDigest(std::string_view bytes) -> std::optional<PeerDigest>;

/// Encodes and compresses a registry delta.
[[nodiscard]] auto encodeNews(const direct::RegistryNews &delta) -> std::string;
/// Returns none if `bytes` is not a valid delta.
[[nodiscard]] auto decodeNews(std::string_view bytes) -> std::optional<direct::RegistryNews>;

} // namespace applehatch::gateway
