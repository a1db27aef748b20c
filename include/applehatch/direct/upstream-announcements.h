/// Tracks what upstreams say of themselves in their answers to this router.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstddef>
#include <optional>

namespace applehatch::direct {

/// The times for which upstreams want no requests from this router.
///
/// An upstream that refuses a request may ask for rest. Refusals keep its load low, which makes it
/// look attractive: without this, it would get more requests than the others.
class UpstreamAnnouncements
{
public:
    static constexpr std::size_t capacity = 4096;

    /// Records that `upstream` wants no requests until `until`. Returns whether its rest ends later
    /// than known before.
    auto noteRest(UpstreamId upstream, Instant until, Instant now) -> bool;
    /// Returns when the rest of `upstream` ends; none if it takes requests.
    [[nodiscard]] auto restEnd(UpstreamId upstream, Instant now) const -> std::optional<Instant>;

private:
    core::ExpiringMap<Instant> restEnds_{capacity};
};

} // namespace applehatch::direct
