#include "sidecar-state.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

constexpr std::uint32_t maxReconnects = 2;
constexpr Duration reviewInterval = std::chrono::milliseconds(200);
constexpr std::size_t maxReviewedRequests =
    256; ///< The time of a review is quadratic in the queue's length.

} // namespace

auto SidecarNode::State::dispatch() -> void
{
    // While it is not known whether the upstream crashed, the queue waits; otherwise its requests
    // could be lost in the crash too.
    const auto mayStart = report && report->reachable && inPhase(JobPhase::Lost).empty();
    while (mayStart && queue.size() != 0 && running < slots && running < runningBound()) {
        const auto next = queue.pop(customersAtLimit());
        if (!next)
            return;
        auto &job = jobs.at(*next);
        if (job.notAfter <= now)
            fail(job, refusalOf(ErrorKind::DeadlineExceeded, Run::NotRun, "waited too long"),
                 "deadline");
        else if (crashes.isSuspect(job.terms.fingerprint, now))
            fail(job, refusalOf(ErrorKind::CrashSuspect, Run::NotRun, "crashed two upstreams"),
                 "crash-suspect");
        else if (secondTryUpstream(job.terms.fingerprint).value_or(self) != self)
            fail(job, refusalOf(ErrorKind::NoUpstream, Run::NotRun, "crashed an upstream"),
                 "second-try-elsewhere");
        else if (earliestStart(job) > now)
            delayed.insert(*next);
        else
            startRun(job);
    }
}

auto SidecarNode::State::startRun(Job &job) -> void
{
    job.phase = JobPhase::Running;
    job.startedAt = now;
    ++running;
    ++counted.runs;
    for (const auto &name : job.requestIds)
        startedBefore.put(stableHash(name), true, attemptExpiry(job.notAfter));
    answers.begin(job.run, job.continuedFrom);
    StartRun action;
    action.run = job.run;
    action.request = engineRequest(job.requestIds.front(), fullCustomer(job.terms));
    action.call = std::move(job.call);
    action.priority = job.terms.priority;
    action.chat = job.terms.chat;
    action.remaining = job.notAfter - now;
    action.resumeFrom = job.continuedFrom;
    out.emplace_back(std::move(action));
    if (job.movedFrom != 0 && job.movedFrom != self && job.terms.chat != 0)
        out.emplace_back(SendToUpstreamPeer{job.movedFrom, Moved{job.terms.chat, self}});
}

auto SidecarNode::State::findRunning(RunId run) -> Job *
{
    const auto found = jobs.find(run);
    const auto isRunning = found != jobs.end() && found->second.phase == JobPhase::Running;
    return isRunning ? &found->second : nullptr;
}

auto SidecarNode::State::on(RunHead &event) -> void
{
    auto *job = findRunning(event.run);
    if (job == nullptr)
        return;
    constexpr int found = 200;
    if (job->continued && event.status != found) {
        cancel(*job, refusalOf(ErrorKind::AnswerLost, Run::Unknown, "no such answer"), "not-held");
        return;
    }
    if (job->reconnects > 0) {
        if (event.status != found)
            cancel(*job, lostRunFailure(*job, false), "not-held");
        return;
    }
    job->headKnown = true;
    job->status = event.status;
    job->headers = std::move(event.headers);
    job->warm = event.warm;
    chats.markRun(job->terms.chat, now);
    serve(*job);
}

auto SidecarNode::State::on(RunChunk &event) -> void
{
    auto *job = findRunning(event.run);
    if (job == nullptr)
        return;
    job->headKnown = true;
    handleEvicted(answers.append(event.run, event.data));
    if (job->phase == JobPhase::Running)
        serve(*job);
}

auto SidecarNode::State::on(const RunEnd &event) -> void
{
    auto *job = findRunning(event.run);
    if (job == nullptr)
        return;
    job->headKnown = true;
    job->phase = JobPhase::Complete;
    releaseSlot(*job);
    active.erase(job->run);
    answers.finish(job->run, now);
    if (!job->continued)
        serviceTime.record(now - job->startedAt);
    crashes.clear(job->terms.fingerprint, now);
    finishKey(*job, Run::Ran);
    serve(*job);
    dispatch();
}

auto SidecarNode::State::on(const RunBroken &event) -> void
{
    auto *job = findRunning(event.run);
    if (job == nullptr)
        return;
    releaseSlot(*job);
    job->brokenAt = now;
    job->breakKind = event.how;
    if (event.how == RunBreak::NeverSent) {
        for (const auto &name : job->requestIds)
            startedBefore.erase(stableHash(name));
        fail(*job,
             refusalOf(ErrorKind::UpstreamFailed, Run::NotRun, "cannot connect to the upstream"),
             "never-sent");
    } else if (event.how == RunBreak::Silent && mayReconnect(*job)) {
        reconnect(*job);
    } else if (event.how == RunBreak::Silent) {
        fail(*job, lostRunFailure(*job, false), "silent");
    } else {
        job->phase = JobPhase::Lost;
        handleLostRun(*job);
    }
    dispatch();
}

// A connection can become silent permanently while new ones work. The engine then still has the
// stream, and running the request again would cost twice as much.
auto SidecarNode::State::mayReconnect(const Job &job) const -> bool
{
    const auto isResumable = pool.kind == settings::PoolKind::Model && job.call.stream
        && job.headKnown && !job.isRunOnce() && answers.find(job.run) != nullptr;
    return isResumable && job.reconnects < maxReconnects && job.notAfter > now;
}

auto SidecarNode::State::reconnect(Job &job) -> void
{
    ++job.reconnects;
    ++running;
    job.phase = JobPhase::Running;
    StartRun action;
    action.run = job.run;
    action.request = engineRequest(job.requestIds.front(), fullCustomer(job.terms));
    action.call.stream = true;
    action.priority = job.terms.priority;
    action.chat = job.terms.chat;
    action.remaining = job.notAfter - now;
    action.resumeFrom = answers.find(job.run)->length();
    out.emplace_back(std::move(action));
    logJob("reconnect", job.requestIds.front(), job.terms, "silent");
}

auto SidecarNode::State::fail(Job &job, Failure failure, std::string_view cause) -> void
{
    queue.erase(job.run);
    job.phase = JobPhase::Failed;
    // An earlier incarnation ran the request, whatever happened here. If `NotRun` were reported,
    // the caller would run it a second time.
    if (job.continued && failure.run == Run::NotRun)
        failure.run = Run::Unknown;
    job.failure = std::move(failure);
    active.erase(job.run);
    finishKey(job, job.failure.run);
    countRefusal(job.failure.kind);
    for (const auto &[request, attempt] : job.attempts)
        endedAttempts.put(attemptHash(request, attempt), job.failure.run,
                          attemptExpiry(job.notAfter));
    logJob("fail", job.requestIds.front(), job.terms, cause);
    serve(job);
    // An empty finished answer keeps the job for the lifetime of an answer, so that a resume gets
    // the failure.
    answers.drop(job.run);
    answers.begin(job.run);
    answers.finish(job.run, now);
}

auto SidecarNode::State::cancel(Job &job, Failure failure, std::string_view cause) -> void
{
    out.emplace_back(CancelRun{job.run});
    releaseSlot(job);
    fail(job, std::move(failure), cause);
}

auto SidecarNode::State::releaseSlot(Job &job) -> void
{
    --running;
    crashRuns.erase(job.run);
}

auto SidecarNode::State::checkJobs() -> void
{
    const std::vector<RunId> checked(active.begin(), active.end());
    for (const auto run : checked) {
        auto &job = jobs.at(run);
        if (job.phase == JobPhase::Waiting)
            checkWaiting(job);
        else if (job.phase == JobPhase::Running)
            checkRunning(job);
    }
}

// A request that could meet its deadline on arrival may have been overtaken since. Its caller would
// wait almost until the deadline for a refusal that was certain long before, so the queue is
// reviewed periodically.
auto SidecarNode::State::reviewQueue() -> void
{
    if (now - reviewedAt < reviewInterval || queue.size() > maxReviewedRequests)
        return;
    reviewedAt = now;
    for (const auto &waiting : queue.all()) {
        auto &job = jobs.at(waiting.id);
        // A running request may end at any moment, so one request ahead is not counted. A stream to
        // be continued has run already, so it must not be reported as "not run" here.
        if (!job.continued && !canMeet(waiting, queue.countAhead(waiting) - 1))
            fail(job,
                 refusalOf(ErrorKind::DeadlineUnmeetable, Run::NotRun,
                           "overtaken by other requests"),
                 "overtaken");
    }
}

auto SidecarNode::State::checkWaiting(Job &job) -> void
{
    const auto mean = serviceTime.mean();
    const auto refuses = pool.queueOrder == settings::QueueOrder::DeadlineWithRefusal;
    const auto isUnread =
        job.unreadSince && stallAwareNow - *job.unreadSince >= limits.unreadTimeout;
    if (job.notAfter <= now)
        fail(job, refusalOf(ErrorKind::DeadlineExceeded, Run::NotRun, "waited too long"),
             "deadline");
    else if (now - job.acceptedAt >= pool.queueWait)
        fail(job, refusalOf(ErrorKind::Overloaded, Run::NotRun, "waited too long"), "queue-wait");
    else if (refuses && mean && now + *mean > job.notAfter)
        fail(job, refusalOf(ErrorKind::DeadlineUnmeetable, Run::NotRun, "no time left to run"),
             "unmeetable");
    else if (report && !report->reachable)
        fail(job, refusalOf(ErrorKind::NoUpstream, Run::NotRun, "the upstream is down"), "down");
    else if (isUnread)
        fail(job, refusalOf(ErrorKind::Revoked, Run::NotRun, "no router asked for it"), "unread");
}

auto SidecarNode::State::checkRunning(Job &job) -> void
{
    const auto isUnread =
        job.unreadSince && stallAwareNow - *job.unreadSince >= limits.unreadTimeout;
    if (job.notAfter <= now)
        cancel(job, refusalOf(ErrorKind::DeadlineExceeded, Run::Ran, "deadline passed"),
               "deadline");
    else if (isUnread && !job.isRunOnce())
        cancel(job, refusalOf(ErrorKind::Revoked, Run::Ran, "no router asked for it"), "unread");
}

} // namespace applehatch::core
