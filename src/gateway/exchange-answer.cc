// What an upstream answers, on its way to the caller.
#include "applehatch/gateway/exchange.h"

#include "onward.h"
#include "status.h"

#include "applehatch/telemetry/clock.h"

#include <utility>

namespace applehatch::gateway {

using core::ErrorKind;
using core::Run;
using direct::Outcome;
using direct::RouteKind;

auto Exchange::onHead(ResponseHead &head) -> void
{
    const auto &words = *host_.vocabulary;
    if (const auto *load = head.headers.find(words.loadReport)) {
        if (const auto report = words.readLoad(*load))
            host_.dispatcher->loads().noteReport(now_.choice.upstream.id, report->running,
                                                 report->waiting, telemetry::steadyNow());
    }
    now_.notRun = head.headers.find(words.notRun) != nullptr || head.status == misdirected;
    now_.head = head;
    now_.isStream = permit_.route->kind == RouteKind::Stream && isSuccess(head.status)
        && head.headers.find(words.proof) != nullptr;
    if (now_.isStream && phase_ == Phase::Searching)
        relayHead(head);
}

auto Exchange::relayHead(const ResponseHead &head) -> void
{
    phase_ = Phase::Relaying;
    report_.status = head.status;
    auto onward = onwardHead(head);
    onward.framing = Framing::Chunked;
    caller_->begin(std::move(onward));
    caller_->onFlushed([self = shared_from_this()] {
        if (self->now_.connection)
            self->now_.connection->setPaused(false);
    });
}

auto Exchange::onBody(std::string_view bytes) -> void
{
    if (now_.isStream)
        return relayEvents(bytes);
    now_.held += bytes;
}

auto Exchange::relayEvents(std::string_view bytes) -> void
{
    const auto isFirst = events_.events() == 0;
    const auto whole = events_.feed(bytes);
    if (!events_.isInOrder()) {
        now_.connection->abort();
        return onFailed("events out of order");
    }
    if (whole.empty())
        return;
    const auto now = telemetry::steadyNow();
    if (isFirst) {
        report_.firstByte = now - arrivedAt_;
        host_.dispatcher->noteFirstEvent(now_.choice.upstream.id, now - now_.sentAt, now);
    }
    armSilence();
    caller_->send(whole);
    if (caller_->isCongested())
        now_.connection->setPaused(true);
}

auto Exchange::onDone() -> void
{
    if (phase_ == Phase::Ended)
        return;
    const auto connection = now_.connection;
    if (now_.isStream)
        return finishRelay();
    deliverHeld();
}

auto Exchange::finishRelay() -> void
{
    if (!events_.partial().empty()) {
        // A stream that ends inside an event was cut, however orderly its end looks.
        now_.connection->abort();
        return onFailed("ended inside an event");
    }
    now_.served = true;
    noteOutcome(Outcome::Served);
    host_.dispatcher->suspects().noteServed(demand_.fingerprint);
    if (report_.firstByte)
        host_.pace->noteStream(mostTokens_,
                               telemetry::steadyNow() - arrivedAt_ - *report_.firstByte);
    closeAttempt(true);
    caller_->end();
    finish("answered", "");
}

auto Exchange::deliverHeld() -> void
{
    const auto head = *now_.head;
    const auto held = std::move(now_.held);
    const auto hasProof = head.headers.find(host_.vocabulary->proof) != nullptr;
    if (now_.notRun) {
        noteOutcome(Outcome::Refused);
        closeAttempt(true);
        return tryAgainOr({ErrorKind::Overloaded, Run::NotRun, "upstream refused", {}});
    }
    // An upstream that breaks the protocol must not make this router promise what it cannot know.
    const auto unusable = (isSuccess(head.status) && !hasProof) || promisesNotRun(head.status);
    if (unusable || phase_ == Phase::Relaying) {
        noteOutcome(Outcome::Failed);
        closeAttempt(true);
        return tryAgainOr({ErrorKind::UpstreamFailed, Run::Unknown, "no usable answer", {}});
    }
    const auto failed = head.status >= firstFailure;
    now_.served = !failed;
    noteOutcome(failed ? Outcome::Failed : Outcome::Served);
    host_.dispatcher->suspects().noteServed(demand_.fingerprint);
    closeAttempt(true);
    mayHaveRun_ = true;
    if (failed && mayRepeat() && attemptAgain("status " + std::to_string(head.status)))
        return;
    report_.status = head.status;
    report_.firstByte = telemetry::steadyNow() - arrivedAt_;
    caller_->answer(onwardHead(head), held);
    finish("answered", "");
}

} // namespace applehatch::gateway
