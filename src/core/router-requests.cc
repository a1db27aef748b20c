// Handles events from callers: requests, resumes, progress and disconnects.
#include "applehatch/core/token.h"

#include "router-state.h"

#include <algorithm>

namespace applehatch::core {

namespace {

using namespace std::chrono_literals;

constexpr Duration minDeadline = 1ms;

auto refusal(ErrorKind kind, std::string detail) -> Failure
{
    Failure failure{kind, Run::NotRun, std::move(detail), std::nullopt};
    if (answerFor(kind).mayRepeat)
        failure.retryAfter = limits::defaultRetryAfter;
    return failure;
}

} // namespace

auto RouterNode::State::on(CallerRequest &event) -> void
{
    if (exchanges_.contains(event.request))
        return;
    ++counts_.received;
    Exchange exchange;
    exchange.request = event.request;
    exchange.origin = event.request;
    // The key may have been sent before through another router. Then only its sidecar knows whether
    // the request has "not run".
    const auto mayBeResent =
        event.terms.runOnce || (!event.ticket.empty() && parseTicket(event.ticket));
    if (mayBeResent && !event.terms.firstSend)
        exchange.run = Run::Unknown;
    auto refused = admit(event, exchange);
    if (refused) {
        fail(exchange, std::move(*refused));
        return;
    }
    budgetOf(exchange).earn(exchange.pool.pool->retryBudget, now_);
    start(std::move(exchange));
}

auto RouterNode::State::admit(CallerRequest &event, Exchange &exchange) -> std::optional<Failure>
{
    if (draining_)
        return refusal(ErrorKind::Draining, "");
    if (!settings_)
        return refusal(ErrorKind::NotReady, "");
    auto found = findPool(*settings_, event.terms, event.call.path);
    if (auto *failure = std::get_if<Failure>(&found))
        return std::move(*failure);
    exchange.pool = std::get<PoolRef>(std::move(found));
    if (auto failure = checkDeadline(event, exchange))
        return failure;
    exchange.terms = std::move(event.terms);
    exchange.call = std::move(event.call);
    exchange.terms.pool = exchange.pool.pool->name;
    exchange.terms.chat = chatKey(*exchange.pool.pool, exchange.terms.chat);
    exchange.terms.fingerprint = fingerprintOf(exchange.terms, exchange.call);
    const auto context = parseContext(event.contextToken);
    if (context && exchange.pool.member(context->upstream) != nullptr)
        exchange.tokenUpstream = context->upstream;
    if (auto failure = checkCrashes(exchange))
        return failure;
    return bindRunOnce(event.ticket, exchange);
}

auto RouterNode::State::checkDeadline(const CallerRequest &event, Exchange &exchange)
    -> std::optional<Failure>
{
    const auto &pool = *exchange.pool.pool;
    const auto deadline = event.deadline.value_or(pool.defaultDeadline);
    if (deadline < minDeadline || deadline > pool.maxDeadline)
        return refusal(ErrorKind::BadRequest, "the deadline is out of the pool's range");
    exchange.deadline = now_ + deadline;
    return std::nullopt;
}

auto RouterNode::State::checkCrashes(const Exchange &exchange) -> std::optional<Failure>
{
    if (!crashes_.isSuspect(exchange.terms.fingerprint, now_))
        return std::nullopt;
    return refusal(ErrorKind::CrashSuspect, "the request was running when two upstreams crashed");
}

auto RouterNode::State::start(Exchange exchange) -> void
{
    supersede(exchange.origin);
    byOrigin_[exchange.origin] = exchange.request;
    const auto request = exchange.request;
    exchange.lastActivityAt = now_;
    auto &held = exchanges_.insert_or_assign(request, std::move(exchange)).first->second;
    advance(held, AttemptCost::First);
}

// A caller may resume a stream before the router learns that its old connection closed. Without
// this, two exchanges would consume the same chunks and each would miss some.
auto RouterNode::State::supersede(const RequestId &origin) -> void
{
    const auto earlier = byOrigin_.find(origin);
    if (earlier == byOrigin_.end())
        return;
    auto *exchange = find(earlier->second);
    if (exchange == nullptr)
        return;
    if (exchange->isAnswering()) {
        ++counts_.failures;
        actions_.emplace_back(AnswerFailure{
            exchange->request,
            {ErrorKind::Revoked, Run::Ran, "resumed on another connection", std::nullopt}});
    }
    erase(*exchange);
}

auto RouterNode::State::on(CallerConsumed &event) -> void
{
    auto *exchange = find(event.request);
    if (exchange == nullptr || exchange->phase == ExchangePhase::Waiting)
        return;
    auto &answer = exchange->answer;
    answer.consumed = std::clamp(event.offset, answer.consumed, answer.passedOn);
    if (exchange->phase == ExchangePhase::Finished && answer.consumed == answer.received) {
        acknowledgeEnd(*exchange);
        erase(*exchange);
        return;
    }
    if (answer.consumed >= answer.acknowledged + limits::acknowledgeStep)
        acknowledge(*exchange);
}

auto RouterNode::State::on(CallerDisconnected &event) -> void
{
    auto *exchange = find(event.request);
    if (exchange == nullptr || exchange->phase == ExchangePhase::Detached)
        return;
    const auto mayComeBack = exchange->answer.stream && exchange->answer.passedOn > 0;
    if (!mayComeBack) {
        if (exchange->phase == ExchangePhase::Finished)
            acknowledgeEnd(*exchange);
        else
            revoke(*exchange);
        erase(*exchange);
        return;
    }
    // The caller has a position and may resume at any router. Stopping the run now would lose the
    // rest of its answer.
    exchange->phase = ExchangePhase::Detached;
    exchange->endedAt = now_;
}

// Request ids can be guessed; a guessed id must not end another customer's stream.
auto RouterNode::State::belongsToAnotherCustomer(const CallerResume &event, const RequestId &origin)
    -> bool
{
    const auto earlier = byOrigin_.find(origin);
    if (earlier == byOrigin_.end())
        return false;
    const auto *exchange = find(earlier->second);
    return exchange != nullptr
        && (exchange->terms.team != event.team || exchange->terms.customer != event.customer);
}

auto RouterNode::State::on(CallerResume &event) -> void
{
    if (exchanges_.contains(event.request))
        return;
    ++counts_.received;
    Exchange exchange;
    exchange.request = event.request;
    exchange.kind = ExchangeKind::Resume;
    if (draining_ || !settings_) {
        fail(exchange, refusal(draining_ ? ErrorKind::Draining : ErrorKind::NotReady, ""));
        return;
    }
    const auto position = parsePosition(event.position);
    if (!position) {
        fail(exchange, refusal(ErrorKind::BadRequest, "the position cannot be read"));
        return;
    }
    exchange.pool = findPoolOf(*settings_, event.team, position->upstream);
    if (exchange.pool.pool == nullptr || belongsToAnotherCustomer(event, position->request)) {
        fail(exchange, {ErrorKind::AnswerLost, Run::Unknown, "no such answer", std::nullopt});
        return;
    }
    exchange.origin = position->request;
    exchange.terms.team = event.team;
    exchange.terms.customer = event.customer;
    exchange.terms.pool = exchange.pool.pool->name;
    exchange.boundTo = position->upstream;
    exchange.deadline = now_ + exchange.pool.pool->maxDeadline;
    exchange.run = Run::Unknown;
    auto &answer = exchange.answer;
    answer.stream = true;
    answer.fromStart = position->offset == 0;
    answer.start = position->offset;
    answer.received = position->offset;
    answer.passedOn = position->offset;
    answer.consumed = position->offset;
    answer.acknowledged = position->offset;
    ++counts_.resumed;
    start(std::move(exchange));
}

} // namespace applehatch::core
