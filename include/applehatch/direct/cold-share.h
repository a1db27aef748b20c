/// How many requests this router may send to an upstream that is cold.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace applehatch::direct {

/// Hash of a router's address.
using RouterId = std::uint64_t;

/// What a router knows of the fleet that it shares cold upstreams with.
struct FleetView
{
    std::vector<RouterId> others; ///< In ascending order.
    /// Whether `others` are likely all: the router has heard from each data centre for a while.
    bool isComplete = false;
    /// Number of routers to assume while `others` are not all.
    std::size_t assumedRouters = 1;

    auto operator==(const FleetView &other) const -> bool = default;
};

/// Divides the requests that a cold upstream bears among the routers of the fleet, without a
/// message.
///
/// An upstream that just started has the lowest load everywhere at once. If each router sent it
/// only a single request, 30 of them would exceed what it bears, and it would end. Here the routers
/// of the highest rendezvous hashes for an upstream may each send it one request in a second;
/// where the fleet is small, each router may send an equal number. A router that does not know all
/// others takes part if its hash is also as high as it must be in a fleet of the assumed size.
class ColdShare
{
public:
    /// Requests are counted over this period: the second that the bound is for, and some more for
    /// requests that are written late.
    static constexpr Duration window = std::chrono::milliseconds(1100);
    /// Share of the bound that the fleet uses. The rest covers two parts of a fleet that do not
    /// know each other, and a router that was restarted and does not know what it sent before.
    static constexpr double usedShare = 0.5;

    /// A process that just started sends nothing for one window: an earlier one at its address may
    /// have sent its share.
    ColdShare(RouterId self, Instant startedAt)
        : self_(self)
        , quietUntil_(startedAt + window)
    { }

    auto setFleet(FleetView fleet) -> void;

    /// Number of requests in one window that this router may send to `upstream`, of which the whole
    /// fleet may send `bound` in a second.
    [[nodiscard]] auto perWindow(UpstreamId upstream, double bound) const -> std::uint32_t;
    /// Whether another request may be sent now.
    [[nodiscard]] auto hasLeft(UpstreamId upstream, double bound, Instant now) const -> bool;
    /// When another request may be sent; none if this router may send none at all.
    [[nodiscard]] auto nextAt(UpstreamId upstream, double bound, Instant now) const
        -> std::optional<Instant>;
    auto noteSent(UpstreamId upstream, Instant now) -> void;
    auto forget(UpstreamId upstream) -> void;

private:
    /// Number of other routers whose hash for the upstream is higher.
    [[nodiscard]] auto routersAhead(UpstreamId upstream) const -> std::size_t;

    RouterId self_;
    Instant quietUntil_;
    FleetView fleet_;
    // By upstream, until the fleet changes: counting them for each cold upstream at each choice
    // would take 390 x 730 hashes.
    mutable std::unordered_map<UpstreamId, std::size_t> routersAhead_;
    std::unordered_map<UpstreamId, std::deque<Instant>> sent_; // Within the last window.
};

} // namespace applehatch::direct
