// Streams that callers take up, and the version at which they go on.
#include "applehatch/gateway/exchange.h"

#include "applehatch/core/log-line.h"
#include "applehatch/telemetry/clock.h"

namespace applehatch::gateway {

using core::ErrorKind;
using core::Run;
using direct::ResumeRule;

namespace {

// An upstream that is gone from the list may still get requests for this long.
constexpr Duration maxVersionLag = std::chrono::seconds(2);

} // namespace

auto Exchange::takeUp() -> void
{
    if (const auto *named = request_.headers.find(environment_.vocabulary->resumes))
        report_.takesUp = *named;
    takenUpStream_ = direct::streamKey(permit_.customer, report_.takesUp);
    takeUpBy(resumeRule());
}

auto Exchange::takeUpBy(ResumeRule rule) -> void
{
    switch (rule) {
    case ResumeRule::AtOrigin:
        return takeUpAtOrigin();
    case ResumeRule::AnyVersion:
        return takeUpAtOnlyVersion();
    case ResumeRule::ConfirmFirst:
        return confirmVersions([this] {
            if (isConfirmed_)
                return takeUpBy(resumeRule());
            askKeepers();
        });
    case ResumeRule::AskKeepers:
        return askKeepers();
    case ResumeRule::Refuse:
        return takeUpUnknown();
    }
}

auto Exchange::resumeRule() const -> ResumeRule
{
    return environment_.dispatcher->streams().decide(
        takenUpStream_, permit_.serviceName, isConfirmed_, telemetry::steadyNow(), maxStreamAge());
}

auto Exchange::maxStreamAge() const -> Duration
{
    return permit_.route->timeout + maxVersionLag;
}

auto Exchange::takeUpAtOrigin() -> void
{
    const auto now = telemetry::steadyNow();
    const auto &streams = environment_.dispatcher->streams();
    const auto isOwn = streams.find(takenUpStream_, now)->own;
    takeUpAt(*streams.report(takenUpStream_, now), isOwn ? "this gateway" : "a peer's note");
}

auto Exchange::takeUpAtOnlyVersion() -> void
{
    const auto now = telemetry::steadyNow();
    const auto &streams = environment_.dispatcher->streams();
    const auto versions = streams.versionsOf(permit_.serviceName, now);
    if (versions.empty())
        return refuseUnknownStream();
    // Another version may come before the first event.
    demand_.version = versions.front();
    environment_.note(id_, "stream-taken-up",
                      report_.takesUp + ": began at the only version, " + versions.front()
                          + ", known for " + core::millisecondsText(streams.knowledge(now)) + "; "
                          + environment_.registryAge());
    begin();
}

auto Exchange::confirmVersions(std::function<void()> then) -> void
{
    triedToConfirm_ = true;
    environment_.confirmVersions(
        [self = shared_from_this(), then = std::move(then)](VersionsConfirmedBy confirmedBy) {
            if (self->phase_ == Phase::Ended)
                return;
            self->isConfirmed_ = confirmedBy != VersionsConfirmedBy::Nobody;
            then();
        });
}

auto Exchange::askKeepers() -> void
{
    if (takenUpStream_ == 0)
        return takeUpUnknown();
    environment_.askKeepers(takenUpStream_,
                            [self = shared_from_this()](const std::optional<KeptStream> &kept) {
                                if (self->phase_ == Phase::Ended)
                                    return;
                                if (kept)
                                    return self->takeUpAt(kept->report, kept->peer);
                                self->takeUpUnknown();
                            });
}

auto Exchange::takeUpUnknown() -> void
{
    // Others that were taken up may have brought the news while the keepers were asked.
    if (takeUpIfKnown())
        return;
    const auto &streams = environment_.dispatcher->streams();
    const auto now = telemetry::steadyNow();
    // What peers know of the time before this router began are versions, not lists.
    const auto isMixed = streams.isMixed(permit_.serviceName, now);
    const auto knowledge = isMixed ? streams.ownKnowledge(now) : streams.knowledge(now);
    if (knowledge >= maxStreamAge())
        return takeUpAtOwner();
    environment_.learnHistory([self = shared_from_this()] {
        if (self->phase_ != Phase::Ended && !self->takeUpIfKnown())
            self->takeUpAtOwner();
    });
}

auto Exchange::takeUpAtOwner() -> void
{
    const auto now = telemetry::steadyNow();
    auto version = environment_.dispatcher->streams().versionOf(permit_.serviceName, takenUpStream_,
                                                                now, maxStreamAge());
    if (!version || (triedToConfirm_ && !isConfirmed_))
        return refuseUnknownStream();
    // A list that is older than the take-up may lack the owner.
    if (!isConfirmed_)
        return confirmVersions([this] { takeUpAtOwner(); });
    environment_.note(id_, "stream-taken-up",
                      report_.takesUp + ": began at version " + *version
                          + ", which owned it for as long as it may run; "
                          + environment_.registryAge());
    demand_.version = std::move(version);
    begin();
}

auto Exchange::chooseVersion() -> void
{
    const auto isNew = ownStream_ != 0 && takenUpStream_ == 0 && events_.events() == 0;
    if (isNew)
        demand_.version = environment_.dispatcher->streams().versionFor(
            permit_.serviceName, ownStream_, telemetry::steadyNow());
}

auto Exchange::takeUpIfKnown() -> bool
{
    const auto rule = resumeRule();
    const auto isKnown = rule == ResumeRule::AtOrigin || rule == ResumeRule::AnyVersion
        || (rule == ResumeRule::ConfirmFirst && !triedToConfirm_);
    if (isKnown)
        takeUpBy(rule);
    return isKnown;
}

auto Exchange::takeUpAt(const direct::StreamReport &report, const std::string &knownBy) -> void
{
    environment_.note(id_, "stream-taken-up",
                      report_.takesUp + ": began at " + report.origin.service + " version "
                          + report.origin.version + ", known by " + knownBy + " for "
                          + core::millisecondsText(report.age));
    // Without the service on its route, the stream goes on as the configuration now says.
    if (environment_.dispatcher->keepService(permit_, report.origin.service)) {
        report_.service = permit_.serviceName;
        readParts();
        demand_.version = report.origin.version;
    }
    begin();
}

auto Exchange::refuseUnknownStream() -> void
{
    const auto *why = takenUpStream_ == 0 ? "the request that began the stream is not named"
                                          : "which version began the stream is not known";
    environment_.note(id_, "stream-unknown",
                      report_.takesUp + ": " + why + "; " + environment_.registryAge());
    const auto wait = environment_.dispatcher->retryAfter();
    answerFailure({ErrorKind::NoUpstream, Run::NotRun, why, wait});
}

auto Exchange::noteStreamSent() -> void
{
    const auto now = telemetry::steadyNow();
    const direct::StreamOrigin origin{permit_.serviceName, attempt_.choice.upstream.version};
    for (const auto stream : {ownStream_, takenUpStream_}) {
        if (environment_.dispatcher->streams().noteSent(stream, origin, now))
            environment_.tellStream({stream, origin, Duration(0)});
    }
}

auto Exchange::noteStreamCompleted() -> void
{
    const auto now = telemetry::steadyNow();
    for (const auto stream : {ownStream_, takenUpStream_})
        environment_.dispatcher->streams().noteCompleted(stream, now);
}

auto Exchange::bindToVersion() -> void
{
    demand_.version = attempt_.choice.upstream.version;
    // Before the caller sees the event: from now on it may take the stream up elsewhere.
    environment_.sendNotes();
}

} // namespace applehatch::gateway
