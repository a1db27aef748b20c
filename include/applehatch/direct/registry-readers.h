/// Which routers read the registry themselves.
#pragma once

#include "applehatch/core/identity.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace applehatch::direct {

using core::Duration;
using core::Instant;

/// Ranks of the other routers that were heard a moment ago.
struct HeardRanks
{
    std::vector<std::uint64_t> reading; ///< Those that read the registry, with success.
    std::vector<std::uint64_t> alive;   ///< All, whether they read or not.
};

/// Decides for one router whether it reads the registry or learns from the routers that do.
///
/// The registry takes a fixed number of calls a second from the whole fleet, and each change costs
/// every waiting router one. With a watch for each of 390 routers the registry would refuse most of
/// them. So `wanted` routers read, and tell the others. Each router decides for itself, by a rank
/// that is its own for life: it reads unless enough routers of lower rank were heard to read a
/// moment ago. A reader that dies, is cut off or is turned away stops being heard, and the next in
/// rank takes its place; a router that hears nobody reads.
class RegistryReaders
{
public:
    /// Two may fail at the same moment, one is left. Calls grow with it: 1.2 a second for three
    /// idle watches, whatever the fleet's size.
    static constexpr std::size_t wanted = 3;
    /// Enough readers of lower rank must be heard for this long before this router stops, which is
    /// two digests: each change of mind costs a call.
    static constexpr Duration stopsAfter = std::chrono::milliseconds(500);
    /// A router that has just started stops as soon as it hears them: it has not begun to watch.
    static constexpr Duration startsWithin = std::chrono::seconds(1);
    /// Each `wanted` routers of lower rank that are alive and may take a free place go first by
    /// this long. Without it all of a fleet read the whole registry at the same moment when its
    /// readers fail: 27 routers of a tenth of a core were held up for a quarter of a second each.
    static constexpr Duration startStep = std::chrono::milliseconds(150);
    /// At the most; a change must be in force within two seconds.
    static constexpr Duration longestDelay = std::chrono::milliseconds(1200);
    /// The part of the bound on a change that may pass without an answer of the registry to
    /// anybody. The rest is for the turn, the call and the way of the news.
    static constexpr double quietShare = 0.65;
    /// Three watches answer every 0.83 s, and the word of it takes up to 0.4 s. A shorter time
    /// would send all routers to the registry again and again.
    static constexpr Duration shortestQuiet = std::chrono::milliseconds(1250);
    /// The first watch of a turn waits no longer: its answer proves that the registry is there.
    static constexpr Duration proofWait = std::chrono::milliseconds(50);

    /// How long the registry may answer nobody before the next in rank read, when a change must be
    /// in force everywhere within `bound`.
    [[nodiscard]] static auto quietFor(Duration bound) -> Duration
    {
        return std::max(shortestQuiet, std::chrono::duration_cast<Duration>(bound * quietShare));
    }

    RegistryReaders(std::uint64_t ownRank, Instant startedAt)
        : ownRank_(ownRank)
        , startedAt_(startedAt)
    { }

    /// Takes what was heard; true when this router should read.
    auto decide(const HeardRanks &heard, Instant now) -> bool;
    [[nodiscard]] auto reads() const -> bool { return reads_; }
    /// Enough others read, and this router is about to stop: it need not tell what it reads.
    [[nodiscard]] auto isSpare() const -> bool { return spareSince_.has_value(); }
    /// How long routers of lower rank are given to take a free place first.
    [[nodiscard]] auto delay() const -> Duration { return delay_; }

private:
    [[nodiscard]] auto countLower(const std::vector<std::uint64_t> &ranks) const -> std::size_t;

    std::uint64_t ownRank_;
    Instant startedAt_;
    bool reads_ = true; // Nobody has been heard yet.
    Duration delay_{0};
    std::optional<Instant> spareSince_;
    std::optional<Instant>
        missingSince_; // Too few readers are heard, and this router does not read.
};

} // namespace applehatch::direct
