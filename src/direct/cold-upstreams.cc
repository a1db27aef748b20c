#include "applehatch/direct/cold-upstreams.h"

#include <algorithm>

namespace applehatch::direct {

auto ColdUpstreams::note(UpstreamId upstream, Instant until, Instant now) -> bool
{
    const auto before = warmAt(upstream, now);
    const auto latest = std::min(std::max(before, until), now + maxTime);
    if (latest <= now)
        return false;
    until_[upstream] = latest;
    return before <= now;
}

auto ColdUpstreams::isCold(UpstreamId upstream, Instant now) const -> bool
{
    return warmAt(upstream, now) > now;
}

auto ColdUpstreams::warmAt(UpstreamId upstream, Instant now) const -> Instant
{
    const auto found = until_.find(upstream);
    return found == until_.end() ? now : std::max(now, found->second);
}

} // namespace applehatch::direct
