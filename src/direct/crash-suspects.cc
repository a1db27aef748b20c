#include "applehatch/direct/crash-suspects.h"

#include <algorithm>

namespace applehatch::direct {

namespace {

// Appends up to `room` of `reports`, beginning at `offset`, which it moves on.
auto appendByTurns(const std::vector<CrashReport> &reports, std::size_t room, std::size_t &offset,
                   std::vector<CrashReport> &into) -> void
{
    const auto count = std::min(room, reports.size());
    for (std::size_t i = 0; i < count; ++i)
        into.push_back(reports[(offset + i) % reports.size()]);
    offset += count;
}

} // namespace

auto CrashSuspects::noteBreak(Fingerprint fingerprint, UpstreamId upstream, Instant now) -> bool
{
    const auto sharedACrash = isTrusted(fingerprint, now);
    served_.erase(fingerprint);
    refutations_.noteBreak(upstream, now, now);
    if (sharedACrash)
        return false;
    add(fingerprint, {upstream, now, now, true}, now);
    return true;
}

auto CrashSuspects::noteServed(Fingerprint fingerprint, Instant now) -> void
{
    const auto *served = served_.find(fingerprint, now);
    served_.put(fingerprint, (served == nullptr ? 0 : *served) + 1, now + lifetime);
}

auto CrashSuspects::isTrusted(Fingerprint fingerprint, Instant now) const -> bool
{
    const auto *served = served_.find(fingerprint, now);
    return served != nullptr && *served >= servesToTrust;
}

auto CrashSuspects::noteAnswered(UpstreamId upstream, Instant sentAt, Instant now) -> bool
{
    return refutations_.noteAnswered(upstream, sentAt, now);
}

auto CrashSuspects::notePeer(const CrashReport &report, Instant now) -> bool
{
    // Routers that count crashes by reporter name no upstream; such a report cannot be refuted.
    if (report.upstream == 0 || report.age < Duration(0) || report.age >= lifetime)
        return false;
    const auto *breaks = find(report.fingerprint, now);
    const auto isKnown = breaks != nullptr
        && std::any_of(breaks->begin(), breaks->end(),
                       [&](const Break &known) { return known.upstream == report.upstream; });
    if (isKnown)
        return false;
    add(report.fingerprint, {report.upstream, now - report.age, now, false}, now);
    return true;
}

auto CrashSuspects::find(Fingerprint fingerprint, Instant now) const -> const Breaks *
{
    for (const auto &requests : requests_) {
        if (const auto *breaks = requests.find(fingerprint, now))
            return breaks;
    }
    return nullptr;
}

auto CrashSuspects::add(Fingerprint fingerprint, const Break &added, Instant now) -> void
{
    const auto *known = find(fingerprint, now);
    auto breaks = known == nullptr ? Breaks() : *known;
    std::erase_if(breaks, [&](const Break &old) { return old.upstream == added.upstream; });
    breaks.push_back(added);
    if (breaks.size() > maxBreaks)
        breaks.erase(breaks.begin());
    for (auto &requests : requests_)
        requests.erase(fingerprint);
    const auto index = std::min(breaks.size(), crashLimit) - 1;
    requests_[index].put(fingerprint, std::move(breaks), now + lifetime);
    refutations_.noteBreak(added.upstream, added.at, now);
}

auto CrashSuspects::counts(const Break &known, Instant now) const -> bool
{
    return !refutations_.isRefuted(known.upstream, known.at, now) && now - known.at < lifetime;
}

auto CrashSuspects::crashes(Fingerprint fingerprint, Instant now) const -> std::size_t
{
    const auto *breaks = find(fingerprint, now);
    if (breaks == nullptr)
        return 0;
    const auto count = std::count_if(breaks->begin(), breaks->end(),
                                     [&](const Break &known) { return counts(known, now); });
    return static_cast<std::size_t>(count);
}

auto CrashSuspects::isInCarefulTime(const Break &known) const -> bool
{
    return memoryBegan_ && known.at >= *memoryBegan_ && known.at < *memoryBegan_ + carefulTime;
}

auto CrashSuspects::isSuspect(Fingerprint fingerprint, Instant now,
                              const IsExplained &isExplained) const -> bool
{
    const auto *breaks = find(fingerprint, now);
    if (breaks == nullptr)
        return false;
    std::size_t total = 0;
    std::size_t counted = 0;
    std::size_t inCarefulTime = 0;
    for (const auto &known : *breaks) {
        if (!counts(known, now))
            continue;
        ++total;
        if (isExplained && isExplained(known.upstream))
            continue;
        ++counted;
        if (isInCarefulTime(known))
            ++inCarefulTime;
    }
    return counted >= crashLimit || inCarefulTime >= carefulCrashLimit
        || total >= explainedCrashLimit;
}

auto CrashSuspects::memoryAge(Instant now) const -> Duration
{
    return memoryBegan_ ? std::clamp(now - *memoryBegan_, Duration(0), lifetime) : lifetime;
}

auto CrashSuspects::memory(Instant now) const -> CrashMemory
{
    CrashMemory memory{memoryAge(now), repeatedCrashes(now), {}};
    const auto &requests = requests_.front();
    for (const auto fingerprint : requests.newest(capacity)) {
        if (memory.reports.size() >= maxMemoryReports)
            break;
        if (const auto *breaks = requests.find(fingerprint, now))
            appendReports(fingerprint, *breaks, now, memory.reports);
    }
    if (memory.reports.size() > maxMemoryReports)
        memory.reports.resize(maxMemoryReports);
    return memory;
}

auto CrashSuspects::adopt(const CrashMemory &memory, Instant now) -> void
{
    for (const auto &report : memory.reports)
        notePeer(report, now);
    const auto age = std::clamp(memory.age, Duration(0), lifetime);
    if (memoryBegan_)
        memoryBegan_ = std::min(*memoryBegan_, now - age);
}

auto CrashSuspects::appendReports(Fingerprint fingerprint, const Breaks &breaks, Instant now,
                                  std::vector<CrashReport> &reports) const -> void
{
    const auto own = std::count_if(breaks.begin(), breaks.end(), [&](const Break &known) {
        return known.own && counts(known, now);
    });
    std::size_t appended = 0;
    for (auto known = breaks.rbegin(); known != breaks.rend() && appended < crashLimit; ++known) {
        if (!counts(*known, now))
            continue;
        reports.push_back(
            {fingerprint, known->upstream, now - known->at, static_cast<std::uint32_t>(own)});
        ++appended;
    }
}

auto CrashSuspects::repeatedCrashes(Instant now) const -> std::vector<CrashReport>
{
    std::vector<CrashReport> reports;
    for (auto requests = requests_.rbegin(); requests + 1 != requests_.rend(); ++requests) {
        for (const auto fingerprint : requests->newest(capacity)) {
            if (const auto *breaks = requests->find(fingerprint, now))
                appendReports(fingerprint, *breaks, now, reports);
        }
    }
    return reports;
}

auto CrashSuspects::recentCrashes(Instant now) const -> std::vector<CrashReport>
{
    std::vector<CrashReport> reports;
    const auto &requests = requests_.front();
    for (const auto fingerprint : requests.newest(capacity)) {
        const auto *breaks = requests.find(fingerprint, now);
        if (breaks == nullptr || now - breaks->back().learnedAt >= reportWindow)
            break;
        appendReports(fingerprint, *breaks, now, reports);
    }
    return reports;
}

auto CrashSuspects::nextReports(Instant now) -> std::vector<CrashReport>
{
    std::vector<CrashReport> reports;
    appendByTurns(repeatedCrashes(now), maxRepeatedReports, repeatedOffset_, reports);
    appendByTurns(recentCrashes(now), maxReports - reports.size(), recentOffset_, reports);
    return reports;
}

} // namespace applehatch::direct
