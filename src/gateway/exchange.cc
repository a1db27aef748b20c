#include "applehatch/gateway/exchange.h"

#include "status.h"

#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace applehatch::gateway {

using core::ErrorKind;
using core::Failure;
using core::Run;
using direct::Outcome;
using direct::RouteKind;

namespace {

auto parseMilliseconds(const std::string *text) -> std::optional<Duration>
{
    if (text == nullptr)
        return std::nullopt;
    double value = 0;
    const auto *end = text->data() + text->size();
    const auto [at, error] = std::from_chars(text->data(), end, value);
    constexpr double longest = 1e9; // 12 days; anything longer is no deadline.
    if (error != std::errc() || at != end || value < 0 || value > longest)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

auto secondsText(Duration duration) -> std::string
{
    std::array<char, 32> text{};
    const auto seconds = std::chrono::duration<double>(duration).count();
    std::snprintf(text.data(), text.size(), "%.2f", seconds);
    return text.data();
}

} // namespace

auto statusOf(const Failure &failure) -> int
{
    // Callers of direct upstreams know 503 as "not run, may come back", and nothing more.
    if (failure.kind == ErrorKind::CrashSuspect)
        return unavailable;
    return core::answerFor(failure.kind).status;
}

Exchange::Exchange(const ExchangeHost &host, CallerPtr caller, RequestMessage request)
    : host_(host)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , arrivedAt_(telemetry::steadyNow())
    , timeUp_(host.loop->get_executor())
    , silence_(host.loop->get_executor())
{ }

auto Exchange::run() -> void
{
    const auto *id = request_.headers.find(host_.vocabulary->requestId);
    id_ = id == nullptr ? std::string() : *id;
    caller_->onGone([self = shared_from_this()] { self->onCallerGone(); });
    std::optional<std::string> key;
    if (const auto *credentials = request_.headers.find("Authorization")) {
        const auto scheme = host_.vocabulary->keyScheme + ' ';
        const auto matches = equalsIgnoringCase(credentials->substr(0, scheme.size()), scheme);
        key = matches ? credentials->substr(scheme.size()) : std::string();
    }
    if (const auto &configuration = host_.dispatcher->configuration())
        report_.configurationVersion = configuration->version;
    auto admitted = host_.dispatcher->admit(request_.host(), request_.path(), key);
    if (const auto *refused = std::get_if<Failure>(&admitted))
        return answerFailure(*refused);
    permit_ = std::get<direct::Permit>(std::move(admitted));
    readTerms();
    host_.dispatcher->noteRequest(permit_, arrivedAt_);
    if (comesTooLate()) {
        const auto wait = host_.dispatcher->retryAfter();
        return answerFailure({ErrorKind::Draining, Run::NotRun, "process is stopping", wait});
    }
    timeUp_.start(left(), [self = shared_from_this()] { self->onTimeUp(); });
    if (!attempt())
        answerExhausted();
}

auto Exchange::comesTooLate() const -> bool
{
    const auto leftForStreams = host_.leftForStreams();
    return leftForStreams && permit_.route->kind == RouteKind::Stream
        && !host_.pace->endsWithin(mostTokens_, *leftForStreams);
}

auto Exchange::readTerms() -> void
{
    const auto told = parseMilliseconds(request_.headers.find(host_.vocabulary->deadline));
    const auto allowed =
        permit_.route->timeout > Duration(0) ? permit_.route->timeout : std::chrono::seconds(60);
    givenUpAt_ = arrivedAt_ + (told ? std::min(*told, allowed) : allowed);
    if (const auto *prompt = request_.headers.find(host_.vocabulary->prompt))
        demand_.prompt = host_.vocabulary->readPrompt(*prompt);
    if (!demand_.prompt.empty()) {
        const auto shared = direct::sharedContext(demand_.prompt);
        report_.context = shared.hash;
        report_.contextTokens = shared.tokens;
    }
    if (const auto *tokens = request_.headers.find(host_.vocabulary->tokens))
        mostTokens_ = host_.vocabulary->readMostTokens(*tokens);
    const auto *credentials = request_.headers.find("Authorization");
    auto asked = request_.method + ' ' + request_.target + '\n';
    asked += credentials == nullptr ? std::string() : *credentials;
    asked += '\n' + request_.body;
    demand_.fingerprint = core::stableHash(asked);
    report_.route = permit_.route->name;
    report_.service = permit_.serviceName;
    report_.customer = permit_.customer;
    report_.configurationVersion = permit_.configuration->version;
}

auto Exchange::left() const -> Duration
{
    return std::max(Duration(0), givenUpAt_ - telemetry::steadyNow());
}

auto Exchange::attempt() -> bool
{
    auto chosen = host_.dispatcher->choose(permit_, demand_, telemetry::steadyNow());
    if (auto *refused = std::get_if<Failure>(&chosen)) {
        refusal_ = std::move(*refused);
        return false;
    }
    now_ = Attempt();
    now_.choice = std::get<direct::Choice>(std::move(chosen));
    demand_.tried.push_back(now_.choice.upstream.id);
    report_.upstream = now_.choice.upstream.instance;
    report_.upstreamLoad = now_.choice.load;
    report_.usable = now_.choice.usable;
    report_.heldContext = now_.choice.heldContext;
    const auto &from = now_.choice.fetchFrom;
    report_.fetchedFrom = from ? from->ip + ':' + std::to_string(from->port) : std::string();
    host_.pool->acquire(now_.choice.upstream.address,
                        [self = shared_from_this()](const auto &connection, bool isNew) {
                            self->useConnection(connection, isNew);
                        });
    return true;
}

auto Exchange::attemptAgain(const std::string &why) -> bool
{
    const auto mayTry = left() > Duration(0) && sent_ < permit_.route->attempts;
    if (!mayTry || !host_.dispatcher->hasOther(permit_, demand_, telemetry::steadyNow()))
        return false;
    if (!host_.dispatcher->takeRetry(permit_, telemetry::steadyNow())) {
        host_.note(id_, "retry-denied", "budget spent: " + why);
        return false;
    }
    host_.note(id_, "retried", now_.choice.upstream.instance + ": " + why);
    events_.dropPartial();
    report_.resumed = phase_ == Phase::Relaying;
    return attempt();
}

auto Exchange::answerExhausted() -> void
{
    if (phase_ == Phase::Relaying)
        return finish("broken-off", refusal_.detail);
    // "Not run" is told only when it is certain.
    if (mayHaveRun_)
        return answerFailure({ErrorKind::UpstreamFailed, Run::Unknown, refusal_.detail, {}});
    answerFailure(refusal_);
}

auto Exchange::useConnection(const UpstreamConnectionPtr &connection, bool /*isNew*/) -> void
{
    if (phase_ == Phase::Ended) {
        if (connection)
            host_.pool->release(now_.choice.upstream.address, connection);
        return;
    }
    if (connection && host_.dispatcher->mayTake(now_.choice.upstream.id)) {
        now_.connection = connection;
        return sendRequest();
    }
    if (connection) {
        // Opening it took so long that the upstream has left meanwhile. Nothing was sent yet.
        host_.pool->release(now_.choice.upstream.address, connection);
        host_.note(id_, "upstream-left", now_.choice.upstream.instance);
        if (!attempt())
            answerExhausted();
        return;
    }
    noteOutcome(Outcome::Unreachable);
    host_.pool->drop(now_.choice.upstream.address);
    host_.note(id_, "upstream-unreachable", now_.choice.upstream.instance);
    ++connectFailures_;
    if (connectFailures_ < mostConnectFailures && attempt())
        return;
    const auto wait = host_.dispatcher->retryAfter();
    refusal_ = {ErrorKind::NoUpstream, Run::NotRun, "no upstream reached", wait};
    answerExhausted();
}

auto Exchange::sendRequest() -> void
{
    ++sent_;
    now_.sent = true;
    now_.sentAt = telemetry::steadyNow();
    host_.dispatcher->noteSent(now_.choice.upstream.id, demand_, now_.sentAt);
    host_.dispatcher->noteTaken(permit_);
    AnswerHooks hooks;
    const auto self = shared_from_this();
    hooks.head = [self](ResponseHead &head) { self->onHead(head); };
    hooks.body = [self](std::string_view bytes) { self->onBody(bytes); };
    hooks.done = [self] { self->onDone(); };
    hooks.failed = [self](const std::string &why) { self->onFailed(why); };
    WireRequest wire;
    wire.text = upstreamText();
    wire.idHeader = id_.empty() ? std::string() : host_.vocabulary->requestId;
    wire.id = id_;
    wire.toHead = request_.method == "HEAD";
    armSilence();
    now_.connection->send(std::move(wire), std::move(hooks));
}

auto Exchange::armSilence() -> void
{
    if (!mayRepeat())
        return;
    const auto &route = *permit_.route;
    const auto relaying = phase_ == Phase::Relaying && events_.events() > 0;
    const auto usual = relaying && route.eventPause > Duration(0)
        ? route.eventPause * silentAfterPauses
        : route.objective * silentAfterObjectives;
    const auto wait = std::clamp<Duration>(usual, silentAtLeast, silentAtMost);
    listenFor((wait - lastLook) / silentSteps, silentSteps);
}

// A hold-up of this process counts as one step at the most: the upstream's bytes lie unread then,
// and of many sockets not all are read before the timers that are due.
auto Exchange::listenFor(Duration step, int times) -> void
{
    silence_.start(step, [self = shared_from_this(), step, times] {
        if (times > 1)
            return self->listenFor(step, times - 1);
        self->silence_.start(lastLook, [self] { self->onSilent(); });
    });
}

auto Exchange::mayRepeat() const -> bool
{
    const auto &route = *permit_.route;
    return route.kind == RouteKind::Safe || (route.kind == RouteKind::Stream && route.resumable);
}

auto Exchange::noteOutcome(Outcome outcome) -> void
{
    host_.dispatcher->noteOutcome(now_.choice.upstream.id, outcome, telemetry::steadyNow());
}

auto Exchange::onFailed(const std::string &why) -> void
{
    if (phase_ == Phase::Ended)
        return;
    const auto timedOut = why.find("timed out") != std::string::npos;
    noteOutcome(timedOut ? Outcome::Unreachable : Outcome::Broken);
    if (timedOut)
        host_.pool->drop(now_.choice.upstream.address);
    if (!now_.head)
        host_.dispatcher->suspects().noteCrash(demand_.fingerprint, telemetry::steadyNow());
    host_.note(id_, "upstream-broke", now_.choice.upstream.instance + ": " + why);
    closeAttempt(false);
    tryAgainOr({ErrorKind::UpstreamFailed, Run::Unknown, why, {}});
}

auto Exchange::onSilent() -> void
{
    if (phase_ == Phase::Ended || !now_.sent)
        return;
    const auto canMove = sent_ < permit_.route->attempts
        && host_.dispatcher->hasOther(permit_, demand_, telemetry::steadyNow());
    if (!canMove || !host_.dispatcher->takeRetry(permit_, telemetry::steadyNow()))
        return; // It may still answer.
    noteOutcome(Outcome::Failed);
    host_.note(id_, "upstream-silent", now_.choice.upstream.instance);
    closeAttempt(false);
    mayHaveRun_ = true;
    events_.dropPartial();
    report_.resumed = phase_ == Phase::Relaying;
    if (!attempt())
        answerExhausted();
}

auto Exchange::tryAgainOr(const Failure &failure) -> void
{
    if (failure.run != Run::NotRun)
        mayHaveRun_ = true;
    if ((failure.run == Run::NotRun || mayRepeat()) && attemptAgain(failure.detail))
        return;
    refusal_ = failure;
    answerExhausted();
}

auto Exchange::closeAttempt(bool keepConnection) -> void
{
    silence_.stop();
    if (now_.sent)
        noteLeft();
    now_.sent = false;
    const auto connection = std::exchange(now_.connection, nullptr);
    if (!connection)
        return;
    if (keepConnection)
        host_.pool->release(now_.choice.upstream.address, connection);
    else
        connection->abort();
}

auto Exchange::noteLeft() -> void
{
    const auto now = telemetry::steadyNow();
    std::optional<Duration> held;
    if (now_.served)
        held = std::max(Duration(0), now - now_.sentAt - now_.choice.foreseenWait);
    host_.dispatcher->noteDone(now_.choice.upstream.id);
    host_.dispatcher->noteLeft(permit_, held, now);
}

auto Exchange::onCallerGone() -> void
{
    if (phase_ == Phase::Ended)
        return;
    const auto unheard =
        now_.sent && !now_.head && telemetry::steadyNow() - now_.sentAt > std::chrono::seconds(1);
    if (unheard)
        noteOutcome(Outcome::Failed);
    // The upstream stops working for nobody as soon as its connection closes.
    closeAttempt(false);
    finish("caller-left", "connection closed by the caller");
}

auto Exchange::onTimeUp() -> void
{
    if (phase_ == Phase::Ended)
        return;
    if (now_.sent && !now_.head)
        noteOutcome(Outcome::Failed);
    mayHaveRun_ = mayHaveRun_ || now_.sent;
    closeAttempt(false);
    if (phase_ == Phase::Relaying)
        return finish("broken-off", "time is up");
    const auto run = mayHaveRun_ ? Run::Unknown : Run::NotRun;
    answerFailure({ErrorKind::DeadlineExceeded, run, "time is up", std::nullopt});
}

auto Exchange::answerFailure(const Failure &failure) -> void
{
    closeAttempt(false);
    ResponseHead head;
    head.status = statusOf(failure);
    report_.status = head.status;
    auto comeBackAfter = failure.retryAfter;
    if (!comeBackAfter && failure.kind == ErrorKind::Overloaded)
        comeBackAfter = host_.dispatcher->returnTime(permit_, telemetry::steadyNow());
    if (comeBackAfter)
        head.headers.add("Retry-After", secondsText(*comeBackAfter));
    if (!id_.empty())
        head.headers.add(host_.vocabulary->requestId, id_);
    head.headers.add("Content-Type", "application/json");
    const auto &told = core::answerFor(failure.kind);
    const auto body = std::string("{\"kind\":\"") + std::string(told.name) + "\",\"run\":\""
        + std::string(core::runName(failure.run)) + "\"}";
    caller_->answer(std::move(head), body);
    finish("refused", std::string(told.name) + ": " + failure.detail);
}

auto Exchange::finish(const std::string &outcome, const std::string &reason) -> void
{
    if (phase_ == Phase::Ended)
        return;
    phase_ = Phase::Ended;
    timeUp_.stop();
    silence_.stop();
    if (outcome == "broken-off")
        caller_->breakOff();
    report_.requestId = id_;
    report_.outcome = outcome;
    report_.reason = reason;
    report_.sent = sent_;
    report_.took = telemetry::steadyNow() - arrivedAt_;
    host_.ended(report_);
}

} // namespace applehatch::gateway
