/// Which routers read the registry, by their own word, and when it last answered one of them.
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
    /// Rises with each answer of the registry to that router; nobody else raises it.
    std::uint64_t heartbeat = 0;
    std::uint64_t revision = 0; ///< That the router had then.
    Duration age{0};            ///< Since that answer, as far as the ages told add up.
};

/// A router's rank among those that may read the registry; it stays the same for its address.
[[nodiscard]] auto readerRank(const Address &router) -> std::uint64_t;

/// Tells readers that the registry answers from those that only wait for it; no clock, no I/O.
///
/// A word counts by the registry's last answer, not by when it was heard: a reader that is cut off
/// in silence goes on sending words, and only their age shows it. A word with the heartbeat
/// that is known already changes nothing, however young it claims to be. Each router passes words
/// on, the way takes time, and among many ways the fastest would otherwise make an old word young
/// again and again, so that the fleet believes for seconds in a reader that is gone.
class ReaderBook
{
public:
    /// A watch waits for this long at the most, so an idle registry answers each reader so often.
    static constexpr Duration watchPeriod = std::chrono::milliseconds(2500);
    /// A reader counts for this long after its last answer: the longest watch, a slow answer and
    /// the way of its word.
    static constexpr Duration trustedFor = std::chrono::milliseconds(3300);
    /// A heartbeat is remembered for longer than any word of it can be under way.
    static constexpr Duration rememberedFor = 3 * trustedFor;

    /// `firstHeartbeat` is higher than any of an earlier process at this address, unless the time
    /// of day was set back.
    ReaderBook(Address self, std::uint64_t firstHeartbeat);

    /// The registry answered this router.
    auto beat(Instant now) -> void;
    /// This router's own word; none when the registry has not answered it of late.
    [[nodiscard]] auto ownWord(std::uint64_t revision, Instant now) const
        -> std::optional<ReaderWord>;

    auto note(const ReaderWord &word, Instant now) -> void;
    /// The router itself says that it does not read.
    auto noteStopped(const Address &router) -> void;
    /// Sets all readers aside when the registry has answered nobody for `limit`, as far as is
    /// heard; true then. They count again when it answers one of them.
    auto setAsideWhenQuiet(Duration limit, Instant now) -> bool;

    /// The other routers that read, lowest rank first, with their ages as of now.
    [[nodiscard]] auto readers(Instant now) const -> std::vector<ReaderWord>;
    /// What a digest tells: this router's own word, if it reads, and those of the lowest ranks.
    /// Every router decides by these alone: of the youngest words each of many readers would hear
    /// too few of lower rank, and read on.
    [[nodiscard]] auto told(std::optional<ReaderWord> own, Instant now) const
        -> std::vector<ReaderWord>;
    /// Since the youngest answer to anybody; none when no answer is known.
    [[nodiscard]] auto sinceAnswer(Instant now) const -> std::optional<Duration>;
    /// How long this router's next watch waits, so that the answers to the readers come evenly
    /// spread and the age of the youngest stays small at no more calls.
    [[nodiscard]] auto nextWatch(Instant now) const -> Duration;

private:
    struct Row
    {
        ReaderWord word;
        Instant beatAt;
        bool stopped = false;
    };

    [[nodiscard]] auto youngestAnswer() const -> std::optional<Instant>;
    [[nodiscard]] auto counts(const Row &row, Instant now) const -> bool;

    Address self_;
    std::uint64_t ownHeartbeat_;
    std::optional<Instant> ownBeatAt_;
    std::map<std::uint64_t, Row> rows_; // By rank.
    std::optional<Instant> quietSince_; // Readers whose last answer is no later are set aside.
};

} // namespace applehatch::direct
