/// Load reports: what one process knows of the load of other processes and advertises to peers.
#pragma once

#include "applehatch/core/digest.h"
#include "applehatch/core/identity.h"

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

/// Random number generator of the decisions; seeded by the host so that a run can be repeated.
using Random = std::mt19937_64;

/// The load of one pool as known to one process.
struct PoolLoad
{
    std::uint32_t members = 0; ///< Serving members with a recent report.
    std::uint64_t load = 0;    ///< Running and waiting requests of these members.
    std::uint64_t slots = 0;
    std::uint64_t running = 0; ///< The part of `load` that is running.

    /// Load per slot; 0 for an empty pool.
    [[nodiscard]] auto mean() const -> double;
};

/// The maximum load that keeps an upstream with `slots` within `multiple` times its pool's mean
/// load per slot after one more request joins the pool; at least 1.
[[nodiscard]] auto loadBound(const PoolLoad &pool, std::uint32_t slots, double multiple)
    -> std::uint32_t;

/// Whether `candidate` is a later report than `stored`; both are about the same upstream.
[[nodiscard]] auto isNewer(const DigestEntry &candidate, const DigestEntry &stored) -> bool;

/// The newest known digest entry of each upstream, with expiry.
class LoadTable
{
public:
    /// Entries older than `lifetime` are ignored, in lookups and in the mean.
    explicit LoadTable(Duration lifetime = std::chrono::seconds(10));

    /// Stores the entries that are newer than those known (by incarnation, then version).
    /// Returns how many were stored.
    auto apply(const std::vector<DigestEntry> &entries, Instant now) -> std::size_t;

    /// The stored entry with its age brought up to `now`; none when unknown or expired.
    [[nodiscard]] auto find(UpstreamId upstream, Instant now) const -> std::optional<DigestEntry>;

    /// Sums the loads of the configured members of `pool` that are serving and have an entry.
    [[nodiscard]] auto poolLoad(const Pool &pool, Instant now) const -> PoolLoad;

    /// Up to `count` entries with the smallest age, newest first.
    [[nodiscard]] auto newestEntries(std::size_t count, Instant now) const
        -> std::vector<DigestEntry>;

    /// Up to `count` entries of the members of `pool`, newest first, without those for which
    /// `known` already has an entry as new.
    [[nodiscard]] auto newestEntriesOf(const Pool &pool, const std::vector<DigestEntry> &known,
                                       std::size_t count, Instant now) const
        -> std::vector<DigestEntry>;

    /// Drops expired entries.
    auto expire(Instant now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

private:
    struct StoredEntry
    {
        DigestEntry entry;
        Instant madeAt;
    };

    Duration lifetime_;
    std::unordered_map<UpstreamId, StoredEntry> entries_;
};

} // namespace applehatch::core
