// The attempts of one request: choosing an upstream, submitting, retrying and giving up.
#include "router-state.h"

#include <algorithm>

namespace applehatch::core {

namespace {

// An engine keeps a stream when only its sidecar restarts; the next incarnation can continue it.
auto engineMayKeepStream(const Exchange &exchange) -> bool
{
    return exchange.answer.headSent && exchange.answer.stream && !exchange.terms.runOnce
        && exchange.pool.pool->kind == settings::PoolKind::Model;
}

// An end may arrive before its head. If it were kept for the next attempt, it would cut off that
// attempt's answer, or fail it as incomplete.
auto resetAnswer(Exchange &exchange) -> void
{
    exchange.answer = Answer();
    exchange.lastResumeAt.reset();
}

} // namespace

auto RouterNode::State::advance(Exchange &exchange, AttemptCost cost) -> void
{
    if (exchange.attempt >= limits::maxAttempts || exchange.hops >= limits::maxHops) {
        giveUp(exchange, ErrorKind::Overloaded, "no upstream accepted the request");
        return;
    }
    // The settings may have changed since the last attempt.
    if (settings_ && exchange.kind == ExchangeKind::Request) {
        auto found = findPool(*settings_, exchange.terms, exchange.call.path);
        if (auto *pool = std::get_if<PoolRef>(&found))
            exchange.pool = std::move(*pool);
    }
    auto choice = choose(exchange);
    if (!choice) {
        giveUp(exchange, ErrorKind::NoUpstream, "no upstream is left to try");
        return;
    }
    if (!pay(exchange, cost)) {
        giveUp(exchange, ErrorKind::Overloaded, "the retry budget is spent");
        return;
    }
    ++exchange.hops;
    exchange.upstream = choice->upstream;
    exchange.cause = std::move(choice->cause);
    exchange.phase = ExchangePhase::Waiting;
    exchange.linkLostAt.reset();
    writeDecision(exchange);
    auto &link = links_[exchange.upstream];
    if (!isOutstanding(link))
        link.quietSince = listeningNow_;
    link.exchanges.insert(exchange.request);
    if (link.phase == LinkPhase::Open)
        serve(exchange);
    else
        openLink(exchange.upstream);
}

auto RouterNode::State::budgetOf(const Exchange &exchange) -> RetryBudget &
{
    return budgets_[exchange.terms.team + '/' + exchange.terms.pool];
}

auto RouterNode::State::pay(const Exchange &exchange, AttemptCost cost) -> bool
{
    auto &budget = budgetOf(exchange);
    if (cost == AttemptCost::Hop)
        budget.borrow(now_);
    if (cost == AttemptCost::OneRetry && !budget.spend(now_)) {
        ++counts_.retriesDenied;
        return false;
    }
    if (cost != AttemptCost::First)
        ++counts_.retries;
    return true;
}

auto RouterNode::State::giveUp(Exchange &exchange, ErrorKind kind, std::string detail) -> void
{
    Failure failure{kind, exchange.run, std::move(detail), std::nullopt};
    failure.retryAfter = exchange.retryAfter.value_or(limits::defaultRetryAfter);
    if (exchange.lastKind) {
        failure.kind = *exchange.lastKind;
        if (!answerFor(failure.kind).mayRepeat)
            failure.retryAfter.reset();
    }
    fail(exchange, std::move(failure));
}

auto RouterNode::State::serve(Exchange &exchange) -> void
{
    auto &link = links_[exchange.upstream];
    if (exchange.kind == ExchangeKind::Ticket) {
        giveTicket(exchange, link);
        return;
    }
    if (exchange.kind == ExchangeKind::Resume) {
        exchange.phase = ExchangePhase::Submitted;
        resume(exchange);
        return;
    }
    if (exchange.phase == ExchangePhase::Waiting) {
        submit(exchange, link);
        return;
    }
    if (exchange.submittedTo != link.incarnation && !engineMayKeepStream(exchange)) {
        handleLoss(exchange, "the upstream's sidecar restarted");
        return;
    }
    // `linkLostAt` stays set until a message arrives: a link that keeps failing before it delivers
    // anything must not be reopened without a pause.
    exchange.submittedTo = link.incarnation;
    resume(exchange);
}

auto RouterNode::State::resubmit(Exchange &exchange) -> void
{
    if (exchange.resubmitted || exchange.attempt >= limits::maxAttempts) {
        giveUp(exchange, ErrorKind::NoUpstream, "the request could not be delivered");
        return;
    }
    exchange.resubmitted = true;
    exchange.awaitingRevoked = false;
    resetAnswer(exchange);
    exchange.phase = ExchangePhase::Waiting;
    serve(exchange);
}

auto RouterNode::State::submit(Exchange &exchange, Link &link) -> void
{
    auto notAfter = link.onSidecarClock(exchange.deadline);
    if (exchange.boundIncarnation != 0 && exchange.boundIncarnation != link.incarnation) {
        fail(exchange,
             {ErrorKind::OutcomeUnknown, Run::Unknown, "the ticket's sidecar restarted",
              std::nullopt});
        return;
    }
    if (exchange.expires) {
        if (link.onSidecarClock(now_) >= *exchange.expires) {
            fail(exchange, {ErrorKind::TicketExpired, Run::Unknown, "", std::nullopt});
            return;
        }
        notAfter = std::min(notAfter, *exchange.expires);
    }
    if (exchange.deadline <= now_) {
        passDeadline(exchange);
        return;
    }
    ++counts_.attempts;
    ++exchange.attempt;
    exchange.phase = ExchangePhase::Submitted;
    exchange.submittedTo = link.incarnation;
    exchange.lastActivityAt = now_;
    Submit message{exchange.origin,
                   exchange.attempt,
                   link.incarnation,
                   notAfter,
                   exchange.terms,
                   exchange.call,
                   0,
                   recentLoads()};
    exchange.mayWait = exchange.boundTo != 0 || exchange.attempt == limits::maxAttempts
        || spareCapacityElsewhere(exchange) == SpareCapacity::None;
    message.mayWait = exchange.mayWait;
    if (exchange.cause != "redirect" && exchange.movedFrom != exchange.upstream)
        message.movedFrom = exchange.movedFrom;
    send(exchange.upstream, std::move(message));
}

auto RouterNode::State::resume(Exchange &exchange) -> void
{
    exchange.lastResumeAt = now_;
    exchange.lastResumeOffset = exchange.answer.received;
    exchange.lastActivityAt = now_;
    send(exchange.upstream,
         Resume{exchange.origin, exchange.terms.team + '/' + exchange.terms.customer,
                exchange.answer.received});
}

auto RouterNode::State::leaveUpstream(Exchange &exchange, std::string reason) -> void
{
    const auto link = links_.find(exchange.upstream);
    if (link != links_.end())
        link->second.exchanges.erase(exchange.request);
    exchange.tried.push_back(exchange.upstream);
    exchange.passedOver.push_back({exchange.upstream, std::move(reason)});
    exchange.upstream = 0;
    exchange.awaitingRevoked = false;
    exchange.resubmitted = false;
    resetAnswer(exchange);
}

auto RouterNode::State::revoke(Exchange &exchange) -> void
{
    if (exchange.phase != ExchangePhase::Submitted && exchange.phase != ExchangePhase::Detached)
        return;
    if (exchange.attempt == 0)
        return;
    auto &link = links_[exchange.upstream];
    const Revoke message{exchange.origin, exchange.attempt, exchange.submittedTo};
    if (link.phase == LinkPhase::Open)
        send(exchange.upstream, message);
    else if (link.pendingRevokes.size() < links::maxPendingRevokes)
        link.pendingRevokes.push_back(message);
}

auto RouterNode::State::handleLoss(Exchange &exchange, const std::string &why) -> void
{
    revoke(exchange);
    if (exchange.terms.runOnce) {
        fail(exchange, {ErrorKind::OutcomeUnknown, Run::Unknown, why, std::nullopt});
        return;
    }
    if (exchange.kind == ExchangeKind::Resume) {
        fail(exchange, {ErrorKind::AnswerLost, Run::Unknown, why, std::nullopt});
        return;
    }
    exchange.run = worse(exchange.run, exchange.answer.headSent ? Run::Ran : Run::Unknown);
    if (!exchange.mayRunAgain()) {
        fail(exchange, {ErrorKind::UpstreamFailed, exchange.run, why, std::nullopt});
        return;
    }
    exchange.lastKind = ErrorKind::UpstreamFailed;
    leaveUpstream(exchange, "lost");
    advance(exchange, AttemptCost::OneRetry);
}

auto RouterNode::State::fail(Exchange &exchange, Failure failure) -> void
{
    ++counts_.failures;
    failure.run = worse(failure.run, exchange.run);
    const auto mayComeBack = answerFor(failure.kind).mayRepeat && failure.run == Run::NotRun;
    if (mayComeBack && !failure.retryAfter)
        failure.retryAfter = exchange.retryAfter.value_or(limits::defaultRetryAfter);
    LogLine line("answer-failed");
    line.add("request", exchange.request)
        .add("kind", answerFor(failure.kind).name)
        .add("run", runName(failure.run))
        .add("attempts", exchange.attempt)
        .add("upstream", exchange.upstream == 0 ? "" : upstreamName(exchange.upstream))
        .add("received", static_cast<std::int64_t>(exchange.answer.received))
        .add("heard_ago_us", Duration(now_ - exchange.lastActivityAt).count())
        .add("detail", failure.detail);
    if (exchange.linkLostAt)
        line.add("lost_ago_us", Duration(listeningNow_ - *exchange.linkLostAt).count());
    actions_.emplace_back(AnswerFailure{exchange.request, std::move(failure)});
    actions_.emplace_back(WriteLog{line});
    erase(exchange);
}

auto RouterNode::State::erase(Exchange &exchange) -> void
{
    const auto link = links_.find(exchange.upstream);
    if (link != links_.end())
        link->second.exchanges.erase(exchange.request);
    const auto origin = byOrigin_.find(exchange.origin);
    if (origin != byOrigin_.end() && origin->second == exchange.request)
        byOrigin_.erase(origin);
    // A copy, since `exchange` is destroyed by the erase.
    const auto request = exchange.request;
    exchanges_.erase(request);
}

} // namespace applehatch::core
