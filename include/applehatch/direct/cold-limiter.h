/// Limits the requests to upstreams that are cold.
#pragma once

#include "applehatch/direct/cold-share.h"
#include "applehatch/direct/cold-upstreams.h"
#include "applehatch/direct/directory.h"

#include <optional>
#include <string>
#include <utility>

namespace applehatch::direct {

/// How far beyond the rate of its service a cold upstream may be asked.
struct ColdTolerance
{
    double overrun = 1; ///< Factor on the requests a second of its service.
    double extra = 0;   ///< Requests beyond that.
};

/// An upstream that turned cold, for the log.
struct TurnedCold
{
    std::string instance;
    Duration left{0};
    bool wasEvacuated = false; ///< Assumed, as its data centre was just taken back.
};

/// Knows from registry entries and evacuations which upstreams are cold, and how many requests this
/// router may send them. A service that names no rate, or is not known, has no limit.
class ColdLimiter
{
public:
    ColdLimiter(RouterId self, Instant startedAt)
        : share_(self, startedAt)
    { }

    auto setTolerance(ColdTolerance tolerance) -> void { tolerance_ = tolerance; }
    auto setFleet(FleetView fleet) -> void { share_.setFleet(std::move(fleet)); }

    /// Takes over what a new registry entry tells. One that tells nothing counts as cold if the
    /// upstream just registered. Returns the upstream if it was believed warm and is cold.
    auto noteEntry(const Upstream &upstream, const Service *service, bool justRegistered,
                   Instant now) -> std::optional<TurnedCold>;
    /// Takes an upstream for cold whose data centre was taken back, as it may have become so just
    /// before. Returns it if it was believed warm.
    auto noteTakenBack(const Upstream &upstream, const Service *service, Instant now)
        -> std::optional<TurnedCold>;
    auto noteSent(UpstreamId upstream, Instant now) -> void;
    auto forget(UpstreamId upstream) -> void;

    /// When the upstream takes the next request of this router: `now` if it is warm, or cold with
    /// some of the share left.
    [[nodiscard]] auto nextAt(UpstreamId upstream, const Service *service, Instant now) const
        -> Instant;

private:
    /// Records that the upstream is cold for `left`.
    auto note(const Upstream &upstream, Duration left, Instant now) -> std::optional<TurnedCold>;

    ColdUpstreams upstreams_;
    ColdShare share_;
    ColdTolerance tolerance_;
};

} // namespace applehatch::direct
