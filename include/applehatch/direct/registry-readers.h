/// Decides which routers read the registry themselves.
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

/// Ranks of the other routers that were heard recently.
struct PeerRanks
{
    std::vector<std::uint64_t> reading; ///< Routers that read the registry and get answers.
    std::vector<std::uint64_t> alive;   ///< All routers, whether they read or not.
};

/// Decides whether a router reads the registry itself or learns its contents from routers that do.
///
/// The registry accepts a fixed rate of calls from the whole fleet, and each change costs one call
/// per waiting router. With one watch per router, 390 routers would have most of their calls
/// refused. Therefore only `targetReaders` routers read the registry and pass its contents on to
/// the others. Each router decides for itself by a rank that never changes: it reads unless enough
/// routers of lower rank were recently heard to read. A reader that dies, is cut off or is refused
/// is no longer heard, and the next in rank takes its place; a router that hears no other reads.
class RegistryReaders
{
public:
    /// Number of readers: two may fail at the same time and one remains. The call rate is
    /// proportional to it: 1.2 calls a second for three idle watches, whatever the size of the
    /// fleet.
    static constexpr std::size_t targetReaders = 3;
    /// A router stops reading after enough readers of lower rank have been heard for this long,
    /// which is two digests; each change of the decision costs a call.
    static constexpr Duration stopDelay = std::chrono::milliseconds(500);
    /// A router that started less than this long ago stops as soon as it hears enough readers,
    /// because it has not begun to watch.
    static constexpr Duration startupPeriod = std::chrono::seconds(1);
    /// Delay before taking over as a reader, per `targetReaders` routers of lower rank that are
    /// alive and may take over first. Without it the whole fleet reads the entire registry at the
    /// same moment when its readers fail: 27 routers with a tenth of a core each stalled for a
    /// quarter of a second.
    static constexpr Duration takeoverStep = std::chrono::milliseconds(150);
    /// Maximum delay before taking over; a change must be in force within two seconds.
    static constexpr Duration maxTakeoverDelay = std::chrono::milliseconds(1200);
    /// Share of the time limit for a change that may pass without the registry answering any
    /// router. The rest is for the takeover delay, the call and the propagation of the change.
    static constexpr double silenceShare = 0.65;
    /// Lower limit of the silence that triggers a takeover. With three watches an answer arrives
    /// every 0.83 s, and its report takes up to 0.4 s. A shorter limit would make all routers call
    /// the registry again and again.
    static constexpr Duration minSilence = std::chrono::milliseconds(1250);
    /// Timeout of the first watch after this router begins to read; its answer proves that the
    /// registry is reachable.
    static constexpr Duration firstWatchTimeout = std::chrono::milliseconds(50);

    /// Returns how long the registry may answer no router before the next in rank reads, if a
    /// change must be in force everywhere within `bound`.
    [[nodiscard]] static auto maxSilence(Duration bound) -> Duration
    {
        return std::max(minSilence, std::chrono::duration_cast<Duration>(bound * silenceShare));
    }

    RegistryReaders(std::uint64_t ownRank, Instant startedAt)
        : ownRank_(ownRank)
        , startedAt_(startedAt)
    { }

    /// Updates the decision from the routers that were heard; returns true if this router should
    /// read.
    auto decide(const PeerRanks &heard, Instant now) -> bool;
    [[nodiscard]] auto reads() const -> bool { return reads_; }
    /// Whether enough others read and this router is about to stop, so that it need not report its
    /// reading.
    [[nodiscard]] auto isRedundant() const -> bool { return redundantSince_.has_value(); }
    /// Returns how long this router waits for routers of lower rank to take over first.
    [[nodiscard]] auto takeoverDelay() const -> Duration { return delay_; }

private:
    [[nodiscard]] auto countLower(const std::vector<std::uint64_t> &ranks) const -> std::size_t;

    std::uint64_t ownRank_;
    Instant startedAt_;
    bool reads_ = true; // No other router has been heard yet.
    Duration delay_{0};
    std::optional<Instant> redundantSince_;
    std::optional<Instant> shortageSince_; // Too few readers of lower rank heard since then.
};

} // namespace applehatch::direct
