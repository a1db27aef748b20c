/// Which requests were running when upstreams died.
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
    static constexpr std::size_t limit = 10000; ///< Fingerprints kept.
    static constexpr Duration lifetime = std::chrono::minutes(10);
    static constexpr std::size_t suspectAt = 2; ///< Lives at which a request is refused.

    auto apply(const std::vector<CrashNotice> &notices, Instant now) -> void;
    auto expire(Instant now) -> void;

    /// The lives at which `fingerprint` was running when the upstream died; each once.
    [[nodiscard]] auto livesOf(Fingerprint fingerprint, Instant now) const
        -> std::vector<UpstreamLife>;

    /// Takes a sidecar's word that `fingerprint` is a suspect, whose notices may not have come yet.
    auto condemn(Fingerprint fingerprint, Instant now) -> void;

    /// Two lives are known, or a sidecar said so.
    [[nodiscard]] auto isSuspect(Fingerprint fingerprint, Instant now) const -> bool;

    /// Up to `count` notices to pass on.
    [[nodiscard]] auto notices(std::size_t count, Instant now) const -> std::vector<CrashNotice>;

private:
    struct Held
    {
        UpstreamLife life;
        std::uint32_t sequence = 0;
        Instant expiresAt;
    };

    auto take(const CrashNotice &notice, Instant now) -> void;

    std::unordered_map<Fingerprint, std::vector<Held>> held_;
    std::unordered_map<Fingerprint, Instant> condemned_; ///< Until when.
};

} // namespace applehatch::core
