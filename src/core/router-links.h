/// What a router knows of its connections to sidecars.
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

/// The connection to one sidecar, and the requests that depend on it. What is concluded from its
/// silence goes by the listening clock.
struct Link
{
    LinkPhase phase = LinkPhase::Closed;
    Incarnation incarnation = 0;
    Instant sidecarClock; ///< The sidecar's last reading.
    Instant clockReadAt;  ///< When that reading was received.
    Instant openedAt;     ///< Since when it is opening; listening clock.
    Instant quietSince;   ///< Last message, or when something became outstanding; the same clock.
    Instant probedAt;     ///< Last heartbeat sent; the same clock.
    std::optional<Instant> failedAt;
    std::optional<Instant> leavingAt; ///< When it last refused because it is leaving.
    std::set<RequestId> exchanges;
    std::vector<Revoke> unwanted; ///< Attempts given up while the link was down.

    /// The reading of the sidecar's clock that corresponds to `instant` of ours.
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

inline constexpr Duration probeAfter = 1s;  ///< Quiet this long, it is asked; then each such time.
inline constexpr Duration silence = 4s;     ///< Without a message this long, a link is dead.
inline constexpr Duration openTimeout = 2s; ///< An answer to a connection attempt.
inline constexpr Duration failureMemory = 3s; ///< How long a failed link is passed over.
inline constexpr Duration leavingMemory = 5s; ///< Until digests say so as well.
inline constexpr Duration clockDoubt = 1s;    ///< Clocks that differ by more are compared anew.
inline constexpr std::size_t unwantedLimit = 1000;

} // namespace links

using LinkTable = std::unordered_map<UpstreamId, Link>;

} // namespace applehatch::core
