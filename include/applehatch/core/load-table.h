/// The load plane: what one process knows of the load of others, and what it passes on.
#pragma once

#include "applehatch/core/digest.h"
#include "applehatch/core/identity.h"

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

/// Drawn from by decisions; seeded by the host so that a run can be repeated.
using Random = std::mt19937_64;

/// The load of one pool as far as one process has heard.
struct PoolLoad
{
    std::uint32_t members = 0; ///< Members heard from lately and able to take work.
    std::uint64_t load = 0;    ///< Running and waiting, summed.
    std::uint64_t slots = 0;
    std::uint64_t running = 0; ///< The part of `load` that is at the upstreams.

    /// Load per slot; 0 for an empty pool.
    [[nodiscard]] auto mean() const -> double;
};

/// The largest load that keeps an upstream with `slots` within `multiple` of its pool's mean after
/// one more request joins the pool; at least 1.
[[nodiscard]] auto loadBound(const PoolLoad &pool, std::uint32_t slots, double multiple)
    -> std::uint32_t;

/// Whether `candidate` tells of a later moment than `held`, both about one upstream.
[[nodiscard]] auto isNewer(const DigestEntry &candidate, const DigestEntry &held) -> bool;

/// Newest known entry of each upstream, with expiry.
class LoadTable
{
public:
    /// Entries older than `lifetime` no longer count towards a mean.
    explicit LoadTable(Duration lifetime = std::chrono::seconds(10));

    /// Takes entries that are newer than those held (by incarnation, then version).
    /// Returns how many were taken.
    auto apply(const std::vector<DigestEntry> &entries, Instant now) -> std::size_t;

    /// The held entry with its age brought up to `now`; none when unknown or expired.
    [[nodiscard]] auto find(UpstreamId upstream, Instant now) const -> std::optional<DigestEntry>;

    /// Sums the configured members of `pool` that are serving and heard from.
    [[nodiscard]] auto poolLoad(const Pool &pool, Instant now) const -> PoolLoad;

    /// The `count` most recently changed entries, newest first.
    [[nodiscard]] auto freshest(std::size_t count, Instant now) const -> std::vector<DigestEntry>;

    /// The same among the members of `pool`, without those that are no news to a reader who has
    /// `known`.
    [[nodiscard]] auto freshestOf(const Pool &pool, const std::vector<DigestEntry> &known,
                                  std::size_t count, Instant now) const -> std::vector<DigestEntry>;

    /// Drops expired entries.
    auto expire(Instant now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return held_.size(); }

private:
    struct Held
    {
        DigestEntry entry;
        Instant madeAt;
    };

    Duration lifetime_;
    std::unordered_map<UpstreamId, Held> held_;
};

} // namespace applehatch::core
