#include "sidecar-state.h"

#include <chrono>
#include <utility>

namespace applehatch::core {

namespace {

// Delay from a crash to the second try. Copies that run elsewhere at the time of the crash crash
// first, and their notices arrive.
constexpr Duration secondTryDelay = std::chrono::milliseconds(500);

// In a pool of two no third upstream can be lost, so second tries are not delayed.
constexpr std::size_t maxPoolWithoutDelay = 2;

// A report of the same epoch counts only if it cannot have been in transit before the break.
constexpr Duration reportDelay = std::chrono::milliseconds(300);

// Reports arrive every second. Without one for longer, the break counts as a failure, not a crash.
constexpr Duration lostRunTimeout = std::chrono::milliseconds(1500);

// Breaks within this time after a crash was detected belong to that crash.
constexpr Duration crashWindow = std::chrono::seconds(2);

constexpr std::size_t minLostRunsOfCrash = 2;

} // namespace

auto SidecarNode::State::on(const UpstreamReport &event) -> void
{
    ++reportsSincePause;
    report = event;
    reportAt = now;
    if (!event.reachable) {
        if (!inPhase(JobPhase::Lost).empty())
            declareCrash("unreachable");
        checkJobs();
        return;
    }
    const auto restarted = !epoch.empty() && epoch != event.epoch;
    epoch = event.epoch;
    if (restarted) {
        chats.markAllEvicted();
        if (running != 0 || !inPhase(JobPhase::Lost).empty()) {
            declareCrash("restarted");
            cancelRunning();
        }
    }
    failLostRuns(reportDelay, false);
    if (!fencing.observe(event.fence) && !ordersStopped) {
        ordersStopped = true;
        log(LogLine("orders-stopped").add("fence", static_cast<std::int64_t>(event.fence)));
    }
    dispatch();
    considerOrder();
}

auto SidecarNode::State::inPhase(JobPhase phase) const -> std::vector<RunId>
{
    std::vector<RunId> found;
    for (const auto run : active) {
        if (jobs.at(run).phase == phase)
            found.push_back(run);
    }
    return found;
}

// One broken run may be a failure without a crash; the next report decides. The router is notified
// only then: if it were notified immediately, it could run a crashing request at a third upstream
// before the notices of the first two have spread.
auto SidecarNode::State::handleLostRun(Job &job) -> void
{
    const auto isLate = crashAt && now - *crashAt < crashWindow && crashRuns.contains(job.run);
    if (isLate) {
        recordCrash(job);
        broadcastCrashes();
        failLostRuns(Duration::zero(), true);
        return;
    }
    std::size_t lost = 0;
    for (const auto run : inPhase(JobPhase::Lost)) {
        if (jobs.at(run).breakKind == RunBreak::Lost)
            ++lost;
    }
    if (lost >= minLostRunsOfCrash || (report && !report->reachable))
        declareCrash("lost");
}

auto SidecarNode::State::declareCrash(std::string_view cause) -> void
{
    ++crashSequence;
    ++counted.crashes;
    crashAt = now;
    const auto stillRunning = inPhase(JobPhase::Running);
    crashRuns = {stillRunning.begin(), stillRunning.end()};
    log(LogLine("crash")
            .add("cause", cause)
            .add("sequence", crashSequence)
            .add("running", static_cast<std::int64_t>(stillRunning.size())));
    for (const auto run : inPhase(JobPhase::Lost))
        recordCrash(jobs.at(run));
    broadcastCrashes();
    failLostRuns(Duration::zero(), true);
}

auto SidecarNode::State::recordCrash(const Job &job) -> void
{
    if (job.terms.fingerprint == 0)
        return;
    crashes.apply({job.terms.fingerprint,
                   {self, identity.incarnation},
                   crashSequence,
                   CrashTracker::lifetime},
                  now);
}

// The upstream process restarted: runs of the old process will never be answered.
auto SidecarNode::State::cancelRunning() -> void
{
    const auto stopped = inPhase(JobPhase::Running);
    for (const auto run : stopped)
        recordCrash(jobs.at(run));
    if (!stopped.empty())
        broadcastCrashes();
    for (const auto run : stopped) {
        auto &job = jobs.at(run);
        cancel(job, lostRunFailure(job, true), "crash");
    }
}

auto SidecarNode::State::failLostRuns(Duration brokenFor, bool crashed) -> void
{
    for (const auto run : inPhase(JobPhase::Lost)) {
        auto &job = jobs.at(run);
        if (now - job.brokenAt >= brokenFor)
            fail(job, lostRunFailure(job, crashed), crashed ? "crash" : "broken");
    }
}

auto SidecarNode::State::lostRunFailure(const Job &job, bool crashed) const -> Failure
{
    if (job.continued)
        return refusalOf(ErrorKind::AnswerLost, Run::Unknown, "no such answer");
    if (job.isRunOnce())
        return refusalOf(ErrorKind::OutcomeUnknown, Run::Unknown,
                         "the connection broke; the request may have run");
    if (crashed && crashes.isSuspect(job.terms.fingerprint, now))
        return refusalOf(ErrorKind::CrashSuspect, Run::Ran, "crashed two upstreams");
    if (crashed)
        return refusalOf(ErrorKind::UpstreamCrashed, Run::Ran, "the upstream crashed");
    return refusalOf(ErrorKind::UpstreamFailed, Run::Ran, "the upstream broke off");
}

// After one crash a request gets one more try, at the one upstream that its fingerprint determines.
// If any other upstream accepted it, concurrent repeats would each crash an upstream.
auto SidecarNode::State::secondTryUpstream(Fingerprint fingerprint) const
    -> std::optional<UpstreamId>
{
    const auto crashedAt = crashes.upstreams(fingerprint, now);
    if (crashedAt.empty())
        return std::nullopt;
    auto candidates = pool.members;
    std::erase_if(candidates, [&](const settings::Member &member) {
        return member.id == crashedAt.front() || isUnlisted(member);
    });
    if (candidates.empty())
        return std::nullopt;
    return rendezvousOwner(fingerprint, candidates);
}

// Copies that run at several upstreams at the same time crash each of them. A second try that
// started immediately would crash its own upstream as well.
auto SidecarNode::State::earliestStart(const Job &job) const -> Instant
{
    const auto crashedAt = crashes.lastCrashAt(job.terms.fingerprint, now);
    const auto waits = crashedAt && pool.members.size() > maxPoolWithoutDelay;
    return waits ? *crashedAt + secondTryDelay : now;
}

auto SidecarNode::State::releaseDelayed() -> void
{
    const auto checked = std::exchange(delayed, {});
    for (const auto run : checked) {
        const auto found = jobs.find(run);
        if (found == jobs.end() || found->second.phase != JobPhase::Waiting)
            continue;
        auto &job = found->second;
        if (crashes.isSuspect(job.terms.fingerprint, now))
            fail(job, refusalOf(ErrorKind::CrashSuspect, Run::NotRun, "crashed two upstreams"),
                 "crash-suspect");
        else if (earliestStart(job) > now)
            delayed.insert(run);
        else
            enqueue(job);
    }
}

auto SidecarNode::State::checkLostRuns() -> void
{
    failLostRuns(lostRunTimeout, false);
}

} // namespace applehatch::core
