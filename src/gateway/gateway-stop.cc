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
// From this time on idle connections are closed, each once it was not used for `quietTime`;
// earlier, a caller's request could cross the close.
constexpr Duration idleCloseDelay = std::chrono::milliseconds(2500);
constexpr Duration quietTime = std::chrono::milliseconds(2500);
// Minimum time from the stop request to the end; after it the process ends once nothing is left to
// answer. It does so while no other router is ready, too: the sooner it ends, the sooner it is
// back.
constexpr Duration minStopTime = std::chrono::milliseconds(3300);
// Requests end this long before the platform would kill the process, and the process itself this
// long before.
constexpr Duration killMargin = std::chrono::milliseconds(350);
constexpr Duration exitMargin = std::chrono::milliseconds(100);
// What comes once the process has stopped listening is taken if it ends within this time: nobody
// can connect meanwhile.
constexpr Duration lastAnswersTime = std::chrono::milliseconds(500);
// Callers get this long to read their last answers and to close their ends.
constexpr Duration lingerTime = std::chrono::milliseconds(100);
constexpr Duration closingInterval = std::chrono::milliseconds(10);
// A process that was held up looks at its sockets this often, at the least, before it ends.
constexpr int minClosingTurns = 3;

} // namespace

auto GatewayHost::stop() -> void
{
    if (stopRequestedAt_)
        return;
    stopRequestedAt_ = steadyNow();
    callers_->announceClose();
    log(LogLine("stopping").add("inFlight", static_cast<std::int64_t>(exchanges_.size())));
}

auto GatewayHost::stopView(Instant now) const -> std::optional<StopView>
{
    auto left = exitTimeLeft(now);
    if (!left)
        return std::nullopt;
    if (closingSince_)
        left = std::min(*left, *closingSince_ + lastAnswersTime - now);
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
    if (closingSince_)
        return;
    if (now - *stopRequestedAt_ >= idleCloseDelay)
        callers_->closeIdle(quietTime);
    if (*exitTimeLeft(now) <= Duration(0) || mayEndEarly(now))
        beginClosing(now);
}

auto GatewayHost::hasNothingToAnswer() -> bool
{
    return exchanges_.empty() && early_.empty() && callers_->unfinished() == 0
        && !callers_->hasUnread();
}

auto GatewayHost::mayEndEarly(Instant now) -> bool
{
    return now - *stopRequestedAt_ >= minStopTime && hasNothingToAnswer();
}

auto GatewayHost::beginClosing(Instant now) -> void
{
    closingSince_ = now;
    log(LogLine("closing")
            .add("inFlight", static_cast<std::int64_t>(exchanges_.size() + early_.size()))
            .add("connections", static_cast<std::int64_t>(callers_->connections()))
            .add("readyPeer", hasReadyPeer(now) ? 1 : 0)
            .add("leftMs", core::millisecondsOf(*exitTimeLeft(now))));
    callers_->stopListening();
    continueClosing(minClosingTurns);
}

auto GatewayHost::continueClosing(int minTurns) -> void
{
    const auto now = steadyNow();
    const auto left = *exitTimeLeft(now);
    // All ends as time runs out, what was read since then included.
    if (left <= Duration(0))
        endRequests();
    callers_->closeIdle(Duration(0));
    const auto mustEnd = left <= exitMargin - killMargin;
    const auto hasLingered = callers_->connections() == 0 || now - *closingSince_ >= lingerTime;
    if (minTurns <= 0 && (mustEnd || (hasLingered && hasNothingToAnswer())))
        return end();
    closing_.start(closingInterval, [this, minTurns] { continueClosing(minTurns - 1); });
}

auto GatewayHost::end() -> void
{
    const auto inFlight = exchanges_.size() + early_.size();
    const auto unfinished = callers_->unfinished();
    endRequests();
    callers_->refuseIncomplete();
    callers_->closeIdle(Duration(0));
    log(LogLine("stopped")
            .add("inFlight", static_cast<std::int64_t>(inFlight))
            .add("unfinished", static_cast<std::int64_t>(unfinished))
            .add("unread", callers_->hasUnread() ? 1 : 0)
            .add("connections", static_cast<std::int64_t>(callers_->connections())));
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
