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

auto UpstreamAnnouncements::noteLeaving(UpstreamId upstream, Instant now) -> bool
{
    const auto isNew = !isLeaving(upstream, now);
    leavingSince_.put(upstream, now, now + leavingLifetime);
    return isNew;
}

auto UpstreamAnnouncements::isLeaving(UpstreamId upstream, Instant now) const -> bool
{
    return leavingSince_.find(upstream, now) != nullptr;
}

} // namespace applehatch::direct
