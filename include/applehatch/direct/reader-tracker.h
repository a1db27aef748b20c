/// Tracks which routers read the registry, by their own reports, and when it last answered one of
/// them.
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

/// The state of a router that reads the registry, reported by itself or relayed by other routers.
struct ReaderStatus
{
    Address router;
    /// Increases with each answer of the registry to that router, which alone increments it.
    std::uint64_t heartbeat = 0;
    std::uint64_t revision = 0; ///< Registry revision that the router had when it reported.
    Duration age{0}; ///< Time since that answer, added up from the ages reported on the way.
};

/// Returns a router's rank among those that may read the registry; it depends only on its address.
/// Lower ranks read first.
[[nodiscard]] auto readerRank(const Address &router) -> std::uint64_t;

/// Distinguishes readers that the registry answers from those that only wait for an answer. Reads
/// no clock and does no I/O.
///
/// The age of a status counts from the registry's last answer, not from its arrival here: a reader
/// that is cut off without an error goes on sending its status, and only the age shows it. A status
/// whose heartbeat is already known does not change the age, however recent it claims to be.
/// Routers relay each status and relaying takes time; among many paths the fastest would otherwise
/// make an old status appear recent again and again, so that the fleet relies for seconds on a
/// reader that has died.
class ReaderTracker
{
public:
    /// Longest wait of a watch, and so the interval at which an idle registry answers each reader.
    static constexpr Duration watchTimeout = std::chrono::milliseconds(2500);
    /// Time for which a reader is trusted after its last answer: the longest watch, a slow answer
    /// and the propagation of its status.
    static constexpr Duration statusLifetime = std::chrono::milliseconds(3300);
    /// Time for which a heartbeat is remembered; longer than any status that carries it can be
    /// under way.
    static constexpr Duration heartbeatLifetime = 3 * statusLifetime;

    /// `firstHeartbeat` is higher than any heartbeat of an earlier process at this address, unless
    /// the time of day was set back.
    ReaderTracker(Address self, std::uint64_t firstHeartbeat);

    /// Records that the registry answered this router.
    auto noteAnswer(Instant now) -> void;
    /// Returns this router's own status; empty if the registry has not answered it recently.
    [[nodiscard]] auto ownStatus(std::uint64_t revision, Instant now) const
        -> std::optional<ReaderStatus>;

    auto note(const ReaderStatus &status, Instant now) -> void;
    /// Records that `router` itself reported that it does not read the registry.
    auto noteStopped(const Address &router) -> void;
    /// Stops trusting all readers if the registry has answered none of them for longer than
    /// `limit`, as far as is known here; returns true if so. They are trusted again once a later
    /// answer to one of them is known.
    auto distrustWhenSilent(Duration limit, Instant now) -> bool;

    /// Returns the other routers that read the registry, lowest rank first, with their current
    /// ages.
    [[nodiscard]] auto readers(Instant now) const -> std::vector<ReaderStatus>;
    /// Returns the statuses to report in a digest: this router's own if it reads, and those of the
    /// lowest ranks. Every router decides by the lowest ranks alone: if the most recent statuses
    /// were sent instead, each of many readers would hear of too few with lower ranks and would
    /// keep reading.
    [[nodiscard]] auto reportedStatuses(std::optional<ReaderStatus> own, Instant now) const
        -> std::vector<ReaderStatus>;
    /// Returns the time since the registry's latest answer to any router; empty if no answer is
    /// known.
    [[nodiscard]] auto timeSinceAnswer(Instant now) const -> std::optional<Duration>;
    /// Returns the timeout of this router's next watch. It spreads the answers to the readers
    /// evenly, so that the latest answer is always recent without additional calls.
    [[nodiscard]] auto nextWatchTimeout(Instant now) const -> Duration;

private:
    struct Entry
    {
        ReaderStatus status;
        Instant answeredAt;
        bool stopped = false;
    };

    [[nodiscard]] auto latestAnswer() const -> std::optional<Instant>;
    [[nodiscard]] auto isTrusted(const Entry &entry, Instant now) const -> bool;

    Address self_;
    std::uint64_t ownHeartbeat_;
    std::optional<Instant> ownAnsweredAt_;
    std::map<std::uint64_t, Entry> entries_; // Keyed by rank.
    std::optional<Instant> silentSince_;     // Readers without a later answer are not trusted.
};

} // namespace applehatch::direct
