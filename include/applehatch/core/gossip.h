/// What goes into one digest, and what is known of other data centres only as a sum.
#pragma once

#include "applehatch/core/crash-book.h"
#include "applehatch/core/load-table.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace applehatch::core {

/// Sums of pools by data centre, with expiry.
class PoolSums
{
public:
    /// Takes sums that are younger than those held.
    auto apply(const std::vector<PoolSum> &sums, Instant now) -> void;

    /// The sums of `pool` in all data centres but `ownDataCenter`.
    [[nodiscard]] auto others(std::uint64_t pool, std::uint64_t ownDataCenter, Instant now) const
        -> std::vector<PoolSum>;

    auto expire(Instant now) -> void;

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; // Pool, data centre.

    std::map<Key, std::pair<PoolSum, Instant>> held_;
};

/// Whose digest is made.
struct GossipView
{
    const Pool &pool;
    UpstreamId self;
    std::string dataCenter;
    SettingsIndex settingsIndex;
    std::size_t bytes; ///< Largest datagram.
};

/// Whom a digest is for.
struct DigestReader
{
    bool isNear = true;             ///< In the sender's data centre; else gets sums of large pools.
    std::size_t mostEntries = 1000; ///< The datagram holds fewer.
    std::vector<DigestEntry> known; ///< What it told when it asked; newer entries only go back.
};

/// Whether single entries of the whole pool fit one digest. Larger pools send only sums to other
/// data centres; else the traffic between them would grow with the product of their sizes.
[[nodiscard]] auto fitsOneDigest(const GossipView &view) -> bool;

/// The load of the pool's members in the sender's data centre.
[[nodiscard]] auto ownSum(const GossipView &view, const LoadTable &loads, Instant now) -> PoolSum;

/// A digest with entries of the view's pool: its own first, then newest first.
[[nodiscard]] auto composeDigest(const GossipView &view, const LoadTable &loads,
                                 const PoolSums &sums, const CrashBook &crashes,
                                 const DigestReader &reader, Instant now) -> Digest;

/// The pool's load from single entries, plus the sums of data centres without any.
[[nodiscard]] auto wholePoolLoad(const GossipView &view, const LoadTable &loads,
                                 const PoolSums &sums, Instant now) -> PoolLoad;

/// Upper limit of a digest's packed bytes.
[[nodiscard]] auto digestSize(const Digest &digest) -> std::size_t;

/// Bytes a second that replies to digests may take.
///
/// Every router asks a random sidecar each second. With many routers before few upstreams the
/// replies would grow with the routers' number; those beyond the budget are left out, and the
/// asker hears from another member or asks again.
class ReplyBudget
{
public:
    explicit ReplyBudget(std::size_t bytesPerSecond);

    /// False when the budget does not hold `bytes` more now.
    [[nodiscard]] auto spend(std::size_t bytes, Instant now) -> bool;

private:
    double perSecond_;
    double left_;
    Instant filledAt_;
};

/// Own entry first, then the freshest others.
[[nodiscard]] auto freshestFrom(UpstreamId self, const LoadTable &loads, std::size_t count,
                                Instant now) -> std::vector<DigestEntry>;

/// Serving members other than `self`, least loaded per slot first; own entry last.
[[nodiscard]] auto betterCandidates(const GossipView &view, const LoadTable &loads,
                                    std::size_t count, Instant now) -> std::vector<DigestEntry>;

} // namespace applehatch::core
