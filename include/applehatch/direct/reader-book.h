/// Which routers read the registry, by their own word.
#pragma once

#include "applehatch/core/identity.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace applehatch::direct {

using core::Address;
using core::Duration;
using core::Instant;

/// What a router says of its reading, heard directly or through others.
struct ReaderWord
{
    Address router;
    /// Rises each time that the router says so itself; nobody else raises it.
    std::uint64_t heartbeat = 0;
    std::uint64_t revision = 0; ///< That the router had then.
    Duration age{0};            ///< Since it said so, as far as the ages told add up.
};

/// A router's rank among those that may read the registry; it stays the same for its address.
[[nodiscard]] auto readerRank(const Address &router) -> std::uint64_t;

/// Tells routers that read from those that stopped, were killed or are out of reach; no clock, no
/// I/O.
///
/// Each router passes words on. A word with the heartbeat that is known already changes nothing,
/// however young it claims to be: the way of a word takes time that its age misses, and among many
/// ways the fastest would make an old word young again and again, so that the fleet believes for
/// seconds in a reader that is gone.
class ReaderBook
{
public:
    /// A reader not heard of for this long reads no more: three digests and the way of the news.
    static constexpr Duration trustedFor = std::chrono::milliseconds(800);
    /// A heartbeat is remembered for longer than any word of it can be under way.
    static constexpr Duration rememberedFor = 3 * trustedFor;

    /// `firstHeartbeat` is higher than any of an earlier process at this address.
    ReaderBook(Address self, std::uint64_t firstHeartbeat);

    /// This router reads.
    auto beat(Instant now) -> void;
    /// This router's own word; none when it has not read of late.
    [[nodiscard]] auto ownWord(std::uint64_t revision, Instant now) const
        -> std::optional<ReaderWord>;

    auto note(const ReaderWord &word, Instant now) -> void;
    /// The router itself says that it does not read.
    auto noteStopped(const Address &router) -> void;

    /// The other routers that read, youngest word first, with their ages as of now.
    [[nodiscard]] auto readers(Instant now) const -> std::vector<ReaderWord>;

private:
    struct Row
    {
        ReaderWord word;
        Instant beatAt;
        bool stopped = false;
    };

    [[nodiscard]] auto counts(const Row &row, Instant now) const -> bool;

    Address self_;
    std::uint64_t ownHeartbeat_;
    std::optional<Instant> ownBeatAt_;
    std::map<std::uint64_t, Row> rows_; // By rank.
};

} // namespace applehatch::direct
