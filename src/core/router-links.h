/// State of a router's connections to sidecars.
#pragma once

#include "applehatch/core/message.h"

#include <chrono>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

enum class LinkPhase {
    Closed,
    Opening,
    Open,
};

/// The connection to one sidecar, and the requests that depend on it. Times used to detect silence
/// are on the listening clock.
struct Link
{
    LinkPhase phase = LinkPhase::Closed;
    Incarnation incarnation = 0;
    Instant sidecarClock; ///< The last known reading of the sidecar's clock.
    Instant clockReadAt;  ///< When that reading was received.
    Instant openedAt;     ///< When opening began; listening clock.
    Instant quietSince;   ///< Last message, or when a request became outstanding; listening clock.
    Instant probedAt;     ///< Last heartbeat sent; listening clock.
    std::optional<Instant> failedAt;
    std::optional<Instant> leavingAt; ///< When it last refused because it is leaving.
    std::set<RequestId> exchanges;
    std::vector<Revoke> pendingRevokes; ///< For attempts given up while the link was down.

    /// Converts `instant` from this process's clock to the sidecar's clock.
    [[nodiscard]] auto onSidecarClock(Instant instant) const -> Instant
    {
        return sidecarClock + (instant - clockReadAt);
    }

    auto readClock(Instant clock, Instant now) -> void
    {
        sidecarClock = clock;
        clockReadAt = now;
    }
};

namespace links {

using namespace std::chrono_literals;

inline constexpr Duration probeInterval =
    1s; ///< Silence before a probe, and the time between probes.
inline constexpr Duration silenceTimeout = 4s; ///< Without a message this long, a link is lost.
inline constexpr Duration openTimeout = 2s;    ///< For a connection attempt to succeed.
inline constexpr Duration failureLifetime =
    3s; ///< How long a member with a failed link is passed over.
inline constexpr Duration leavingLifetime = 5s; ///< Until digests report the member as leaving.
inline constexpr Duration maxClockSkew = 1s; ///< Clocks that may differ by more are compared again.
inline constexpr std::size_t maxPendingRevokes = 1000;

} // namespace links

using LinkTable = std::unordered_map<UpstreamId, Link>;

} // namespace applehatch::core
