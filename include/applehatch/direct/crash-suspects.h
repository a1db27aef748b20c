/// Tracks requests that were running when upstreams crashed.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstdint>
#include <vector>

namespace applehatch::direct {

using core::Fingerprint;

/// Number of upstream crashes during which a request was running.
struct CrashCount
{
    Fingerprint fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// Counts, by fingerprint, the upstream crashes during which a request was running.
///
/// A request may crash every upstream that begins to run it. Its caller sends it again, to any
/// router, and one upstream after another is down for seconds. After `crashLimit` crashes the
/// request is refused.
class CrashSuspects
{
public:
    /// Number of crashes after which a request is refused. Two may be coincidence when many
    /// upstreams fail together; three are not.
    static constexpr std::uint32_t crashLimit = 3;
    static constexpr Duration lifetime = std::chrono::minutes(10);
    static constexpr std::size_t capacity = 4096;
    /// Maximum number of counts in a datagram to a peer.
    static constexpr std::size_t maxReportedCounts = 16;

    auto noteCrash(Fingerprint fingerprint, Instant now) -> void;
    /// Clears this router's own count: a request that ran to completion crashes nothing.
    auto noteServed(Fingerprint fingerprint) -> void;
    auto notePeer(std::uint64_t peer, const std::vector<CrashCount> &counts, Instant now) -> void;

    [[nodiscard]] auto crashes(Fingerprint fingerprint, Instant now) const -> std::uint32_t;
    [[nodiscard]] auto isSuspect(Fingerprint fingerprint, Instant now) const -> bool
    {
        return crashes(fingerprint, now) >= crashLimit;
    }
    /// Returns this router's own counts to report to peers, newest first.
    [[nodiscard]] auto ownCounts(Instant now) const -> std::vector<CrashCount>;

private:
    core::ExpiringMap<std::uint32_t> ownCounts_{capacity};
    core::ExpiringMap<std::uint32_t> peerCounts_{
        capacity}; // Keyed by a hash of peer and fingerprint.
    core::ExpiringMap<std::vector<std::uint64_t>> reporters_{
        capacity}; // Peers that reported a fingerprint.
};

} // namespace applehatch::direct
