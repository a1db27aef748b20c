/// The contents of digests, and the load sums of other data centres.
#pragma once

#include "applehatch/core/crash-tracker.h"
#include "applehatch/core/load-table.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace applehatch::core {

/// The load sums of pools by data centre. Sums expire.
class PoolSums
{
public:
    /// Stores the sums that are newer than those stored.
    auto apply(const std::vector<PoolSum> &sums, Instant now) -> void;

    /// Returns the sums of `pool` in all data centres except `ownDataCenter`.
    [[nodiscard]] auto others(std::uint64_t pool, std::uint64_t ownDataCenter, Instant now) const
        -> std::vector<PoolSum>;

    auto expire(Instant now) -> void;

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; // Pool, data centre.

    std::map<Key, std::pair<PoolSum, Instant>> entries_;
};

/// The pool and the process for which a digest is composed.
struct GossipView
{
    const Pool &pool;
    UpstreamId self;
    std::string dataCenter;
    SettingsIndex settingsIndex;
    std::size_t bytes; ///< Maximum size of a digest datagram.
};

/// The recipient of a digest.
struct DigestRecipient
{
    bool isSameDataCenter = true;   ///< Others get only sums of large pools.
    std::size_t maxEntries = 1000;  ///< The datagram holds fewer than the default.
    std::vector<DigestEntry> known; ///< Entries in its request; only newer ones are returned.
};

/// Returns whether the entries of all members of the pool fit in one digest. Larger pools send only
/// sums to other data centres; otherwise the traffic between data centres would grow with the
/// product of their sizes.
[[nodiscard]] auto fitsOneDigest(const GossipView &view) -> bool;

/// Returns the total load of the pool's members in the sender's data centre.
[[nodiscard]] auto ownSum(const GossipView &view, const LoadTable &loads, Instant now) -> PoolSum;

/// Composes a digest with entries of the view's pool: the sender's own first, then newest first.
[[nodiscard]] auto composeDigest(const GossipView &view, const LoadTable &loads,
                                 const PoolSums &sums, const CrashTracker &crashes,
                                 const DigestRecipient &reader, Instant now) -> Digest;

/// Returns the pool's load from the entries of its members, plus the sums of data centres that have
/// no entry.
[[nodiscard]] auto wholePoolLoad(const GossipView &view, const LoadTable &loads,
                                 const PoolSums &sums, Instant now) -> PoolLoad;

/// Returns an upper bound of the packed size of `digest` in bytes.
[[nodiscard]] auto digestSize(const Digest &digest) -> std::size_t;

/// Limits the bytes per second of digest replies.
///
/// Every router queries a random sidecar each second. With many routers and few upstreams, reply
/// traffic would grow with the number of routers. Replies beyond the budget are not sent; the
/// router gets the load from another member or queries again.
class ReplyBudget
{
public:
    explicit ReplyBudget(std::size_t bytesPerSecond);

    /// Takes `bytes` from the budget; returns false if fewer are available.
    [[nodiscard]] auto spend(std::size_t bytes, Instant now) -> bool;

private:
    double bytesPerSecond_;
    double availableBytes_;
    Instant refilledAt_;
};

/// Returns up to `count` entries: that of `self` first, then the newest others.
[[nodiscard]] auto freshestFrom(UpstreamId self, const LoadTable &loads, std::size_t count,
                                Instant now) -> std::vector<DigestEntry>;

/// Returns up to `count` entries: serving members other than the view's own, lowest load per slot
/// first, and the own entry last.
[[nodiscard]] auto betterCandidates(const GossipView &view, const LoadTable &loads,
                                    std::size_t count, Instant now) -> std::vector<DigestEntry>;

} // namespace applehatch::core
