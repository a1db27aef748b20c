// What a stopping process does with requests: which it still begins, and how it ends the last ones.
#include "applehatch/gateway/exchange.h"

#include "applehatch/core/log-line.h"
#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

using core::ErrorKind;
using core::Failure;
using core::Run;
using direct::RouteKind;

namespace {

// Upstreams may slow down by this factor while other routers and upstreams are replaced.
constexpr double slowdownMargin = 1.5;
// What the answer's way back takes, besides.
constexpr Duration answerMargin = std::chrono::milliseconds(100);

// Largest share of requests that may end without their answer for the sake of the others. A caller
// that is refused comes back a moment later, and is served if another router is ready; one whose
// request may have run must not send it again unless it may be repeated.
auto toleratedShare(bool mayRepeat, bool isPeerReady) -> double
{
    if (mayRepeat)
        return isPeerReady ? 0.05 : 0.25;
    return isPeerReady ? 0.01 : 0.05;
}

// A stream that reaches a router just after it began to stop is refused if more than this share of
// the route's streams take longer than the process has left.
constexpr double toleratedLongStreams = 0.5;

auto shareOf(const direct::LongerShare &share) -> double
{
    return static_cast<double>(share.longer)
        / static_cast<double>(std::max<std::size_t>(share.known, 1));
}

auto tookLongerText(const StopView &stop, const direct::LongerShare &longer) -> std::string
{
    return core::millisecondsText(stop.exitTimeLeft) + " left, " + std::to_string(longer.longer)
        + " of " + std::to_string(longer.known) + " known took longer";
}

} // namespace

auto Exchange::stopRefusal() const -> std::optional<Failure>
{
    const auto stop = environment_.stopView();
    if (!stop)
        return std::nullopt;
    return permit_.route->kind == RouteKind::Stream ? streamStopRefusal(*stop)
                                                    : plainStopRefusal(*stop);
}

auto Exchange::attemptRefusal() const -> std::optional<Failure>
{
    return permit_.route->kind == RouteKind::Stream ? std::nullopt : stopRefusal();
}

auto Exchange::knownLongerThan(Duration limit) const -> direct::LongerShare
{
    return environment_.answerTimes->longerThan(permit_.route->name, permit_.serviceName, limit,
                                                telemetry::steadyNow());
}

auto Exchange::plainStopRefusal(const StopView &stop) const -> std::optional<Failure>
{
    if (stop.exitTimeLeft >= timeLeft())
        return std::nullopt;
    const auto usable =
        std::chrono::duration_cast<Duration>((stop.exitTimeLeft - answerMargin) / slowdownMargin);
    const auto longer = knownLongerThan(usable);
    const auto isKnown = longer.known >= direct::AnswerTimes::minKnown;
    if (isKnown && shareOf(longer) <= toleratedShare(mayRepeat(), stop.isPeerReady))
        return std::nullopt;
    return stoppingFailure(tookLongerText(stop, longer));
}

auto Exchange::streamStopRefusal(const StopView &stop) const -> std::optional<Failure>
{
    if (!stop.isOutOfRotation) {
        // A caller that is refused now is served elsewhere; one whose stream is cut starts over.
        const auto longer = knownLongerThan(stop.exitTimeLeft);
        if (longer.known < direct::AnswerTimes::minKnown || shareOf(longer) <= toleratedLongStreams)
            return std::nullopt;
        return stoppingFailure(tookLongerText(stop, longer));
    }
    // When routers are stopped one after another faster than they return, the balancer sends
    // callers to stopping routers. These then accept streams that they can still finish; while
    // another router is ready they accept none, so as to exit sooner.
    if (stop.isPeerReady)
        return stoppingFailure("another router is ready");
    if (environment_.pace->endsWithin(maxTokens_, stop.exitTimeLeft))
        return std::nullopt;
    return stoppingFailure(core::millisecondsText(stop.exitTimeLeft) + " left for "
                           + std::to_string(maxTokens_) + " tokens");
}

auto Exchange::stoppingFailure(const std::string &why) const -> Failure
{
    return {ErrorKind::Draining, Run::NotRun, "process is stopping: " + why,
            environment_.dispatcher->retryAfter()};
}

auto Exchange::noteAnswerTime(bool isWhole) -> void
{
    if (!std::exchange(isTimed_, false))
        return;
    environment_.answerTimes->noteEnded(permit_.route->name, permit_.serviceName, arrivedAt_,
                                        isWhole, telemetry::steadyNow());
}

auto Exchange::endBeforeExit() -> void
{
    if (phase_ == Phase::Ended)
        return;
    constexpr auto why = "process ends";
    mayHaveRun_ = mayHaveRun_ || attempt_.sent;
    closeAttempt(false);
    if (phase_ == Phase::Relaying)
        return finish("broken-off", why);
    if (!mayHaveRun_)
        return answerFailure(stoppingFailure(why));
    answerFailure({ErrorKind::UpstreamFailed, Run::Unknown, why, std::nullopt});
}

} // namespace applehatch::gateway
