// Handling of an upstream's answer.
#include "applehatch/gateway/exchange.h"

#include "forwarded-message.h"
#include "status.h"

#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

namespace applehatch::gateway {

using core::ErrorKind;
using core::Run;
using direct::Outcome;
using direct::RouteKind;

namespace {

// An answer that finds no room goes on when there is this much.
constexpr std::size_t minRoom = 32768;

// Returns the time of day in UTC after `wait`.
auto utcText(Duration wait) -> std::string
{
    const auto at = std::chrono::system_clock::now()
        + std::chrono::duration_cast<std::chrono::system_clock::duration>(wait);
    const auto seconds = std::chrono::system_clock::to_time_t(at);
    const auto sinceEpoch = at.time_since_epoch();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch % std::chrono::seconds(1));
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ",
                  static_cast<int>(milliseconds.count()));
    return text.data();
}

} // namespace

auto Exchange::onHead(ResponseHead &head) -> void
{
    const auto &vocabulary = *environment_.vocabulary;
    if (const auto *load = head.headers.find(vocabulary.loadReport))
        noteLoad(*load);
    attempt_.notRun = head.headers.find(vocabulary.notRun) != nullptr || head.status == misdirected;
    attempt_.head = head;
    if (head.status != misdirected) {
        noteAnswered();
        noteAnnouncements(head);
    }
    attempt_.isStream = permit_.route->kind == RouteKind::Stream && isSuccess(head.status)
        && head.headers.find(vocabulary.proof) != nullptr;
    if (!attempt_.isStream)
        attempt_.beganAt = telemetry::steadyNow();
    if (attempt_.isStream && phase_ == Phase::AwaitingAnswer)
        relayHead(head);
}

auto Exchange::noteLoad(const std::string &text) -> void
{
    const auto report = environment_.vocabulary->readLoad(text);
    if (!report)
        return;
    const auto now = telemetry::steadyNow();
    const auto upstream = attempt_.choice.upstream.id;
    environment_.dispatcher->loads().noteReport(upstream, report->running, report->waiting, now);
    // An upstream that is gone may still answer; nothing is kept for it.
    if (!report->slowdown || environment_.dispatcher->findUpstream(upstream) == nullptr)
        return;
    auto &paces = environment_.dispatcher->paces();
    if (!paces.reports(upstream))
        environment_.note(id_, "upstream-reports-pace",
                          attempt_.choice.upstream.instance + ": " + text);
    paces.note(upstream, *report->slowdown, now);
}

auto Exchange::noteAnnouncements(const ResponseHead &head) -> void
{
    const auto &vocabulary = *environment_.vocabulary;
    const auto &upstream = attempt_.choice.upstream;
    const auto *leaving = head.headers.find(vocabulary.leaving);
    const auto isNews = leaving != nullptr && vocabulary.readLeaving(*leaving)
        && environment_.dispatcher->announcements().noteLeaving(upstream.id,
                                                                telemetry::steadyNow());
    if (isNews)
        environment_.note(id_, "upstream-leaving", upstream.instance + ": no requests any more");
    const auto *asked =
        head.status == unavailable ? head.headers.find(vocabulary.restRequest) : nullptr;
    if (asked == nullptr)
        return;
    if (const auto rest = vocabulary.readRestRequest(*asked))
        return noteRest(*rest);
    environment_.note(id_, "upstream-rest-unusable", upstream.instance + ": " + *asked);
}

auto Exchange::noteRest(Duration rest) -> void
{
    const auto now = telemetry::steadyNow();
    const auto &upstream = attempt_.choice.upstream;
    if (environment_.dispatcher->announcements().noteRest(upstream.id, now + rest, now))
        environment_.note(id_, "upstream-rest",
                          upstream.instance + ": no requests until " + utcText(rest));
}

auto Exchange::relayHead(const ResponseHead &head) -> void
{
    phase_ = Phase::Relaying;
    report_.status = head.status;
    auto forwarded = forwardedHead(head);
    forwarded.framing = Framing::Chunked;
    caller_->begin(std::move(forwarded));
    caller_->onFlushed([self = shared_from_this()] {
        if (self->attempt_.connection)
            self->attempt_.connection->setPaused(false);
    });
}

auto Exchange::onBody(std::string_view bytes) -> void
{
    if (attempt_.isStream)
        return relayEvents(bytes);
    attempt_.bufferedBody += bytes;
    if (attempt_.bufferedBody.size() > maxPlainAnswerBytes)
        return breakOffUpstream("answer without end");
    countKept(attempt_.bufferedBody.size());
}

auto Exchange::countKept(std::size_t bytes) -> void
{
    const auto added = bytes - std::min(bytes, attempt_.kept.bytes());
    attempt_.kept.resize(bytes);
    if (bytes <= ByteBudget::smallBytes)
        return;
    if (!attempt_.kept.mayAdd(added)) {
        attempt_.awaitsRoom = true;
        attempt_.connection->setPaused(true);
    }
    if (!std::exchange(attempt_.watchesRoom, true))
        watchRoom();
}

auto Exchange::watchRoom() -> void
{
    roomTimer_.start(ByteBudget::checkInterval, [self = shared_from_this()] {
        auto &attempt = self->attempt_;
        const auto isLarge = attempt.kept.bytes() > ByteBudget::smallBytes;
        const auto hasRoom = !isLarge || attempt.kept.mayAdd(minRoom);
        // Whoever waits for nothing may be the largest too, for whose room others wait.
        if (!hasRoom && attempt.kept.isLargest())
            return self->giveUpAnswer();
        if (hasRoom && std::exchange(attempt.awaitsRoom, false))
            attempt.connection->setPaused(false);
        attempt.watchesRoom = isLarge;
        if (isLarge)
            self->watchRoom();
    });
}

auto Exchange::giveUpAnswer() -> void
{
    const auto size = std::to_string(attempt_.kept.bytes());
    environment_.note(id_, "answer-given-up",
                      attempt_.choice.upstream.instance + ": largest with " + size + " bytes");
    const Failure failure{ErrorKind::UpstreamFailed, Run::Unknown, "no memory for the answer", {}};
    if (attempt_.isStream) {
        noteOutcome(Outcome::Failed);
        closeAttempt(false);
        attempt_.kept.release();
        return retryOrAnswer(failure);
    }
    closeAttempt(false);
    attempt_.bufferedBody = {};
    attempt_.kept.release();
    mayHaveRun_ = true;
    refusal_ = failure;
    answerAfterLastAttempt();
}

auto Exchange::relayEvents(std::string_view bytes) -> void
{
    const auto isFirst = events_.events() == 0;
    const auto whole = events_.feed(bytes);
    if (!events_.isInOrder())
        return breakOffUpstream("event ids are not increasing");
    if (events_.partial().size() > maxEventBytes)
        return breakOffUpstream("event without end");
    countKept(events_.partial().size());
    if (whole.empty())
        return;
    const auto now = telemetry::steadyNow();
    if (isFirst) {
        report_.firstByte = now - arrivedAt_;
        bindToVersion();
        environment_.dispatcher->noteFirstEvent(attempt_.choice.upstream.id, now - attempt_.sentAt,
                                                now);
    }
    if (!attempt_.beganAt) {
        attempt_.beganAt = now;
        noteRead();
    }
    if (now - *attempt_.beganAt >= direct::PartSuspects::soundAnswerTime)
        noteSoundAnswer();
    startSilenceTimer();
    caller_->send(whole);
    if (caller_->isCongested())
        attempt_.connection->setPaused(true);
}

auto Exchange::breakOffUpstream(const std::string &why) -> void
{
    attempt_.connection->abort();
    onFailed(why);
}

auto Exchange::onDone() -> void
{
    if (phase_ == Phase::Ended)
        return;
    if (attempt_.head->framing == Framing::UntilClose)
        return confirmEnd();
    takeEnd();
}

auto Exchange::takeEnd() -> void
{
    if (attempt_.isStream)
        return finishRelay();
    deliverBuffered();
}

auto Exchange::confirmEnd() -> void
{
    if (attempt_.isStream && (!attempt_.beganAt || !events_.partial().empty()))
        return onFailed("stream ended with its connection before an event was complete");
    const auto endedAt = telemetry::steadyNow();
    endTimer_.start(endConfirmationTime, [self = shared_from_this(), endedAt] {
        const auto &suspects = self->environment_.dispatcher->suspects();
        const auto upstream = self->attempt_.choice.upstream.id;
        if (suspects.hasBroken(upstream, endedAt - endConfirmationTime, telemetry::steadyNow()))
            return self->onFailed("connection ended while the upstream broke others off");
        self->takeEnd();
    });
}

auto Exchange::finishRelay() -> void
{
    if (!events_.partial().empty()) {
        // A stream that ends inside an event is truncated, even if the connection ended in order.
        return breakOffUpstream("stream ended in the middle of an event");
    }
    attempt_.served = true;
    noteOutcome(Outcome::Served);
    noteStreamCompleted();
    noteSoundAnswer();
    environment_.dispatcher->suspects().noteServed(demand_.fingerprint, telemetry::steadyNow());
    if (report_.firstByte)
        environment_.forecast->noteStream(maxTokens_,
                                          telemetry::steadyNow() - arrivedAt_ - *report_.firstByte);
    closeAttempt(true);
    caller_->end();
    finish("answered", "");
}

auto Exchange::deliverBuffered() -> void
{
    const auto head = *attempt_.head;
    const auto body = std::move(attempt_.bufferedBody);
    const auto kept = std::move(attempt_.kept); // Until the connection counts it.
    const auto hasProof = head.headers.find(environment_.vocabulary->proof) != nullptr;
    if (attempt_.notRun) {
        noteOutcome(Outcome::Refused);
        closeAttempt(true);
        return retryOrAnswer({ErrorKind::Overloaded, Run::NotRun, "upstream refused", {}});
    }
    // A status that implies "not run" came without the upstream's "not run" header: an upstream
    // that violates the protocol must not make this router promise what it cannot know.
    const auto unusable = (isSuccess(head.status) && !hasProof) || impliesNotRun(head.status);
    if (unusable || phase_ == Phase::Relaying) {
        noteOutcome(Outcome::Failed);
        closeAttempt(true);
        return retryOrAnswer({ErrorKind::UpstreamFailed, Run::Unknown, "unusable answer", {}});
    }
    const auto failed = head.status >= firstServerError;
    attempt_.served = !failed;
    noteOutcome(failed ? Outcome::Failed : Outcome::Served);
    if (isSuccess(head.status)) {
        noteSoundAnswer();
        environment_.dispatcher->suspects().noteServed(demand_.fingerprint, telemetry::steadyNow());
    }
    closeAttempt(true);
    mayHaveRun_ = true;
    if (failed && mayRepeat() && retry("status " + std::to_string(head.status)))
        return;
    report_.status = head.status;
    report_.firstByte = telemetry::steadyNow() - arrivedAt_;
    caller_->answer(forwardedHead(head), body);
    finish("answered", "");
}

} // namespace applehatch::gateway
