#include "applehatch/core/run-once.h"
#include "sidecar-state.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

// A ticket is stored until it expires, so its lifetime must be limited.
constexpr Duration maxTicketLifetime = std::chrono::hours(1);

} // namespace

// A known key is answered from the table, before any other check.
auto SidecarNode::State::submitKey(LinkId link, const Submit &message) -> bool
{
    if (message.terms.idempotencyKey.empty())
        return false;
    const auto *entry = keys.find(RunOnceTable::nameOf(message.terms));
    if (entry == nullptr)
        return false;
    if (entry->fingerprint != message.terms.fingerprint) {
        reject(link, message,
               {refusalOf(ErrorKind::KeyReused, Run::NotRun, "key was used with another request"),
                0, "key-reused"});
        return true;
    }
    if (entry->state == RunOnceEntry::State::Unknown) {
        reject(link, message,
               {refusalOf(ErrorKind::OutcomeUnknown, Run::Unknown, "the key may have run"), 0,
                "key-unknown"});
        return true;
    }
    const auto found = jobs.find(entry->run);
    if (found == jobs.end()) {
        replay(link, message, *entry);
        return true;
    }
    auto &job = found->second;
    job.requestIds.push_back(message.request);
    byRequest[message.request] = job.run;
    if (job.phase != JobPhase::Waiting)
        startedBefore.put(stableHash(message.request), true, attemptExpiry(message.notAfter));
    if (!job.isActive())
        ++counted.replays;
    attach(link, message, job, "key");
    return true;
}

auto SidecarNode::State::checkKeyOwner(const Submit &message) const -> std::optional<Rejection>
{
    const auto &terms = message.terms;
    if (terms.idempotencyKey.empty())
        return std::nullopt;
    if (const auto expires = ticketKeyExpiry(terms.idempotencyKey)) {
        if (message.target == 0 || *expires > now + maxTicketLifetime)
            return Rejection{refusalOf(ErrorKind::BadRequest, Run::NotRun, "invalid ticket"), 0,
                             "ticket"};
        if (*expires > now)
            return std::nullopt;
        // The entry of the ticket may have been dropped when it expired.
        const auto run = terms.firstSend ? Run::NotRun : Run::Unknown;
        return Rejection{refusalOf(ErrorKind::TicketExpired, run, "ticket has expired"), 0,
                         "ticket-expired"};
    }
    const auto hash = runOnceHash(terms);
    const auto owner = rendezvousOwner(hash, pool.members);
    if (owner != self)
        return Rejection{
            refusalOf(ErrorKind::NoUpstream, Run::NotRun, "key is owned by another upstream"),
            owner, "key-owner"};
    if (terms.firstSend)
        return std::nullopt;
    // Within the window the key may have run at an earlier owner or in an earlier incarnation,
    // which cannot be queried.
    auto openAt = initializedAt + pool.resendWindow;
    for (const auto &past : pastMembers) {
        if (rendezvousOwner(hash, past.members) != self)
            openAt = std::max(openAt, past.until);
    }
    if (openAt <= now)
        return std::nullopt;
    auto failure = refusalOf(ErrorKind::ResendWindow, Run::Unknown, "key may have run before");
    failure.retryAfter = openAt - now;
    return Rejection{std::move(failure), 0, "resend-window"};
}

auto SidecarNode::State::keyLifetime(const Job &job) const -> Instant
{
    const auto expires = ticketKeyExpiry(job.terms.idempotencyKey).value_or(Instant{});
    return std::max(now + pool.resendWindow, expires);
}

auto SidecarNode::State::replay(LinkId link, const Submit &message, const RunOnceEntry &entry)
    -> void
{
    if (!entry.answer) {
        reject(link, message,
               {refusalOf(ErrorKind::AnswerLost, Run::Ran, "the recorded answer was discarded"), 0,
                "record-gone"});
        return;
    }
    ++counted.replays;
    const auto answer = entry.answer;
    const auto run = ++lastRun;
    auto &job = jobs[run];
    job.run = run;
    job.phase = JobPhase::Complete;
    job.terms = message.terms;
    job.requestIds = {message.request};
    job.attempts = {{message.request, message.attempt}};
    job.headKnown = true;
    job.replayed = true;
    job.status = answer->status;
    job.headers = answer->headers;
    byRequest[message.request] = run;
    answers.begin(run);
    const auto dropped = answers.append(run, answer->body);
    answers.finish(run, now);
    logJob("replay", message.request, message.terms, "key");
    addReader(job, {link, message.request, message.attempt});
    handleEvicted(dropped);
}

auto SidecarNode::State::finishKey(const Job &job, Run run) -> void
{
    if (!job.isKeyed())
        return;
    if (run == Run::NotRun) {
        keys.forget(job.keyName);
        return;
    }
    const auto *answer = answers.find(job.run);
    const auto isComplete =
        job.phase == JobPhase::Complete && answer != nullptr && answer->base() == 0;
    if (!isComplete) {
        keys.markUnknown(job.keyName, keyLifetime(job));
        return;
    }
    keys.record(job.keyName, {job.status, job.headers, std::string(answer->from(0))},
                keyLifetime(job));
}

} // namespace applehatch::core
