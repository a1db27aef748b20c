// What sidecars answer, and how it reaches the caller.
#include "applehatch/core/token.h"

#include "router-state.h"

#include <algorithm>
#include <cctype>

namespace applehatch::core {

namespace {

constexpr std::string_view ownPrefix = "applehatch-";
constexpr std::string_view streamType = "text/event-stream";

auto lower(std::string_view text) -> std::string
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

auto isStream(const Headers &headers, bool otherwise) -> bool
{
    for (const auto &[name, value] : headers) {
        if (lower(name) == "content-type")
            return lower(value).starts_with(streamType);
    }
    return otherwise;
}

// An upstream must not speak for us: a forged context token would send a chat astray.
auto withoutOwn(const Headers &headers) -> Headers
{
    Headers kept;
    for (const auto &header : headers) {
        if (!lower(header.first).starts_with(ownPrefix))
            kept.push_back(header);
    }
    return kept;
}

} // namespace

auto RouterNode::State::find(const RequestId &request) -> Exchange *
{
    const auto found = exchanges_.find(request);
    return found == exchanges_.end() ? nullptr : &found->second;
}

auto RouterNode::State::findAt(UpstreamId upstream, const RequestId &origin) -> Exchange *
{
    const auto named = byOrigin_.find(origin);
    if (named == byOrigin_.end())
        return nullptr;
    auto *exchange = find(named->second);
    if (exchange == nullptr || upstream != exchange->upstream)
        return nullptr;
    if (exchange->phase == ExchangePhase::Waiting || exchange->phase == ExchangePhase::Finished)
        return nullptr;
    return exchange;
}

auto RouterNode::State::onMessage(UpstreamId upstream, Heartbeat &heartbeat) -> void
{
    const auto link = links_.find(upstream);
    if (link == links_.end() || link->second.incarnation != heartbeat.incarnation)
        return;
    link->second.readClock(heartbeat.clock, now_);
}

auto RouterNode::State::onMessage(UpstreamId upstream, Head &head) -> void
{
    auto *exchange = findAt(upstream, head.request);
    // A sidecar that restarted goes on with a stream without knowing the attempt.
    const auto isOurs = exchange != nullptr
        && (exchange->kind == ExchangeKind::Resume || exchange->attempt == head.attempt
            || (head.attempt == 0 && exchange->askedAt));
    if (!isOurs) {
        const auto named = byOrigin_.find(head.request);
        const auto *other = named == byOrigin_.end() ? nullptr : find(named->second);
        if (other == nullptr || other->phase != ExchangePhase::Finished)
            send(upstream, Revoke{head.request, head.attempt, links_[upstream].incarnation});
        return;
    }
    exchange->heardAt = now_;
    exchange->lostAt.reset();
    if (head.attempt != 0)
        exchange->attempt = head.attempt;
    auto &answer = exchange->answer;
    if (answer.headSent || exchange->phase == ExchangePhase::Detached)
        return;
    answer.headSent = true;
    answer.stream = isStream(head.headers, exchange->call.stream || answer.stream);
    if (exchange->kind == ExchangeKind::Resume)
        exchange->submittedTo = links_[upstream].incarnation;
    if (head.warm)
        ++counts_.warm;
    auto headers = withoutOwn(head.headers);
    headers.emplace_back("Applehatch-Request", exchange->origin);
    headers.emplace_back("Applehatch-Context", formatContext({upstream, exchange->submittedTo}));
    headers.emplace_back("Applehatch-Cache", head.warm ? "warm" : "cold");
    actions_.emplace_back(AnswerHead{exchange->request, head.status, std::move(headers)});
}

auto RouterNode::State::onMessage(UpstreamId upstream, Chunk &chunk) -> void
{
    auto *exchange = findAt(upstream, chunk.request);
    if (exchange == nullptr)
        return;
    exchange->heardAt = now_;
    exchange->lostAt.reset();
    if (exchange->phase == ExchangePhase::Detached)
        return;
    const auto received = exchange->answer.received;
    if (!exchange->answer.headSent || chunk.offset > received) {
        exchange->answer.gap = true;
        askAgain(*exchange);
        return;
    }
    const auto known = received - chunk.offset;
    if (known >= chunk.data.size())
        return;
    passOn(*exchange, known == 0 ? std::move(chunk.data) : chunk.data.substr(known));
    if (exchange->answer.end && exchange->answer.received >= exchange->answer.end->length)
        finish(*exchange);
}

auto RouterNode::State::passOn(Exchange &exchange, std::string data) -> void
{
    auto &answer = exchange.answer;
    answer.gap = false;
    answer.received += data.size();
    if (answer.fromStart)
        answer.hash.append(data);
    const auto give = [&](std::string part) {
        const auto offset = answer.passedOn;
        answer.passedOn += part.size();
        actions_.emplace_back(
            AnswerChunk{exchange.request, offset, std::move(part),
                        formatPosition({exchange.upstream, exchange.origin, answer.passedOn})});
    };
    if (!answer.stream) {
        give(std::move(data));
        return;
    }
    for (auto &event : answer.events.append(data))
        give(std::move(event));
}

auto RouterNode::State::onMessage(UpstreamId upstream, End &end) -> void
{
    applyLoads(end.loads);
    auto *exchange = findAt(upstream, end.request);
    if (exchange == nullptr)
        return;
    exchange->heardAt = now_;
    exchange->lostAt.reset();
    if (exchange->phase == ExchangePhase::Detached) {
        // It may still be resumed at its sidecar, and there is nothing left to stop.
        erase(*exchange);
        return;
    }
    exchange->answer.end = std::move(end);
    if (exchange->answer.headSent && exchange->answer.received >= exchange->answer.end->length) {
        finish(*exchange);
        return;
    }
    exchange->answer.gap = true;
    askAgain(*exchange);
}

auto RouterNode::State::finish(Exchange &exchange) -> void
{
    auto &answer = exchange.answer;
    const auto whole = answer.received == answer.end->length
        && (!answer.fromStart || answer.end->hash == 0 || answer.hash.value() == answer.end->hash);
    if (!whole) {
        // One would notice a summary with a part missing or twice; the caller is told instead.
        fail(exchange,
             {ErrorKind::UpstreamFailed, Run::Ran, "the answer differs from what the upstream sent",
              std::nullopt});
        return;
    }
    if (auto rest = answer.events.takeRest(); !rest.empty()) {
        const auto offset = answer.passedOn;
        answer.passedOn += rest.size();
        actions_.emplace_back(
            AnswerChunk{exchange.request, offset, std::move(rest),
                        formatPosition({exchange.upstream, exchange.origin, answer.passedOn})});
    }
    actions_.emplace_back(AnswerEnd{exchange.request});
    exchange.phase = ExchangePhase::Finished;
    exchange.leftAt = now_;
    if (answer.consumed == answer.received) {
        acknowledgeEnd(exchange);
        erase(exchange);
    }
}

auto RouterNode::State::askAgain(Exchange &exchange) -> void
{
    const auto askedLately = exchange.askedAt && exchange.askedFrom == exchange.answer.received
        && now_ - *exchange.askedAt < limits::askPeriod;
    if (!askedLately)
        resume(exchange);
}

auto RouterNode::State::onMessage(UpstreamId upstream, Refusal &refusal) -> void
{
    applyLoads(refusal.loads);
    auto *exchange = findAt(upstream, refusal.request);
    if (exchange == nullptr)
        return;
    // A sidecar that knows nothing of a resumed request has no attempt to name.
    const auto isOurs = refusal.attempt == exchange->attempt
        || exchange->kind == ExchangeKind::Resume || (refusal.attempt == 0 && exchange->askedAt);
    if (!isOurs)
        return;
    if (exchange->phase == ExchangePhase::Detached) {
        erase(*exchange);
        return;
    }
    refuse(*exchange, refusal);
}

auto RouterNode::State::refuse(Exchange &exchange, Refusal &refusal) -> void
{
    auto failure = std::move(refusal.failure);
    const auto bound = exchange.boundTo != 0;
    checkClock(exchange, failure);
    if (failure.kind == ErrorKind::CrashSuspect)
        crashes_.condemn(exchange.terms.fingerprint, now_);
    if (failure.kind == ErrorKind::StaleIncarnation) {
        // The life that this was addressed to may have run it before it ended.
        failure.run = Run::Unknown;
        if (exchange.terms.runOnce)
            failure.kind = ErrorKind::OutcomeUnknown;
    }
    if (refusal.attempt == 0 && exchange.resubmitted) {
        // Said of the first submit perhaps; the second may run.
        failure.run = worse(failure.run, Run::Unknown);
    }
    if (failure.kind == ErrorKind::AnswerLost && settle(exchange, failure.run))
        return;
    if (exchange.terms.runOnce)
        exchange.run = failure.run; // All sends of a key meet at this sidecar.
    if (failure.kind == ErrorKind::UpstreamCrashed && crash(exchange, failure))
        return;
    if (exchange.answer.headSent)
        failure.run = Run::Ran;
    const auto isGone = failure.kind == ErrorKind::AnswerLost || failure.kind == ErrorKind::Revoked;
    const auto lost = isGone && exchange.mayRunAgain();
    const auto mayRetry = (lost || answerFor(failure.kind).retryElsewhere) && !bound
        && !exchange.answer.headSent && (failure.run == Run::NotRun || exchange.mayRunAgain());
    if (!mayRetry) {
        fail(exchange, std::move(failure));
        return;
    }
    exchange.run = worse(exchange.run, failure.run);
    exchange.lastKind = failure.kind;
    if (failure.kind == ErrorKind::UpstreamLeaving) {
        // Without this each of its chats would cost a refusal and a retry until digests tell.
        links_[exchange.upstream].leavingAt = now_;
        views_.clear();
    }
    if (failure.retryAfter)
        exchange.retryAfter =
            std::min(*failure.retryAfter, exchange.retryAfter.value_or(*failure.retryAfter));
    if (exchange.home == 0 && exchange.terms.chat != 0)
        exchange.home = exchange.upstream;
    const auto redirects = refusal.redirect != 0 && !exchange.redirected;
    if (redirects) {
        exchange.redirected = true;
        exchange.redirect = refusal.redirect;
    }
    leaveUpstream(exchange, std::string(answerFor(failure.kind).name));
    // The next try after a full upstream goes where there is room, or asks to wait; it is always
    // allowed, else a sudden rush would be refused while upstreams stand idle. It is still charged,
    // so that hops and retries together stay a share of the requests. A mere guess has to pay.
    const auto hops = failure.kind == ErrorKind::Overloaded && !exchange.mayWait
        && roomElsewhere(exchange) != Room::Possible;
    const auto cost = hops ? AttemptCost::Hop : AttemptCost::OneRetry;
    advance(exchange, redirects ? AttemptCost::Free : cost);
}

// A host whose clock stood still, as under a frozen virtual machine, reckons deadlines wrongly
// until it reads the sidecar's clock again. One would see requests refused as late that had time
// left.
auto RouterNode::State::checkClock(const Exchange &exchange, const Failure &failure) -> void
{
    const auto isEarly = exchange.deadline - now_ > links::clockDoubt;
    auto &link = links_[exchange.upstream];
    if (failure.kind == ErrorKind::DeadlineExceeded && isEarly && link.phase == LinkPhase::Open)
        probe(exchange.upstream, link);
}

// A sidecar that does not know a request was perhaps never reached by its submit. Revoking that
// attempt settles it: either it is barred and can be submitted again, or it may have run.
auto RouterNode::State::settle(Exchange &exchange, Run run) -> bool
{
    if (exchange.kind != ExchangeKind::Request || exchange.answer.headSent || exchange.resubmitted)
        return false;
    if (run == Run::NotRun) {
        resubmit(exchange);
        return true;
    }
    if (!exchange.settling) {
        exchange.settling = true;
        revoke(exchange);
    }
    return true;
}

auto RouterNode::State::onMessage(UpstreamId upstream, Revoked &revoked) -> void
{
    auto *exchange = findAt(upstream, revoked.request);
    if (exchange == nullptr || !exchange->settling || exchange->attempt != revoked.attempt)
        return;
    exchange->heardAt = now_;
    exchange->settling = false;
    if (revoked.run == Run::NotRun) {
        resubmit(*exchange);
        return;
    }
    exchange->resubmitted = true;
    Refusal refusal;
    refusal.attempt = revoked.attempt;
    refusal.failure = {ErrorKind::AnswerLost, revoked.run, "no such answer", std::nullopt};
    refuse(*exchange, refusal);
}

// True when the exchange is over: a request that saw two upstreams die is not given a third.
auto RouterNode::State::crash(Exchange &exchange, const Failure &failure) -> bool
{
    exchange.crashedAt.push_back(exchange.upstream);
    crashes_.apply({{exchange.terms.fingerprint,
                     {exchange.upstream, exchange.submittedTo},
                     0,
                     CrashTable::lifetime}},
                   now_);
    const auto lives = crashes_.livesOf(exchange.terms.fingerprint, now_);
    const auto times = std::max(exchange.crashedAt.size(), lives.size());
    if (times < CrashTable::suspectAt)
        return false;
    fail(exchange,
         {ErrorKind::CrashSuspect, worse(failure.run, Run::Unknown),
          "it was running when two upstreams died", std::nullopt});
    return true;
}

} // namespace applehatch::core
