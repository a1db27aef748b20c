#include "sidecar-state.h"

#include <algorithm>
#include <string>

namespace applehatch::core {

namespace {

// Returns the last attempt of `request`. A job may have several requests, and a refusal must not
// name the attempt of another one.
auto lastAttempt(const Job &job, const RequestId &request) -> std::uint32_t
{
    std::uint32_t last = 0;
    for (const auto &[name, attempt] : job.attempts) {
        if (name == request)
            last = std::max(last, attempt);
    }
    return last;
}

} // namespace

auto SidecarNode::State::findJob(const RequestId &request) -> Job *
{
    const auto found = byRequest.find(request);
    return found == byRequest.end() ? nullptr : &jobs.at(found->second);
}

auto SidecarNode::State::addReader(Job &job, Reader reader) -> void
{
    std::erase_if(job.readers, [&](const Reader &other) {
        return other.link == reader.link && other.request == reader.request;
    });
    job.readers.push_back(std::move(reader));
    job.unreadSince.reset();
    serve(job);
}

auto SidecarNode::State::serve(Job &job) -> void
{
    std::erase_if(job.readers, [&](Reader &reader) { return serveReader(job, reader); });
}

// Returns true once the reader was sent the end of the answer or a refusal.
auto SidecarNode::State::serveReader(Job &job, Reader &reader) -> bool
{
    if (job.phase == JobPhase::Failed) {
        send(reader.link,
             Refusal{reader.request, reader.attempt, job.failure, 0,
                     betterCandidates(view(), loads, carriedEntries, now)});
        return true;
    }
    const auto *answer = answers.find(job.run);
    if (!job.headKnown || answer == nullptr)
        return false;
    if (reader.next < answer->base()) {
        send(reader.link,
             Refusal{reader.request, reader.attempt,
                     refusalOf(ErrorKind::AnswerLost, Run::Ran,
                               "the beginning of the answer was discarded"),
                     0, freshestFrom(self, loads, carriedEntries, now)});
        return true;
    }
    if (!reader.headSent)
        send(reader.link,
             Head{reader.request, reader.attempt, job.status, job.headers,
                  job.replayed || reader.replayed, job.warm});
    reader.headSent = true;
    sendBytes(*answer, reader);
    if (job.phase != JobPhase::Complete)
        return false;
    send(reader.link,
         End{reader.request, answer->length(), answer->hash(),
             freshestFrom(self, loads, carriedEntries, now)});
    return true;
}

auto SidecarNode::State::sendBytes(const StoredAnswer &answer, Reader &reader) -> void
{
    auto rest = answer.from(reader.next);
    while (!rest.empty()) {
        const auto part = rest.substr(0, chunkBytes);
        send(reader.link, Chunk{reader.request, reader.next, std::string(part)});
        reader.next += part.size();
        rest.remove_prefix(part.size());
    }
}

auto SidecarNode::State::resume(LinkId link, const Resume &message) -> void
{
    auto *job = findJob(message.request);
    if (job != nullptr && fullCustomer(job->terms) == message.customer) {
        logJob("resume", message.request, job->terms, "asked");
        answers.acknowledge(job->run, message.offset);
        Reader reader{link, message.request, lastAttempt(*job, message.request), message.offset};
        reader.resumed = true;
        addReader(*job, std::move(reader));
        return;
    }
    const auto isGone =
        job != nullptr || startedBefore.find(stableHash(message.request), now) != nullptr;
    const auto mayBeAtEngine = pool.kind == settings::PoolKind::Model && settings;
    if (!isGone && mayBeAtEngine && queue.size() < pool.queueLimit) {
        continueStream(link, message);
        return;
    }
    // The message is the same for an answer of another customer and for none, so that it does not
    // reveal which answers exist.
    send(link,
         Refusal{message.request, 0,
                 refusalOf(ErrorKind::AnswerLost, Run::Unknown, "no such answer"), 0,
                 freshestFrom(self, loads, carriedEntries, now)});
}

// The engine may still have the stream of a request that an earlier incarnation of this sidecar
// started.
auto SidecarNode::State::continueStream(LinkId link, const Resume &message) -> void
{
    const auto run = ++lastRun;
    const auto slash = message.customer.find('/');
    auto &job = jobs[run];
    job.run = run;
    job.requestIds = {message.request};
    job.notAfter = now + pool.maxDeadline;
    job.acceptedAt = now;
    job.continued = true;
    job.continuedFrom = message.offset;
    job.terms.team = message.customer.substr(0, slash);
    job.terms.customer = slash == std::string::npos ? "" : message.customer.substr(slash + 1);
    byRequest[message.request] = run;
    active.insert(run);
    auto waiting = asWaiting(job.terms, job.notAfter);
    waiting.id = run;
    queue.push(waiting, pool.queueOrder);
    logJob("admit", message.request, job.terms, "continue");
    addReader(job, {link, message.request, 0, message.offset});
    dispatch();
}

auto SidecarNode::State::acknowledge(const Acknowledge &message) -> void
{
    auto *job = findJob(message.request);
    if (job == nullptr)
        return;
    answers.acknowledge(job->run, message.offset);
    if (message.finished && !job->isActive() && job->readers.empty())
        forgetJob(job->run);
}

auto SidecarNode::State::revoke(LinkId link, const Revoke &message) -> void
{
    auto *job = findJob(message.request);
    const auto isOfJob =
        job != nullptr
        && std::any_of(job->attempts.begin(), job->attempts.end(), [&](const auto &known) {
               return known.first == message.request && known.second == message.attempt;
           });
    const auto run = isOfJob ? revokeJob(*job, link, message) : revokeUnknown(message);
    endedAttempts.put(attemptHash(message.request, message.attempt), run, attemptExpiry());
    log(LogLine("revoke").add("request", message.request).add("run", runName(run)));
    send(link, Revoked{message.request, message.attempt, run});
    dispatch();
}

// A router revokes a stream 10 s after its caller disconnected. The caller may have resumed it with
// the same request id through another router; removing that reader too would lose the rest of the
// answer.
auto SidecarNode::State::revokeJob(Job &job, LinkId link, const Revoke &message) -> Run
{
    std::erase_if(job.readers, [&](const Reader &reader) {
        const auto isOfAnother = reader.resumed && reader.link != link;
        return !isOfAnother && reader.request == message.request
            && reader.attempt == message.attempt;
    });
    if (job.phase == JobPhase::Complete)
        return Run::Ran;
    if (job.phase == JobPhase::Failed)
        return job.failure.run;
    // Another router or another request with the same key still reads the answer.
    if (!job.readers.empty())
        return Run::Unknown;
    if (job.phase == JobPhase::Waiting) {
        fail(job, refusalOf(ErrorKind::Revoked, Run::NotRun, "revoked"), "revoked");
        return Run::NotRun;
    }
    // The outcome of a cancelled run-once request would remain unknown forever. It is left to
    // finish and is recorded, so that the next request with its key is answered.
    if (job.phase == JobPhase::Running && !job.isRunOnce())
        cancel(job, refusalOf(ErrorKind::Revoked, Run::Unknown, "revoked"), "revoked");
    job.unreadSince = stallAwareNow;
    return Run::Unknown;
}

auto SidecarNode::State::revokeUnknown(const Revoke &message) -> Run
{
    if (const auto *ended = endedAttempts.find(attemptHash(message.request, message.attempt), now))
        return *ended;
    if (startedBefore.find(stableHash(message.request), now) != nullptr)
        return Run::Ran;
    // The record of the attempt may have been evicted, or it may have run in an earlier
    // incarnation.
    const auto mayBeForgotten =
        startedBefore.forgottenUntil() > now || endedAttempts.forgottenUntil() > now;
    const auto isOurs = message.target == identity.incarnation;
    const auto isOldEnough = message.target == 0 && now - initializedAt >= 2 * pool.maxDeadline;
    return !mayBeForgotten && (isOurs || isOldEnough) ? Run::NotRun : Run::Unknown;
}

// The answer store evicted the answers of `runs`: finished jobs are removed, active ones fail.
auto SidecarNode::State::handleEvicted(const std::vector<RunId> &runs) -> void
{
    for (const auto run : runs) {
        const auto found = jobs.find(run);
        if (found == jobs.end())
            continue;
        auto &job = found->second;
        const auto failure =
            refusalOf(ErrorKind::AnswerLost, Run::Ran, "evicted to stay within the byte limits");
        if (job.phase == JobPhase::Running)
            cancel(job, failure, "answer-bytes");
        else if (job.phase == JobPhase::Lost)
            fail(job, failure, "answer-bytes");
        else
            forgetJob(run);
    }
}

auto SidecarNode::State::forgetJob(RunId run) -> void
{
    const auto found = jobs.find(run);
    if (found == jobs.end())
        return;
    for (const auto &name : found->second.requestIds)
        byRequest.erase(name);
    answers.drop(run);
    active.erase(run);
    jobs.erase(found);
}

} // namespace applehatch::core
