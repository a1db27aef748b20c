#include "applehatch/core/run-once.h"
#include "sidecar-state.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

constexpr Duration maxAttemptLifetime = std::chrono::hours(24);

auto holds(const std::vector<std::string> &models, const std::string &model) -> bool
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

auto SidecarNode::State::submit(LinkId link, Submit &&message) -> void
{
    ++counted.submitted;
    applyEntries(std::move(message.loads));
    if (attachKnown(link, message) || submitKey(link, message))
        return;
    // The history is checked first: a late duplicate of a request that ran must not be reported as
    // "not run" because it is late.
    auto rejection = checkHistory(message);
    if (!rejection)
        rejection = checkAddress(message);
    if (!rejection)
        rejection = checkKeyOwner(message);
    if (!rejection)
        rejection = checkPlace(message);
    if (!rejection)
        rejection = checkLoad(message);
    if (rejection)
        reject(link, message, *rejection);
    else
        accept(link, std::move(message));
}

// A duplicate of a known request is attached to it and must never run a second time.
auto SidecarNode::State::attachKnown(LinkId link, const Submit &message) -> bool
{
    if (const auto *ended =
            endedAttempts.find(attemptHash(message.request, message.attempt), now)) {
        reject(link, message,
               {refusalOf(ErrorKind::Revoked, *ended, "attempt is over"), 0, "over"});
        return true;
    }
    auto *job = findJob(message.request);
    if (job == nullptr)
        return false;
    if (fullCustomer(job->terms) != fullCustomer(message.terms)) {
        reject(link, message,
               {refusalOf(ErrorKind::AnswerLost, Run::Unknown, "no such answer"), 0, "customer"});
        return true;
    }
    const auto isOlder = [&](const auto &known) { return known.second < message.attempt; };
    const auto isRetry = std::all_of(job->attempts.begin(), job->attempts.end(), isOlder);
    const auto mayRerun = !job->isRunOnce() || job->failure.run == Run::NotRun;
    if (job->phase == JobPhase::Failed && isRetry && mayRerun) {
        forgetJob(job->run);
        startedBefore.erase(stableHash(message.request));
        return false;
    }
    attach(link, message, *job, "duplicate");
    return true;
}

auto SidecarNode::State::attach(LinkId link, const Submit &message, Job &job,
                                std::string_view cause) -> void
{
    job.attempts.emplace_back(message.request, message.attempt);
    // The attempt gets the failure of the job that it joins, so it must be equally final.
    if (job.phase == JobPhase::Failed)
        endedAttempts.put(attemptHash(message.request, message.attempt), job.failure.run,
                          attemptExpiry(message.notAfter));
    logJob("attach", message.request, message.terms, cause);
    Reader reader{link, message.request, message.attempt};
    reader.replayed = !job.isActive();
    addReader(job, std::move(reader));
}

auto SidecarNode::State::checkAddress(const Submit &message) const -> std::optional<Rejection>
{
    if (message.target != 0 && message.target != identity.incarnation) {
        // A ticket may have run in the incarnation that it names, unless its caller never sent it.
        const auto mayHaveRun =
            ticketKeyExpiry(message.terms.idempotencyKey) && !message.terms.firstSend;
        if (mayHaveRun)
            return Rejection{refusalOf(ErrorKind::OutcomeUnknown, Run::Unknown,
                                       "the ticket's incarnation has ended"),
                             0, "ticket-life"};
        return Rejection{refusalOf(ErrorKind::StaleIncarnation, Run::NotRun,
                                   "addressed to an earlier incarnation"),
                         0, "incarnation"};
    }
    if (message.notAfter <= now)
        return Rejection{refusalOf(ErrorKind::DeadlineExceeded, Run::NotRun, "arrived too late"), 0,
                         "deadline"};
    if (!settings)
        return Rejection{refusalOf(ErrorKind::NotReady, Run::NotRun, "no settings yet"), 0,
                         "settings"};
    if (message.terms.team != identity.team || message.terms.pool != identity.pool)
        return Rejection{
            refusalOf(ErrorKind::NoUpstream, Run::NotRun, "the upstream is in another pool"), 0,
            "pool"};
    return std::nullopt;
}

auto SidecarNode::State::checkHistory(const Submit &message) const -> std::optional<Rejection>
{
    if (startedBefore.find(stableHash(message.request), now) != nullptr)
        return Rejection{
            refusalOf(ErrorKind::AnswerLost, Run::Ran, "ran before; its answer was discarded"), 0,
            "ran-before"};
    if (crashes.isSuspect(message.terms.fingerprint, now))
        return Rejection{refusalOf(ErrorKind::CrashSuspect, Run::NotRun, "crashed two upstreams"),
                         0, "crash-suspect"};
    return checkSecondTry(message);
}

auto SidecarNode::State::checkSecondTry(const Submit &message) const -> std::optional<Rejection>
{
    const auto second = secondTryUpstream(message.terms.fingerprint);
    if (!second || *second == self)
        return std::nullopt;
    return Rejection{refusalOf(ErrorKind::NoUpstream, Run::NotRun, "crashed an upstream"), *second,
                     "second-try-elsewhere"};
}

auto SidecarNode::State::checkPlace(const Submit &message) const -> std::optional<Rejection>
{
    const auto &terms = message.terms;
    const auto holder = servingHolder(terms.chat);
    if (isLeaving())
        return Rejection{refusalOf(ErrorKind::UpstreamLeaving, Run::NotRun, "leaving"), holder,
                         "leaving"};
    const auto state = upstreamState();
    if (state != UpstreamState::Serving)
        return Rejection{refusalOf(ErrorKind::NoUpstream, Run::NotRun,
                                   "the upstream is " + std::string(stateName(state))),
                         holder, std::string(stateName(state))};
    if (!terms.model.empty() && !report->models.empty() && !holds(report->models, terms.model))
        return Rejection{refusalOf(ErrorKind::NoUpstream, Run::NotRun, "model is not loaded"), 0,
                         "model"};
    if (holder == 0 || chats.isWarm(terms.chat, now) || message.movedFrom != 0
        || redirected.find(stableHash(message.request), now) != nullptr)
        return std::nullopt;
    return Rejection{refusalOf(ErrorKind::Overloaded, Run::NotRun, "the chat context moved"),
                     holder, "moved"};
}

// A chat redirected to its context at an upstream that is leaving would be refused there as well
// and have used up its retry: its caller would be refused while other upstreams have room.
auto SidecarNode::State::servingHolder(ChatKey chat) const -> UpstreamId
{
    const auto holder = chats.holder(chat, now);
    const auto entry = loads.find(holder, now);
    return entry && entry->state == UpstreamState::Serving ? holder : 0;
}

auto SidecarNode::State::checkLoad(const Submit &message) const -> std::optional<Rejection>
{
    const auto &terms = message.terms;
    const auto holder = servingHolder(terms.chat);
    const auto *customer = customerOf(terms);
    const auto limit = customer == nullptr ? 0 : customer->inFlightLimit;
    const auto waitsForContext = mayWaitForContext(message, customer);
    if (limit != 0 && inFlightOf(terms) >= limit && !waitsForContext)
        return Rejection{
            refusalOf(ErrorKind::CustomerLimit, Run::NotRun, "customer is at its limit here"),
            holder, "customer-limit"};
    const auto isFull = load() + 1 > bound();
    if (isFull && !message.mayWait && !waitsForContext)
        return Rejection{refusalOf(ErrorKind::Overloaded, Run::NotRun, "at its bound"), holder,
                         "bound"};
    if (!isFull && running < slots && queue.size() == 0)
        return std::nullopt;
    if (queue.size() >= pool.queueLimit)
        return Rejection{refusalOf(ErrorKind::Overloaded, Run::NotRun, "queue is full"), holder,
                         "queue-full"};
    const auto waiting = asWaiting(terms, message.notAfter);
    if (canMeet(waiting, queue.countAhead(waiting)))
        return std::nullopt;
    return Rejection{
        refusalOf(ErrorKind::DeadlineUnmeetable, Run::NotRun, "the queue outlasts the deadline"),
        holder, "unmeetable"};
}

// Future requests of higher priority will run first too. If they take nearly all slots, a short
// queue does not imply a short wait: its last request would be refused only when its deadline
// passes.
auto SidecarNode::State::canMeet(const Waiting &waiting, double ahead) const -> bool
{
    const auto mean = serviceTime.mean();
    if (pool.queueOrder != settings::QueueOrder::DeadlineWithRefusal || !mean)
        return true;
    const auto runTime = std::chrono::duration<double>(*mean).count();
    const auto taken = arrivals.above(waiting.priority, now) * runTime / std::max(1U, slots);
    const auto wait = expectedWait({ahead, slots, taken}, *mean);
    return now + wait + *mean <= waiting.deadline;
}

// A chat that moves must compute its whole context again, and its request still takes a slot at
// another upstream. The request waits here while that is the shorter delay; the running requests
// stay within the bound.
auto SidecarNode::State::mayWaitForContext(const Submit &message,
                                           const settings::Customer *customer) const -> bool
{
    const auto &terms = message.terms;
    const auto mean = serviceTime.mean();
    if (!mean || pool.maxOwnerWait <= Duration::zero() || !chats.isWarm(terms.chat, now))
        return false;
    const auto places = std::min(slots, runningBound());
    const auto ahead = queue.countAhead(asWaiting(terms, message.notAfter));
    auto wait = expectedWait({ahead, places}, *mean);
    if (customer != nullptr && customer->inFlightLimit != 0) {
        const auto limit = customer->inFlightLimit;
        const auto inFlight = inFlightOf(terms);
        if (inFlight >= limit)
            wait =
                std::max(wait, expectedWait({static_cast<double>(inFlight - limit), limit}, *mean));
    }
    return wait <= pool.maxOwnerWait;
}

auto SidecarNode::State::bound() const -> std::uint32_t
{
    return admissionBound(pool, wholePoolLoad(view(), loads, sums, now), slots);
}

// Requests that wait beyond the bound start when other upstreams run more. Waiting requests do not
// count towards this mean, or a queue would raise the bound that limits it.
auto SidecarNode::State::runningBound() const -> std::uint32_t
{
    auto runningLoad = wholePoolLoad(view(), loads, sums, now);
    runningLoad.load = runningLoad.running;
    return std::max(1U, admissionBound(pool, runningLoad, slots));
}

auto SidecarNode::State::customerOf(const Terms &terms) const -> const settings::Customer *
{
    const auto team =
        settings ? settings->teams.find(terms.team) : decltype(settings->teams.end()){};
    if (!settings || team == settings->teams.end())
        return nullptr;
    const auto customer = team->second->customers.find(terms.customer);
    return customer == team->second->customers.end() ? nullptr : &customer->second;
}

auto SidecarNode::State::inFlightOf(const Terms &terms) const -> std::uint32_t
{
    std::uint32_t count = 0;
    for (const auto run : active) {
        if (jobs.at(run).terms.customer == terms.customer)
            ++count;
    }
    return count;
}

// Requests that wait here for their customer's limit must not start beyond the limit.
auto SidecarNode::State::customersAtLimit() const -> std::set<std::string>
{
    std::set<std::string> full;
    if (!settings)
        return full;
    std::map<std::string, std::uint32_t> started;
    for (const auto run : active) {
        const auto &job = jobs.at(run);
        if (job.phase == JobPhase::Waiting)
            continue;
        const auto *customer = customerOf(job.terms);
        const auto count = ++started[job.terms.customer];
        if (customer != nullptr && customer->inFlightLimit != 0 && count >= customer->inFlightLimit)
            full.insert(job.terms.customer);
    }
    return full;
}

auto SidecarNode::State::asWaiting(const Terms &terms, Instant notAfter) const -> Waiting
{
    const auto *customer = customerOf(terms);
    const auto weight = customer == nullptr ? 1.0 : customer->weight;
    return {0, terms.customer, weight, terms.priority, notAfter, now};
}

auto SidecarNode::State::accept(LinkId link, Submit &&message) -> void
{
    const auto run = ++lastRun;
    const auto keyName =
        message.terms.idempotencyKey.empty() ? std::string() : RunOnceTable::nameOf(message.terms);
    if (!keyName.empty() && !keys.begin(keyName, message.terms.fingerprint, run, now)) {
        // Forgetting a live key for this one would let that key run twice.
        reject(link, message,
               {refusalOf(ErrorKind::Overloaded, Run::NotRun, "table of keys is full"), 0,
                "keys-full"});
        return;
    }
    auto &job = jobs[run];
    job.run = run;
    job.keyName = keyName;
    job.requestIds = {message.request};
    job.attempts = {{message.request, message.attempt}};
    job.notAfter = message.notAfter;
    job.movedFrom = message.movedFrom;
    job.acceptedAt = now;
    job.terms = std::move(message.terms);
    job.call = std::move(message.call);
    byRequest[message.request] = run;
    active.insert(run);
    const auto isDelayed = earliestStart(job) > now;
    const auto mustWait = isDelayed || running >= slots || queue.size() != 0;
    if (isDelayed)
        delayed.insert(run);
    else
        enqueue(job);
    logJob(mustWait ? "queue" : "admit", message.request, job.terms,
           job.movedFrom != 0 ? "moved-here" : "submit");
    addReader(job, {link, message.request, message.attempt});
    dispatch();
}

auto SidecarNode::State::enqueue(const Job &job) -> void
{
    auto waiting = asWaiting(job.terms, job.notAfter);
    waiting.id = job.run;
    queue.push(waiting, pool.queueOrder);
    arrivals.record(waiting.priority, now);
}

auto SidecarNode::State::reject(LinkId link, const Submit &message, const Rejection &rejection)
    -> void
{
    // "Not run" may be reported to the caller from now on, so a late duplicate must not run either.
    if (findJob(message.request) == nullptr)
        endedAttempts.put(attemptHash(message.request, message.attempt), rejection.failure.run,
                          attemptExpiry(message.notAfter));
    countRefusal(rejection.failure.kind);
    if (rejection.redirect != 0) {
        ++counted.redirects;
        redirected.put(stableHash(message.request), true, attemptExpiry());
    }
    logJob(rejection.redirect != 0 ? "redirect" : "refuse", message.request, message.terms,
           rejection.cause);
    send(link,
         Refusal{message.request, message.attempt, rejection.failure, rejection.redirect,
                 betterCandidates(view(), loads, carriedEntries, now)});
}

auto SidecarNode::State::countRefusal(ErrorKind kind) -> void
{
    if (kind == ErrorKind::Overloaded || kind == ErrorKind::CustomerLimit)
        ++counted.refusedBound;
    else if (kind == ErrorKind::DeadlineUnmeetable || kind == ErrorKind::DeadlineExceeded)
        ++counted.refusedDeadline;
    else if (kind == ErrorKind::CrashSuspect)
        ++counted.refusedCrash;
    else if (kind == ErrorKind::UpstreamLeaving)
        ++counted.refusedLeaving;
}

auto SidecarNode::State::refusalOf(ErrorKind kind, Run run, std::string detail) const -> Failure
{
    return {kind, run, std::move(detail), retryAfterFor(backlog(), serviceTime.mean())};
}

// Returns until when an attempt is stored: until no message about it can be in transit any more.
// New settings may have reduced the maximum deadline since the attempt was sent.
auto SidecarNode::State::attemptExpiry(Instant notAfter) const -> Instant
{
    const auto latest = std::min(notAfter, now + maxAttemptLifetime);
    return std::max(now + 2 * pool.maxDeadline, latest + pool.maxDeadline);
}

} // namespace applehatch::core
