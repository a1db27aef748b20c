#include "applehatch/direct/cold-limiter.h"

#include <algorithm>

namespace applehatch::direct {

namespace {

auto hasLimit(const Service *service) -> bool
{
    return service != nullptr && service->coldRequestsPerSecond > 0;
}

} // namespace

auto ColdLimiter::noteEntry(const Upstream &upstream, const Service *service, bool justRegistered,
                            Instant now) -> std::optional<TurnedCold>
{
    if (!hasLimit(service))
        return std::nullopt;
    const auto assumed = justRegistered ? service->coldTime : Duration(0);
    return note(upstream, upstream.coldLeft.value_or(assumed), now);
}

auto ColdLimiter::noteTakenBack(const Upstream &upstream, const Service *service, Instant now)
    -> std::optional<TurnedCold>
{
    if (!hasLimit(service))
        return std::nullopt;
    auto turned = note(upstream, service->coldTime, now);
    if (turned)
        turned->wasEvacuated = true;
    return turned;
}

auto ColdLimiter::note(const Upstream &upstream, Duration left, Instant now)
    -> std::optional<TurnedCold>
{
    const auto until = now + std::min(left, ColdUpstreams::maxTime);
    if (!upstreams_.note(upstream.id, until, now))
        return std::nullopt;
    return TurnedCold{upstream.instance, upstreams_.warmAt(upstream.id, now) - now};
}

auto ColdLimiter::noteSent(UpstreamId upstream, Instant now) -> void
{
    if (upstreams_.isCold(upstream, now))
        share_.noteSent(upstream, now);
}

auto ColdLimiter::forget(UpstreamId upstream) -> void
{
    upstreams_.forget(upstream);
    share_.forget(upstream);
}

auto ColdLimiter::nextAt(UpstreamId upstream, const Service *service, Instant now) const -> Instant
{
    const auto warmAt = upstreams_.warmAt(upstream, now);
    if (warmAt <= now || !hasLimit(service))
        return now;
    const auto bound = service->coldRequestsPerSecond * tolerance_.overrun + tolerance_.extra;
    return std::min(warmAt, share_.nextAt(upstream, bound, now).value_or(warmAt));
}

} // namespace applehatch::direct
