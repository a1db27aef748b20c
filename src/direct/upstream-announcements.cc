#include "applehatch/direct/upstream-announcements.h"

namespace applehatch::direct {

auto UpstreamAnnouncements::noteRest(UpstreamId upstream, Instant until, Instant now) -> bool
{
    const auto known = restEnd(upstream, now);
    if (until <= now || (known && *known >= until))
        return false;
    restEnds_.put(upstream, until, until);
    return true;
}

auto UpstreamAnnouncements::restEnd(UpstreamId upstream, Instant now) const
    -> std::optional<Instant>
{
    const auto *end = restEnds_.find(upstream, now);
    return end == nullptr ? std::nullopt : std::optional(*end);
}

} // namespace applehatch::direct
