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
    const auto isUsable = value >= 0 && value <= maxMilliseconds; // Not `nan`, which is a number.
    if (error != std::errc() || at != end || !isUsable)
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
    , endTimer_(environment.loop->get_executor())
    , roomTimer_(environment.loop->get_executor())
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
    if (const auto refused = stopRefusal())
        return answerFailure(*refused);
    deadlineTimer_.start(timeLeft(), [self = shared_from_this()] { self->onDeadline(); });
    const auto isResumable = permit_.route->kind == RouteKind::Stream && permit_.route->resumable;
    if (!isResumable)
        return begin();
    ownStream_ = direct::streamKey(permit_.customer, id_);
    const auto *lastEvent = request_.headers.find(environment_.vocabulary->lastEventId);
    if (lastEvent == nullptr || lastEvent->empty())
        return begin();
    takeUp();
}

auto Exchange::begin() -> void
{
    isTimed_ = true;
    environment_.forecast->noteBegun(answerKind(), arrivedAt_);
    if (!startAttempt())
        answerAfterLastAttempt();
}

auto Exchange::readRequestOptions() -> void
{
    const auto requested =
        parseMilliseconds(request_.headers.find(environment_.vocabulary->deadline));
    const auto allowed =
        permit_.route->timeout > Duration(0) ? permit_.route->timeout : std::chrono::seconds(60);
    if (requested && environment_.dispatcher->admitsByTimeLeft(permit_))
        demand_.sinceFirstSent = environment_.patience->note(permit_.route->name, *requested);
    report_.sinceFirstSent = demand_.sinceFirstSent;
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
    readParts();
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

auto Exchange::sinceFirstSent() const -> Duration
{
    return demand_.sinceFirstSent + (telemetry::steadyNow() - arrivedAt_);
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
    noteAnswerTime(mayHaveRun_);
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
        retryAfter =
            environment_.dispatcher->overloadRetryAfter(permit_, demand_, telemetry::steadyNow());
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
    noteAnswerTime(outcome == "answered");
    deadlineTimer_.stop();
    silenceTimer_.stop();
    if (outcome == "broken-off")
        caller_->abortAnswer();
    report_.requestId = id_;
    report_.outcome = outcome;
    report_.reason = reason;
    report_.sent = sent_;
    report_.duration = telemetry::steadyNow() - arrivedAt_;
    environment_.ended(*this, report_);
}

} // namespace applehatch::gateway
