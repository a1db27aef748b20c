/// Gossip digests and registry deltas exchanged between routers, and their encoding.
#pragma once

#include "applehatch/direct/context-map.h"
#include "applehatch/direct/crash-suspects.h"
#include "applehatch/direct/load-tracker.h"
#include "applehatch/direct/part-suspects.h"
#include "applehatch/direct/reader-tracker.h"
#include "applehatch/direct/registry-replica.h"
#include "applehatch/direct/stream-versions.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::gateway {

using core::Address;
using core::Duration;

/// Gossip digest, sent to some peers several times a second in one datagram.
struct PeerDigest
{
    Address sender;
    std::uint64_t incarnation = 0; ///< Incarnation of the sending process.
    std::uint64_t sequence = 0;    ///< Increases with each digest; older digests are ignored.
    std::uint64_t revision = 0;    ///< Latest registry revision known to the sender.
    bool leaving = false;
    /// Set for a digest that is sent between the regular ones and reports only registry state. Its
    /// lists, except `readers` and those of a note, are empty and carry no information.
    bool brief = false;
    /// Set for a brief digest that also tells its receiver what it is to keep. That counts even if
    /// a newer digest of the sender came first.
    bool isNote = false;
    /// Registry readers, including the sender if it is one.
    std::vector<direct::ReaderStatus> readers;
    std::vector<Address> members; ///< Some of the routers known to the sender.
    std::vector<direct::PeerLoad> loads;
    std::vector<direct::CrashReport> crashes;
    std::vector<direct::PartReport> parts;
    std::vector<direct::StreamReport> streams; ///< Streams that the receiver is to keep.
    /// The services of which several versions serve, by the sender's own list.
    std::vector<direct::MixedService> mixedServices;
    /// For how long the sender has known all versions that served; 0 if it does not tell.
    Duration versionsAge{0};
    /// How far back the sender's memory of crashes reaches; 0 if it does not tell.
    Duration crashMemoryAge{0};
    std::vector<direct::ContextPlacement> contexts; ///< Recently used contexts.
};

[[nodiscard]] auto encodeDigest(const PeerDigest &digest) -> std::string;
/// Returns none if `bytes` is not a valid digest.
[[nodiscard]] auto decodeDigest(std::string_view bytes) -> std::optional<PeerDigest>;

[[nodiscard]] auto encodeCrashMemory(const direct::CrashMemory &memory) -> std::string;
/// Returns none if `bytes` is not a valid memory of crashes.
[[nodiscard]] auto decodeCrashMemory(std::string_view bytes) -> std::optional<direct::CrashMemory>;

using StreamReports = std::vector<direct::StreamReport>;
[[nodiscard]] auto encodeStreams(const StreamReports &streams) -> std::string;
/// Returns none if `bytes` is not a valid list of streams.
[[nodiscard]] auto decodeStreams(std::string_view bytes) -> std::optional<StreamReports>;

/// Encodes and compresses a registry delta.
[[nodiscard]] auto encodeDelta(const direct::RegistryDelta &delta) -> std::string;
/// Returns none if `bytes` is not a valid delta.
[[nodiscard]] auto decodeDelta(std::string_view bytes) -> std::optional<direct::RegistryDelta>;

} // namespace applehatch::gateway
