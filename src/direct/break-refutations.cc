#include "applehatch/direct/break-refutations.h"

namespace applehatch::direct {

auto BreakRefutations::noteBreak(UpstreamId upstream, Instant at, Instant now) -> void
{
    const auto *known = unrefuted_.find(upstream, now);
    if (!isRefuted(upstream, at, now) && (known == nullptr || *known < at))
        unrefuted_.put(upstream, at, now + lifetime);
}

auto BreakRefutations::noteAnswered(UpstreamId upstream, Instant sentAt, Instant now) -> bool
{
    const auto *brokeAt = unrefuted_.find(upstream, now);
    if (brokeAt == nullptr || sentAt <= *brokeAt)
        return false;
    unrefuted_.erase(upstream);
    aliveAt_.put(upstream, sentAt, now + lifetime);
    return true;
}

auto BreakRefutations::hasBroken(UpstreamId upstream, Instant since, Instant now) const -> bool
{
    const auto *brokeAt = unrefuted_.find(upstream, now);
    return brokeAt != nullptr && *brokeAt >= since;
}

auto BreakRefutations::isRefuted(UpstreamId upstream, Instant at, Instant now) const -> bool
{
    const auto *alive = aliveAt_.find(upstream, now);
    return alive != nullptr && at < *alive;
}

} // namespace applehatch::direct
