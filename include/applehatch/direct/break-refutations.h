/// Tells connections that broke from upstreams that crashed.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstddef>

namespace applehatch::direct {

/// Remembers which upstreams answered after they broke off a request.
///
/// Upstreams keep no identity over a restart, so one that answers a later request did not crash.
class BreakRefutations
{
public:
    static constexpr std::size_t capacity = 4096;
    static constexpr Duration lifetime = std::chrono::minutes(10);

    auto noteBreak(UpstreamId upstream, Instant at, Instant now) -> void;
    /// Records that `upstream` answered a request that was sent at `sentAt`. Returns whether this
    /// refutes any break.
    auto noteAnswered(UpstreamId upstream, Instant sentAt, Instant now) -> bool;
    /// Whether the upstream broke off a request at `since` or later, which nothing refuted.
    [[nodiscard]] auto hasBroken(UpstreamId upstream, Instant since, Instant now) const -> bool;
    /// Whether the upstream answered a request that was sent after its break at `at`.
    [[nodiscard]] auto isRefuted(UpstreamId upstream, Instant at, Instant now) const -> bool;

private:
    core::ExpiringMap<Instant> unrefuted_{capacity}; // The latest break of each upstream.
    core::ExpiringMap<Instant> aliveAt_{capacity};   // When an upstream was alive still.
};

} // namespace applehatch::direct
