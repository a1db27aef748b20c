#include "applehatch/gateway/exchange.h"

#include "status.h"

#include "applehatch/core/log-line.h"
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
    constexpr double maxMilliseconds = 1e9; // 12 days; a longer value is ignored.
    if (error != std::errc() || at != end || value < 0 || value > maxMilliseconds)
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
    // Callers of direct upstreams understand only 503, as "not run, may retry".
    if (failure.kind == ErrorKind::CrashSuspect)
        return unavailable;
    return core::answerFor(failure.kind).status;
}

Exchange::Exchange(const ExchangeEnvironment &environment, CallerPtr caller, RequestMessage request)
    : environment_(environment)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , arrivedAt_(telemetry::steadyNow())
    , deadlineTimer_(environment.loop->get_executor())
    , silenceTimer_(environment.loop->get_executor())
{ }

auto Exchange::run() -> void
{
    const auto *id = request_.headers.find(environment_.vocabulary->requestId);
    id_ = id == nullptr ? std::string() : *id;
    caller_->onDisconnected([self = shared_from_this()] { self->onCallerDisconnected(); });
    // After a stall many requests are read at once whose callers gave up meanwhile.
    if (caller_->hasLeft())
        return finish("caller-left", "connection closed before the request was read");
    std::optional<std::string> key;
    if (const auto *credentials = request_.headers.find("Authorization")) {
        const auto scheme = environment_.vocabulary->keyScheme + ' ';
        const auto matches = equalsIgnoringCase(credentials->substr(0, scheme.size()), scheme);
        key = matches ? credentials->substr(scheme.size()) : std::string();
    }
    if (const auto &configuration = environment_.dispatcher->configuration())
        report_.configurationVersion = configuration->version;
    auto admitted = environment_.dispatcher->admit(request_.host(), request_.path(), key);
    if (const auto *refused = std::get_if<Failure>(&admitted))
        return answerFailure(*refused);
    permit_ = std::get<direct::Permit>(std::move(admitted));
    readRequestOptions();
    environment_.dispatcher->noteRequest(permit_, arrivedAt_);
    if (cannotFinishBeforeStop()) {
        const auto wait = environment_.dispatcher->retryAfter();
        return answerFailure({ErrorKind::Draining, Run::NotRun, "process is stopping", wait});
    }
    deadlineTimer_.start(timeLeft(), [self = shared_from_this()] { self->onDeadline(); });
    if (!startAttempt())
        answerAfterLastAttempt();
}

auto Exchange::cannotFinishBeforeStop() const -> bool
{
    const auto streamTimeLeft = environment_.streamTimeLeft();
    return streamTimeLeft && permit_.route->kind == RouteKind::Stream
        && !environment_.pace->endsWithin(maxTokens_, *streamTimeLeft);
}

auto Exchange::readRequestOptions() -> void
{
    const auto requested =
        parseMilliseconds(request_.headers.find(environment_.vocabulary->deadline));
    const auto allowed =
        permit_.route->timeout > Duration(0) ? permit_.route->timeout : std::chrono::seconds(60);
    deadline_ = arrivedAt_ + (requested ? std::min(*requested, allowed) : allowed);
    if (const auto *prompt = request_.headers.find(environment_.vocabulary->prompt))
        demand_.prompt = environment_.vocabulary->readPrompt(*prompt);
    if (!demand_.prompt.empty()) {
        const auto shared = direct::sharedContext(demand_.prompt);
        report_.context = shared.hash;
        report_.contextTokens = shared.tokens;
    }
    if (const auto *tokens = request_.headers.find(environment_.vocabulary->tokens))
        maxTokens_ = environment_.vocabulary->readMaxTokens(*tokens);
    demand_.fingerprint = fingerprint();
    report_.route = permit_.route->name;
    report_.service = permit_.serviceName;
    report_.customer = permit_.customer;
    report_.configurationVersion = permit_.configuration->version;
}

auto Exchange::fingerprint() const -> core::Fingerprint
{
    // The customer, since a caller may come back with another of its keys.
    auto text = request_.method + ' ' + request_.target + '\n' + permit_.customer + '\n';
    const auto *credentials = request_.headers.find("Authorization");
    if (permit_.customer.empty() && credentials != nullptr)
        text += *credentials;
    return core::stableHash(text + '\n' + request_.body);
}

auto Exchange::timeLeft() const -> Duration
{
    return std::max(Duration(0), deadline_ - telemetry::steadyNow());
}

auto Exchange::startAttempt() -> bool
{
    auto chosen = environment_.dispatcher->choose(permit_, demand_, telemetry::steadyNow());
    if (auto *refused = std::get_if<Failure>(&chosen)) {
        refusal_ = std::move(*refused);
        return false;
    }
    attempt_ = Attempt();
    attempt_.choice = std::get<direct::Choice>(std::move(chosen));
    demand_.tried.push_back(attempt_.choice.upstream.id);
    report_.upstream = attempt_.choice.upstream.instance;
    report_.upstreamLoad = attempt_.choice.load;
    report_.usable = attempt_.choice.usable;
    report_.heldContext = attempt_.choice.holdsContext;
    const auto &from = attempt_.choice.fetchFrom;
    report_.fetchedFrom = from ? from->ip + ':' + std::to_string(from->port) : std::string();
    environment_.pool->acquire(attempt_.choice.upstream.address,
                               [self = shared_from_this()](const auto &connection, bool isNew) {
                                   self->useConnection(connection, isNew);
                               });
    return true;
}

auto Exchange::retry(const std::string &why) -> bool
{
    const auto mayTry = timeLeft() > Duration(0) && sent_ < permit_.route->attempts;
    if (!mayTry
        || !environment_.dispatcher->hasUntriedUpstream(permit_, demand_, telemetry::steadyNow()))
        return false;
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

auto Exchange::useConnection(const UpstreamConnectionPtr &connection, bool /*isNew*/) -> void
{
    if (phase_ == Phase::Ended) {
        if (connection)
            environment_.pool->release(attempt_.choice.upstream.address, connection);
        return;
    }
    if (connection
        && environment_.dispatcher->acceptsNewRequests(attempt_.choice.upstream.id,
                                                       telemetry::steadyNow())) {
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
    AnswerHooks hooks;
    const auto self = shared_from_this();
    hooks.head = [self](ResponseHead &head) { self->onHead(head); };
    hooks.body = [self](std::string_view bytes) { self->onBody(bytes); };
    hooks.done = [self] { self->onDone(); };
    hooks.failed = [self](const std::string &why) { self->onFailed(why); };
    WireRequest wire;
    wire.text = upstreamText();
    wire.idHeader = id_.empty() ? std::string() : environment_.vocabulary->requestId;
    wire.id = id_;
    wire.isHead = request_.method == "HEAD";
    startSilenceTimer();
    attempt_.connection->send(std::move(wire), std::move(hooks));
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

// Describes what is known of crashes under this request, for the log.
auto Exchange::crashText() const -> std::string
{
    const auto &suspects = environment_.dispatcher->suspects();
    return attempt_.choice.upstream.instance + ": fingerprint " + core::hexText(demand_.fingerprint)
        + ", crashes "
        + std::to_string(suspects.crashes(demand_.fingerprint, telemetry::steadyNow()));
}

// An upstream may crash at any moment of its answer, so a break after the head counts as well.
auto Exchange::noteBreak() -> void
{
    const auto counts = environment_.dispatcher->suspects().noteBreak(
        demand_.fingerprint, attempt_.choice.upstream.id, telemetry::steadyNow());
    environment_.note(id_, counts ? "crash-counted" : "crash-not-counted", crashText());
}

auto Exchange::noteAnswered() -> void
{
    const auto &upstream = attempt_.choice.upstream;
    const auto refutes = environment_.dispatcher->suspects().noteAnswered(
        upstream.id, attempt_.sentAt, telemetry::steadyNow());
    if (refutes)
        environment_.note(id_, "crash-refuted", upstream.instance + ": answered a later request");
}

auto Exchange::onSilent() -> void
{
    if (phase_ == Phase::Ended || !attempt_.sent)
        return;
    const auto canMove = sent_ < permit_.route->attempts
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

auto Exchange::recordAttemptEnd() -> void
{
    const auto now = telemetry::steadyNow();
    std::optional<Duration> serviceTime;
    if (attempt_.served)
        serviceTime = std::max(Duration(0), now - attempt_.sentAt - attempt_.choice.expectedWait);
    environment_.dispatcher->noteDone(attempt_.choice.upstream.id);
    environment_.dispatcher->noteAdmissionEnd(permit_, serviceTime, now);
}

auto Exchange::onCallerDisconnected() -> void
{
    if (phase_ == Phase::Ended)
        return;
    const auto isSilent = attempt_.sent && !attempt_.head
        && telemetry::steadyNow() - attempt_.sentAt > std::chrono::seconds(1);
    if (isSilent)
        noteOutcome(Outcome::Failed);
    // Closing the connection makes the upstream abandon the request.
    closeAttempt(false);
    finish("caller-left", "connection closed by the caller");
}

auto Exchange::onDeadline() -> void
{
    if (phase_ == Phase::Ended)
        return;
    if (attempt_.sent && !attempt_.head)
        noteOutcome(Outcome::Failed);
    mayHaveRun_ = mayHaveRun_ || attempt_.sent;
    closeAttempt(false);
    if (phase_ == Phase::Relaying)
        return finish("broken-off", "deadline exceeded");
    const auto run = mayHaveRun_ ? Run::Unknown : Run::NotRun;
    answerFailure({ErrorKind::DeadlineExceeded, run, "deadline exceeded", std::nullopt});
}

auto Exchange::answerFailure(const Failure &failure) -> void
{
    closeAttempt(false);
    ResponseHead head;
    head.status = statusOf(failure);
    report_.status = head.status;
    auto retryAfter = failure.retryAfter;
    if (!retryAfter && failure.kind == ErrorKind::Overloaded)
        retryAfter = environment_.dispatcher->overloadRetryAfter(permit_, telemetry::steadyNow());
    if (retryAfter)
        head.headers.add("Retry-After", secondsText(*retryAfter));
    if (!id_.empty())
        head.headers.add(environment_.vocabulary->requestId, id_);
    head.headers.add("Content-Type", "application/json");
    const auto &kind = core::answerFor(failure.kind);
    const auto body = std::string("{\"kind\":\"") + std::string(kind.name) + "\",\"run\":\""
        + std::string(core::runName(failure.run)) + "\"}";
    caller_->answer(std::move(head), body);
    finish("refused", std::string(kind.name) + ": " + failure.detail);
}

auto Exchange::finish(const std::string &outcome, const std::string &reason) -> void
{
    if (phase_ == Phase::Ended)
        return;
    phase_ = Phase::Ended;
    deadlineTimer_.stop();
    silenceTimer_.stop();
    if (outcome == "broken-off")
        caller_->abortAnswer();
    report_.requestId = id_;
    report_.outcome = outcome;
    report_.reason = reason;
    report_.sent = sent_;
    report_.duration = telemetry::steadyNow() - arrivedAt_;
    environment_.ended(report_);
}

} // namespace applehatch::gateway
