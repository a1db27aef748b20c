// Attempts at upstreams: sending a request, and what follows when an attempt fails.
#include "applehatch/gateway/exchange.h"

#include "applehatch/core/log-line.h"
#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

using core::ErrorKind;
using core::Failure;
using core::Run;
using direct::Outcome;
using direct::RouteKind;

auto Exchange::startAttempt() -> bool
{
    chooseVersion();
    auto chosen = environment_.dispatcher->choose(permit_, demand_, telemetry::steadyNow());
    if (auto *refused = std::get_if<Failure>(&chosen)) {
        refusal_ = std::move(*refused);
        return false;
    }
    attempt_ = Attempt();
    attempt_.kept = ByteShare(*environment_.answers);
    attempt_.choice = std::get<direct::Choice>(std::move(chosen));
    demand_.tried.push_back(attempt_.choice.upstream.id);
    report_.upstream = attempt_.choice.upstream.instance;
    report_.version = attempt_.choice.upstream.version;
    report_.upstreamLoad = attempt_.choice.load;
    report_.usable = attempt_.choice.usable;
    report_.heldContext = attempt_.choice.holdsContext;
    report_.unreadTokens = attempt_.choice.unreadTokens;
    const auto &from = attempt_.choice.fetchFrom;
    report_.fetchedFrom = from ? from->ip + ':' + std::to_string(from->port) : std::string();
    const auto &address = attempt_.choice.upstream.address;
    if (const auto idle = environment_.pool->takeIdle(address)) {
        useConnection(idle);
        return true;
    }
    environment_.pool->open(address, [self = shared_from_this()](const auto &connection) {
        self->useConnection(connection);
    });
    return true;
}

auto Exchange::retry(const std::string &why) -> bool
{
    const auto mayTry = timeLeft() > Duration(0) && sent_ < permit_.route->attempts;
    if (!mayTry
        || !environment_.dispatcher->hasUntriedUpstream(permit_, demand_, telemetry::steadyNow()))
        return false;
    if (const auto refused = attemptRefusal()) {
        environment_.note(id_, "retry-denied", refused->detail);
        return false;
    }
    if (mayHaveRun_
        && !environment_.dispatcher->mayRepeat(permit_, sinceFirstSent(), telemetry::steadyNow())) {
        environment_.note(id_, "retry-gave-way", "others are refused: " + why);
        return false;
    }
    if (!environment_.dispatcher->takeRetry(permit_, telemetry::steadyNow())) {
        environment_.note(id_, "retry-denied", "retry budget exhausted: " + why);
        return false;
    }
    environment_.note(id_, "retried", attempt_.choice.upstream.instance + ": " + why);
    events_.dropPartial();
    report_.resumed = phase_ == Phase::Relaying;
    return startAttempt();
}

auto Exchange::answerAfterLastAttempt() -> void
{
    if (phase_ == Phase::Relaying)
        return finish("broken-off", refusal_.detail);
    // The caller is told "not run" only if that is certain.
    if (mayHaveRun_)
        return answerFailure({ErrorKind::UpstreamFailed, Run::Unknown, refusal_.detail, {}});
    answerFailure(refusal_);
}

auto Exchange::useConnection(const UpstreamConnectionPtr &connection) -> void
{
    if (phase_ == Phase::Ended) {
        if (connection)
            environment_.pool->release(attempt_.choice.upstream.address, connection);
        return;
    }
    const auto now = telemetry::steadyNow();
    if (connection) {
        // Opening a connection may have taken the time that was left.
        if (auto refused = attemptRefusal()) {
            environment_.pool->release(attempt_.choice.upstream.address, connection);
            refusal_ = std::move(*refused);
            return answerAfterLastAttempt();
        }
        // Others may have crashed upstreams, or a copy may have been sent, since the choice.
        if (auto refused = environment_.dispatcher->crashRefusal(demand_, now)) {
            environment_.pool->release(attempt_.choice.upstream.address, connection);
            refusal_ = std::move(*refused);
            return answerAfterLastAttempt();
        }
    }
    if (connection
        && environment_.dispatcher->acceptsNewRequests(attempt_.choice.upstream.id, now)) {
        attempt_.connection = connection;
        return sendRequest();
    }
    if (connection) {
        // The upstream was removed, or asked for rest, while the connection was being opened.
        // Nothing was sent yet.
        environment_.pool->release(attempt_.choice.upstream.address, connection);
        environment_.note(id_, "upstream-left", attempt_.choice.upstream.instance);
        if (!startAttempt())
            answerAfterLastAttempt();
        return;
    }
    noteOutcome(Outcome::Unreachable);
    environment_.pool->drop(attempt_.choice.upstream.address);
    environment_.note(id_, "upstream-unreachable", attempt_.choice.upstream.instance);
    ++connectFailures_;
    if (connectFailures_ < maxConnectFailures && startAttempt())
        return;
    const auto wait = environment_.dispatcher->retryAfter();
    refusal_ = {ErrorKind::NoUpstream, Run::NotRun, "could not connect to any upstream", wait};
    answerAfterLastAttempt();
}

auto Exchange::sendRequest() -> void
{
    ++sent_;
    attempt_.sent = true;
    attempt_.sentAt = telemetry::steadyNow();
    environment_.dispatcher->noteSent(attempt_.choice.upstream.id, demand_, attempt_.sentAt);
    environment_.dispatcher->noteAdmissionStart(permit_);
    attempt_.unreadTokens = attempt_.choice.unreadTokens;
    environment_.dispatcher->backlog().noteSent(attempt_.choice.upstream.id, attempt_.unreadTokens);
    noteStreamSent();
    AnswerHooks hooks;
    const auto self = shared_from_this();
    hooks.head = [self](ResponseHead &head) { self->onHead(head); };
    hooks.body = [self](std::string_view bytes) { self->onBody(bytes); };
    hooks.done = [self] { self->onDone(); };
    hooks.failed = [self](const std::string &why) { self->onFailed(why); };
    WireRequest wire;
    wire.isHead = request_.method == "HEAD";
    wire.text = upstreamText();
    if (isLastAttempt())
        wire.kept = dropRequest(wire.text.size());
    wire.idHeader = id_.empty() ? std::string() : environment_.vocabulary->requestId;
    wire.id = id_;
    startSilenceTimer();
    attempt_.connection->send(std::move(wire), std::move(hooks));
}

auto Exchange::dropRequest(std::size_t sentBytes) -> ByteShare
{
    request_.headers = {};
    std::string().swap(request_.body);
    auto kept = std::move(request_.kept);
    kept.resize(std::min(kept.bytes(), sentBytes));
    return kept;
}

auto Exchange::startSilenceTimer() -> void
{
    if (!mayRepeat())
        return;
    const auto &route = *permit_.route;
    const auto relaying = phase_ == Phase::Relaying && events_.events() > 0;
    const auto usual = relaying && route.maxEventGap > Duration(0)
        ? route.maxEventGap * silenceTimeoutInPauses
        : route.objective * silenceTimeoutInObjectives;
    const auto wait = std::clamp<Duration>(usual, minSilenceTimeout, maxSilenceTimeout);
    runSilenceTimer((wait - finalSilenceStep) / silenceSteps, silenceSteps);
}

// Splitting the timeout makes a stall of this process count as one step at most: after a stall the
// upstream's bytes are still unread, and with many sockets not all are read before expired timers
// run.
auto Exchange::runSilenceTimer(Duration step, int remainingSteps) -> void
{
    silenceTimer_.start(step, [self = shared_from_this(), step, remainingSteps] {
        if (remainingSteps > 1)
            return self->runSilenceTimer(step, remainingSteps - 1);
        self->silenceTimer_.start(finalSilenceStep, [self] { self->onSilent(); });
    });
}

auto Exchange::mayRepeat() const -> bool
{
    const auto &route = *permit_.route;
    return route.kind == RouteKind::Safe || (route.kind == RouteKind::Stream && route.resumable);
}

auto Exchange::noteOutcome(Outcome outcome) -> void
{
    environment_.dispatcher->noteOutcome(attempt_.choice.upstream.id, outcome,
                                         telemetry::steadyNow());
}

auto Exchange::onFailed(const std::string &why) -> void
{
    if (phase_ == Phase::Ended)
        return;
    const auto timedOut = why.find("timed out") != std::string::npos;
    noteOutcome(timedOut ? Outcome::Unreachable : Outcome::Broken);
    if (timedOut)
        environment_.pool->drop(attempt_.choice.upstream.address);
    environment_.note(id_, "upstream-broke", attempt_.choice.upstream.instance + ": " + why);
    noteBreak();
    closeAttempt(false);
    retryOrAnswer({ErrorKind::UpstreamFailed, Run::Unknown, why, {}});
}

auto Exchange::onSilent() -> void
{
    if (phase_ == Phase::Ended || !attempt_.sent)
        return;
    const auto canMove = sent_ < permit_.route->attempts && !attemptRefusal()
        && environment_.dispatcher->hasUntriedUpstream(permit_, demand_, telemetry::steadyNow());
    if (!canMove || !environment_.dispatcher->takeRetry(permit_, telemetry::steadyNow()))
        return; // The upstream may still answer.
    noteOutcome(Outcome::Failed);
    environment_.note(id_, "upstream-silent", attempt_.choice.upstream.instance);
    closeAttempt(false);
    mayHaveRun_ = true;
    events_.dropPartial();
    report_.resumed = phase_ == Phase::Relaying;
    if (!startAttempt())
        answerAfterLastAttempt();
}

auto Exchange::retryOrAnswer(const Failure &failure) -> void
{
    if (failure.run != Run::NotRun)
        mayHaveRun_ = true;
    if ((failure.run == Run::NotRun || mayRepeat()) && retry(failure.detail))
        return;
    refusal_ = failure;
    answerAfterLastAttempt();
}

auto Exchange::closeAttempt(bool keepConnection) -> void
{
    silenceTimer_.stop();
    endTimer_.stop();
    roomTimer_.stop();
    if (attempt_.sent)
        recordAttemptEnd();
    attempt_.sent = false;
    const auto connection = std::exchange(attempt_.connection, nullptr);
    if (!connection)
        return;
    if (keepConnection)
        environment_.pool->release(attempt_.choice.upstream.address, connection);
    else
        connection->abort();
}

auto Exchange::noteRead() -> void
{
    const auto tokens = std::exchange(attempt_.unreadTokens, 0);
    environment_.dispatcher->backlog().noteRead(attempt_.choice.upstream.id, tokens);
}

auto Exchange::recordAttemptEnd() -> void
{
    noteRead();
    const auto now = telemetry::steadyNow();
    std::optional<Duration> serviceTime;
    if (attempt_.served)
        serviceTime = std::max(Duration(0), now - attempt_.sentAt - attempt_.choice.expectedWait);
    environment_.dispatcher->noteDone(attempt_.choice.upstream.id, demand_);
    environment_.dispatcher->noteAdmissionEnd(permit_, serviceTime, now);
}

} // namespace applehatch::gateway
