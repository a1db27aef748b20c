// What a stopping process does with requests: which it still begins, and how it ends the last ones.
#include "applehatch/gateway/exchange.h"

#include "applehatch/telemetry/clock.h"

#include <utility>

namespace applehatch::gateway {

using core::ErrorKind;
using core::Failure;
using core::Run;
using direct::RouteKind;

namespace {

// Largest share of requests that may end without their answer for the sake of the others. A caller
// that is refused comes back a moment later, and is served if another router is ready; one whose
// request may have run must not send it again unless it may be repeated.
auto toleratedShare(bool mayRepeat, bool isPeerReady) -> double
{
    if (mayRepeat)
        return isPeerReady ? 0.05 : 0.25;
    return isPeerReady ? 0.01 : 0.05;
}

// The same for streams that reach a router after the balancer has noticed its stop: what their
// callers have of them is lost with the rest.
constexpr double toleratedCutStreams = 0.01;

// A stream that reaches a router just after it began to stop is refused if more than this share of
// the route's streams take longer than the process has left.
constexpr double toleratedLongStreams = 0.5;

} // namespace

auto Exchange::answerKind() const -> direct::AnswerKind
{
    return {permit_.route->name, permit_.serviceName, permit_.route->kind == RouteKind::Stream,
            maxTokens_};
}

auto Exchange::stopRefusal() const -> std::optional<Failure>
{
    const auto stop = environment_.stopView();
    if (!stop)
        return std::nullopt;
    if (permit_.route->kind != RouteKind::Stream)
        return lateRefusal(*stop);
    if (!stop->isOutOfRotation)
        return earlyStreamRefusal(*stop);
    // When routers are stopped one after another faster than they return, the balancer sends
    // callers to stopping routers. These then accept streams that they can still finish; while
    // another router is ready they accept none, so as to exit sooner.
    if (stop->isPeerReady)
        return stoppingFailure("another router is ready");
    return lateRefusal(*stop);
}

auto Exchange::attemptRefusal() const -> std::optional<Failure>
{
    const auto stop = environment_.stopView();
    if (!stop)
        return std::nullopt;
    const auto isStream = permit_.route->kind == RouteKind::Stream;
    if (isStream && (phase_ == Phase::Relaying || !stop->isOutOfRotation))
        return std::nullopt;
    return lateRefusal(*stop);
}

auto Exchange::earlyStreamRefusal(const StopView &stop) const -> std::optional<Failure>
{
    if (stop.exitTimeLeft <= Duration(0))
        return stoppingFailure("no time is left");
    // A caller that is refused now is served elsewhere; one whose stream is cut starts over.
    const auto longer =
        environment_.forecast->longerThan(answerKind(), stop.exitTimeLeft, telemetry::steadyNow());
    const auto known = static_cast<double>(longer.known);
    if (longer.known < direct::AnswerTimes::minKnown
        || static_cast<double>(longer.longer) <= toleratedLongStreams * known)
        return std::nullopt;
    return stoppingFailure(direct::tookLongerText(stop.exitTimeLeft, longer));
}

auto Exchange::lateRefusal(const StopView &stop) const -> std::optional<Failure>
{
    if (stop.exitTimeLeft <= Duration(0))
        return stoppingFailure("no time is left");
    const auto isStream = permit_.route->kind == RouteKind::Stream;
    if (!isStream && stop.exitTimeLeft >= timeLeft())
        return std::nullopt;
    const auto tolerated =
        isStream ? toleratedCutStreams : toleratedShare(mayRepeat(), stop.isPeerReady);
    const auto why = environment_.forecast->whyNotWithin(answerKind(), stop.exitTimeLeft, tolerated,
                                                         telemetry::steadyNow());
    if (!why)
        return std::nullopt;
    return stoppingFailure(*why);
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
    environment_.forecast->noteEnded(answerKind(), arrivedAt_, isWhole, telemetry::steadyNow());
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
