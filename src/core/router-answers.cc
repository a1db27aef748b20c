// Handles messages from sidecars and passes answers on to callers.
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

// An upstream must not set the router's own headers: a forged context token would send a chat to
// the wrong upstream.
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
    // A sidecar that restarted continues a stream without knowing the attempt number.
    const auto isOurs = exchange != nullptr
        && (exchange->kind == ExchangeKind::Resume || exchange->attempt == head.attempt
            || (head.attempt == 0 && exchange->lastResumeAt));
    if (!isOurs) {
        const auto named = byOrigin_.find(head.request);
        const auto *other = named == byOrigin_.end() ? nullptr : find(named->second);
        if (other == nullptr || other->phase != ExchangePhase::Finished)
            send(upstream, Revoke{head.request, head.attempt, links_[upstream].incarnation});
        return;
    }
    exchange->lastActivityAt = now_;
    exchange->linkLostAt.reset();
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
    exchange->lastActivityAt = now_;
    exchange->linkLostAt.reset();
    if (exchange->phase == ExchangePhase::Detached)
        return;
    const auto received = exchange->answer.received;
    if (!exchange->answer.headSent || chunk.offset > received) {
        exchange->answer.gap = true;
        resumeIfDue(*exchange);
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
    exchange->lastActivityAt = now_;
    exchange->linkLostAt.reset();
    if (exchange->phase == ExchangePhase::Detached) {
        // The answer can still be resumed from its sidecar, and the run has ended.
        erase(*exchange);
        return;
    }
    exchange->answer.end = std::move(end);
    if (exchange->answer.headSent && exchange->answer.received >= exchange->answer.end->length) {
        finish(*exchange);
        return;
    }
    exchange->answer.gap = true;
    resumeIfDue(*exchange);
}

auto RouterNode::State::finish(Exchange &exchange) -> void
{
    auto &answer = exchange.answer;
    const auto whole = answer.received == answer.end->length
        && (!answer.fromStart || answer.end->hash == 0 || answer.hash.value() == answer.end->hash);
    if (!whole) {
        // The caller gets an error rather than a text with a part missing or repeated.
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
    exchange.endedAt = now_;
    if (answer.consumed == answer.received) {
        acknowledgeEnd(exchange);
        erase(exchange);
    }
}

auto RouterNode::State::resumeIfDue(Exchange &exchange) -> void
{
    const auto resumedRecently = exchange.lastResumeAt
        && exchange.lastResumeOffset == exchange.answer.received
        && now_ - *exchange.lastResumeAt < limits::resumeInterval;
    if (!resumedRecently)
        resume(exchange);
}

auto RouterNode::State::onMessage(UpstreamId upstream, Refusal &refusal) -> void
{
    applyLoads(refusal.loads);
    auto *exchange = findAt(upstream, refusal.request);
    if (exchange == nullptr)
        return;
    // A sidecar that does not know a resumed request sends no attempt number.
    const auto isOurs = refusal.attempt == exchange->attempt
        || exchange->kind == ExchangeKind::Resume
        || (refusal.attempt == 0 && exchange->lastResumeAt);
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
        crashes_.markSuspect(exchange.terms.fingerprint, now_);
    if (failure.kind == ErrorKind::StaleIncarnation) {
        // The incarnation that the request was sent to may have run it before it ended.
        failure.run = Run::Unknown;
        if (exchange.terms.runOnce)
            failure.kind = ErrorKind::OutcomeUnknown;
    }
    if (refusal.attempt == 0 && exchange.resubmitted) {
        // The refusal may answer the first submit while the second one runs.
        failure.run = worse(failure.run, Run::Unknown);
    }
    if (failure.kind == ErrorKind::AnswerLost && resolveLostAnswer(exchange, failure.run))
        return;
    if (exchange.terms.runOnce)
        exchange.run = failure.run; // This sidecar receives all sends of a key.
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
        // Without this, each chat of this upstream would cost a refusal and a retry until digests
        // report it as leaving.
        links_[exchange.upstream].leavingAt = now_;
        views_.clear();
    }
    if (failure.retryAfter)
        exchange.retryAfter =
            std::min(*failure.retryAfter, exchange.retryAfter.value_or(*failure.retryAfter));
    if (exchange.movedFrom == 0 && exchange.terms.chat != 0)
        exchange.movedFrom = exchange.upstream;
    const auto redirects = refusal.redirect != 0 && !exchange.redirected;
    if (redirects) {
        exchange.redirected = true;
        exchange.redirect = refusal.redirect;
    }
    leaveUpstream(exchange, std::string(answerFor(failure.kind).name));
    // The next try after a full upstream goes to one with spare capacity, or asks to wait. It is
    // always allowed, otherwise a sudden burst would be refused while upstreams are idle. It is
    // still charged, so that hops and retries together stay a share of the requests. When the spare
    // capacity is unknown, the try counts as a retry, which the budget may deny.
    const auto hops = failure.kind == ErrorKind::Overloaded && !exchange.mayWait
        && spareCapacityElsewhere(exchange) != SpareCapacity::Unknown;
    const auto cost = hops ? AttemptCost::Hop : AttemptCost::OneRetry;
    advance(exchange, redirects ? AttemptCost::Free : cost);
}

// A host whose clock stopped, for example while its virtual machine was frozen, converts deadlines
// wrongly until it reads the sidecar's clock again. Requests with time left would then be refused
// as too late.
auto RouterNode::State::checkClock(const Exchange &exchange, const Failure &failure) -> void
{
    const auto isEarly = exchange.deadline - now_ > links::maxClockSkew;
    auto &link = links_[exchange.upstream];
    if (failure.kind == ErrorKind::DeadlineExceeded && isEarly && link.phase == LinkPhase::Open)
        probe(exchange.upstream, link);
}

// When a sidecar does not know a request, its submit may never have arrived. Revoking the attempt
// resolves this: either the sidecar rejects that attempt from now on and the request can be
// submitted again, or it may have run. Returns true when the refusal needs no further handling.
auto RouterNode::State::resolveLostAnswer(Exchange &exchange, Run run) -> bool
{
    if (exchange.kind != ExchangeKind::Request || exchange.answer.headSent || exchange.resubmitted)
        return false;
    if (run == Run::NotRun) {
        resubmit(exchange);
        return true;
    }
    if (!exchange.awaitingRevoked) {
        exchange.awaitingRevoked = true;
        revoke(exchange);
    }
    return true;
}

auto RouterNode::State::onMessage(UpstreamId upstream, Revoked &revoked) -> void
{
    auto *exchange = findAt(upstream, revoked.request);
    if (exchange == nullptr || !exchange->awaitingRevoked || exchange->attempt != revoked.attempt)
        return;
    exchange->lastActivityAt = now_;
    exchange->awaitingRevoked = false;
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

// Returns true when the exchange ended: a request that was running when two upstreams crashed is
// not sent to a third.
auto RouterNode::State::crash(Exchange &exchange, const Failure &failure) -> bool
{
    exchange.crashedAt.push_back(exchange.upstream);
    crashes_.apply({{exchange.terms.fingerprint,
                     {exchange.upstream, exchange.submittedTo},
                     0,
                     CrashTable::lifetime}},
                   now_);
    const auto incarnations = crashes_.incarnationsOf(exchange.terms.fingerprint, now_);
    const auto times = std::max(exchange.crashedAt.size(), incarnations.size());
    if (times < CrashTable::suspectThreshold)
        return false;
    fail(exchange,
         {ErrorKind::CrashSuspect, worse(failure.run, Run::Unknown),
          "the request was running when two upstreams crashed", std::nullopt});
    return true;
}

} // namespace applehatch::core
