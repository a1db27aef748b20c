// Stop of the gateway process: which requests it still waits for, and when it ends.
#include "applehatch/gateway/gateway-host.h"

#include "gateway-log.h"

#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

using core::LogLine;
using telemetry::steadyNow;

namespace {

// A stopping process stays in rotation for about this long: the balancer checks readiness each
// second and removes a process after two failed checks, so requests keep arriving for up to three
// seconds.
constexpr Duration rotationTime = std::chrono::milliseconds(2500);
// Delay until idle connections are closed; earlier, a caller's request could cross the close.
constexpr Duration idleCloseDelay = std::chrono::milliseconds(2500);
// Minimum time from the stop request to the exit; after it the process exits once no request is in
// flight.
constexpr Duration minStopTime = std::chrono::milliseconds(3300);
// The process exits this long before the platform would kill it.
constexpr Duration killMargin = std::chrono::milliseconds(350);

} // namespace

auto GatewayHost::stop() -> void
{
    if (stopRequestedAt_)
        return;
    stopRequestedAt_ = steadyNow();
    callers_->retire(false);
    log(LogLine("stopping").add("inFlight", static_cast<std::int64_t>(exchanges_.size())));
}

auto GatewayHost::stopView(Instant now) const -> std::optional<StopView>
{
    const auto left = exitTimeLeft(now);
    if (!left)
        return std::nullopt;
    return StopView{*left, hasReadyPeer(now), now - *stopRequestedAt_ >= rotationTime};
}

auto GatewayHost::exitTimeLeft(Instant now) const -> std::optional<Duration>
{
    if (!stopRequestedAt_)
        return std::nullopt;
    return *stopRequestedAt_ + settings_.stopTimeout - killMargin - now;
}

auto GatewayHost::hasReadyPeer(Instant now) const -> bool
{
    const auto peers = mesh_.table().alive(now);
    return std::any_of(peers.begin(), peers.end(), [](const PeerRow &row) { return !row.leaving; });
}

auto GatewayHost::continueStop(Instant now) -> void
{
    const auto since = now - *stopRequestedAt_;
    if (since >= idleCloseDelay)
        callers_->retire(true);
    const auto isIdle = exchanges_.empty() && early_.empty() && callers_->unfinished() == 0;
    const auto outOfTime = *exitTimeLeft(now) <= Duration(0);
    if (!outOfTime && !(isIdle && since >= minStopTime))
        return;
    const auto inFlight = exchanges_.size() + early_.size();
    endRequests();
    log(LogLine("stopped")
            .add("inFlight", static_cast<std::int64_t>(inFlight))
            .add("unfinished", static_cast<std::int64_t>(callers_->unfinished())));
    loop_.stop();
}

auto GatewayHost::endRequests() -> void
{
    for (auto &early : std::exchange(early_, {})) {
        if (early.caller->isAwaitingAnswer())
            startExchange(early.caller, std::move(early.request));
    }
    for (const auto &[key, weak] : std::exchange(exchanges_, {})) {
        if (const auto exchange = weak.lock())
            exchange->endBeforeExit();
    }
}

} // namespace applehatch::gateway
