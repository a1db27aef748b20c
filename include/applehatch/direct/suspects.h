/// Requests that were running when upstreams crashed.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstdint>
#include <vector>

namespace applehatch::direct {

using core::Fingerprint;

/// How many crashes a request shared, at this router and in the fleet.
struct CrashCount
{
    Fingerprint fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// Counts by fingerprint in how many crashes a request took part.
///
/// A request may crash every upstream that begins to run it. Its caller sends it again, to any
/// router, and upstream after upstream goes down for seconds. After `limit` crashes it is refused.
class Suspects
{
public:
    /// Two crashes may be chance when many upstreams go down together; three are not.
    static constexpr std::uint32_t limit = 3;
    static constexpr Duration lifetime = std::chrono::minutes(10);
    static constexpr std::size_t capacity = 4096;
    /// A datagram to a peer carries this many.
    static constexpr std::size_t told = 16;

    auto noteCrash(Fingerprint fingerprint, Instant now) -> void;
    /// It ran to its end: it crashes nothing.
    auto noteServed(Fingerprint fingerprint) -> void;
    auto notePeer(std::uint64_t peer, const std::vector<CrashCount> &counts, Instant now) -> void;

    [[nodiscard]] auto crashes(Fingerprint fingerprint, Instant now) const -> std::uint32_t;
    [[nodiscard]] auto isSuspect(Fingerprint fingerprint, Instant now) const -> bool
    {
        return crashes(fingerprint, now) >= limit;
    }
    /// Own counts for peers, newest first.
    [[nodiscard]] auto ownCounts(Instant now) const -> std::vector<CrashCount>;

private:
    core::ExpiringMap<std::uint32_t> own_{capacity};
    core::ExpiringMap<std::uint32_t> peers_{capacity}; // By hash of peer and fingerprint.
    core::ExpiringMap<std::vector<std::uint64_t>> tellers_{capacity}; // Peers by fingerprint.
};

} // namespace applehatch::direct
