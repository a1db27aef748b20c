/// Tracks which requests were running when upstreams crashed, as a router learns it.
#pragma once

#include "applehatch/core/digest.h"

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

/// Crash notices by fingerprint, with expiry.
class CrashTable
{
public:
    static constexpr std::size_t maxFingerprints = 10000; ///< Maximum number of fingerprints kept.
    static constexpr Duration lifetime = std::chrono::minutes(10);
    static constexpr std::size_t suspectThreshold =
        2; ///< Crashed incarnations from which on a request is refused.

    auto apply(const std::vector<CrashNotice> &notices, Instant now) -> void;
    auto expire(Instant now) -> void;

    /// The incarnations in which `fingerprint` was running when the upstream crashed; each once.
    [[nodiscard]] auto incarnationsOf(Fingerprint fingerprint, Instant now) const
        -> std::vector<UpstreamIncarnation>;

    /// Marks `fingerprint` as a suspect because a sidecar reported it as one; its crash notices may
    /// not have arrived yet.
    auto markSuspect(Fingerprint fingerprint, Instant now) -> void;

    /// Whether crashes of two incarnations are known, or a sidecar reported `fingerprint` as a
    /// suspect.
    [[nodiscard]] auto isSuspect(Fingerprint fingerprint, Instant now) const -> bool;

    /// Up to `count` notices to pass on.
    [[nodiscard]] auto notices(std::size_t count, Instant now) const -> std::vector<CrashNotice>;

private:
    struct Entry
    {
        UpstreamIncarnation life;
        std::uint32_t sequence = 0;
        Instant expiresAt;
    };

    auto take(const CrashNotice &notice, Instant now) -> void;

    std::unordered_map<Fingerprint, std::vector<Entry>> entries_;
    std::unordered_map<Fingerprint, Instant> markedSuspects_; ///< Expiry of each mark.
};

} // namespace applehatch::core
