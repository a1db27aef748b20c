/// Tracks what upstreams say of themselves in their answers to this router.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstddef>
#include <optional>

namespace applehatch::direct {

/// The upstreams that want no requests from this router: for a time, or because they leave.
///
/// An upstream that refuses a request may ask for rest. Refusals keep its load low, which makes it
/// look attractive: without this, it would get more requests than the others. An upstream that
/// leaves says so in its answers, at times before its registry entry does, or only there; it is
/// remembered although its entry may lapse and be written again.
class UpstreamAnnouncements
{
public:
    static constexpr std::size_t capacity = 4096;

    /// Records that `upstream` wants no requests until `until`. Returns whether its rest ends later
    /// than known before.
    auto noteRest(UpstreamId upstream, Instant until, Instant now) -> bool;
    /// Returns when the rest of `upstream` ends; none if it takes requests.
    [[nodiscard]] auto restEnd(UpstreamId upstream, Instant now) const -> std::optional<Instant>;
    /// Records that `upstream` leaves. Returns whether that was not known.
    auto noteLeaving(UpstreamId upstream, Instant now) -> bool;
    [[nodiscard]] auto isLeaving(UpstreamId upstream, Instant now) const -> bool;

private:
    /// Far longer than an upstream takes to exit after it announced that.
    static constexpr Duration leavingLifetime = std::chrono::minutes(10);

    core::ExpiringMap<Instant> restEnds_{capacity};
    core::ExpiringMap<Instant> leavingSince_{capacity};
};

} // namespace applehatch::direct
