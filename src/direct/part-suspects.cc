#include "applehatch/direct/part-suspects.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

namespace {

// Whether `added` tells more of a crash than what is known. Of the requests that one crash broke
// off, the one that was sent last most likely caused it; where times do not tell, all routers
// choose the same. Of reports of one request the least delayed is exact.
auto replaces(const PartBreak &added, const PartBreak &known, Duration uncertainty) -> bool
{
    if (added.request == known.request)
        return added.at < known.at;
    if (added.sentAt > known.sentAt + uncertainty)
        return true;
    return added.sentAt >= known.sentAt - uncertainty && added.request < known.request;
}

} // namespace

auto partKeys(std::string_view service, const Prompt &prompt) -> std::vector<PartKey>
{
    std::vector<PartKey> keys;
    std::unordered_set<PartKey> known;
    for (const auto &part : sharedParts(prompt)) {
        const auto key = core::stableHash(service, part.id);
        if (known.insert(key).second)
            keys.push_back(key);
    }
    return keys;
}

auto delayed(PartReport report, Duration delay) -> PartReport
{
    report.sentAge += delay;
    report.age += delay;
    if (report.answerAge)
        *report.answerAge += delay;
    return report;
}

auto PartSuspects::noteBreak(PartKey part, const PartBreak &added, Instant now) -> PartReport
{
    add(part, added, Duration(0), now);
    return reportOf(part, added, now);
}

auto PartSuspects::noteAnswer(PartKey part, Instant beganAt, Instant now)
    -> std::optional<PartReport>
{
    const auto *known = answeredAt_.find(part, now);
    if (known != nullptr && *known >= beganAt)
        return std::nullopt;
    answeredAt_.put(part, beganAt, now + lifetime);
    if (!clear(part, now))
        return std::nullopt;
    return reportOfAnswer(part, now);
}

auto PartSuspects::noteAnswered(UpstreamId upstream, Instant sentAt, Instant now) -> void
{
    if (refutations_.noteAnswered(upstream, sentAt, now))
        hasChanged_ = true;
}

auto PartSuspects::notePeer(const PartReport &report, Instant now) -> std::optional<PartReport>
{
    // Taken for as old as it may be, or each router that passes it on would make it newer.
    if (report.answerAge)
        noteAnswer(report.part, now - *report.answerAge - reportDelay, now);
    if (report.upstream == 0 || report.age < Duration(0) || report.age >= lifetime)
        return std::nullopt;
    const PartBreak added{report.upstream, report.request, now - report.sentAge, now - report.age};
    const auto *answeredAt = answeredAt_.find(report.part, now);
    const auto isContradicted = answeredAt != nullptr && added.at < *answeredAt;
    if (!isContradicted) {
        add(report.part, added, reportDelay, now);
        return std::nullopt;
    }
    // Told once, not for each of the reports that come before all have heard of the answer.
    if (clearedAt_.find(report.part, now) != nullptr)
        return std::nullopt;
    clearedAt_.put(report.part, now, now + reportWindow);
    return reportOfAnswer(report.part, now);
}

auto PartSuspects::find(PartKey part, Instant now) const -> const Breaks *
{
    const auto *breaks = suspected_.find(part, now);
    return breaks != nullptr ? breaks : watched_.find(part, now);
}

auto PartSuspects::add(PartKey part, const PartBreak &added, Duration uncertainty, Instant now)
    -> void
{
    const auto *known = find(part, now);
    auto breaks = known == nullptr ? Breaks() : *known;
    const auto same = std::find_if(breaks.begin(), breaks.end(), [&](const PartBreak &old) {
        return old.upstream == added.upstream;
    });
    if (same != breaks.end() && !replaces(added, *same, uncertainty))
        return;
    if (same != breaks.end())
        breaks.erase(same);
    const auto isLater = [](const PartBreak &a, const PartBreak &b) { return a.at < b.at; };
    breaks.insert(std::upper_bound(breaks.begin(), breaks.end(), added, isLater), added);
    if (breaks.size() > maxBreaks)
        breaks.erase(breaks.begin() + 1); // The first tells since when no sound answer began.
    refutations_.noteBreak(added.upstream, added.at, now);
    noteCrash(added.upstream, added.at);
    store(part, std::move(breaks), now);
}

auto PartSuspects::store(PartKey part, Breaks breaks, Instant now) -> void
{
    hasChanged_ = true;
    watched_.erase(part);
    suspected_.erase(part);
    if (breaks.empty())
        return;
    auto &parts = breaks.size() < suspicionLimit ? watched_ : suspected_;
    parts.put(part, std::move(breaks), now + lifetime);
}

auto PartSuspects::clear(PartKey part, Instant now) -> bool
{
    const auto *known = find(part, now);
    if (known == nullptr)
        return false;
    const auto answeredAt = *answeredAt_.find(part, now);
    const auto isCleared = [&](const PartBreak &old) { return old.at < answeredAt; };
    if (std::none_of(known->begin(), known->end(), isCleared))
        return false;
    const auto wasSuspected = known->size() >= suspicionLimit;
    auto breaks = *known;
    std::erase_if(breaks, isCleared);
    store(part, std::move(breaks), now);
    if (wasSuspected)
        clearedAt_.put(part, now, now + reportWindow);
    return wasSuspected;
}

auto PartSuspects::noteCrash(UpstreamId upstream, Instant at) -> void
{
    const auto isKnown =
        std::any_of(newestCrashes_.begin(), newestCrashes_.end(),
                    [&](const Crash &known) { return known.upstream == upstream; });
    if (isKnown)
        return;
    newestCrashes_.push_back({upstream, at});
    if (newestCrashes_.size() > maxCrashes)
        newestCrashes_.pop_front();
    crashTimes_.clear();
    for (const auto &known : newestCrashes_)
        crashTimes_.push_back(known.at);
    std::sort(crashTimes_.begin(), crashTimes_.end());
}

auto PartSuspects::answerAge(PartKey part, Instant now) const -> std::optional<Duration>
{
    const auto *answeredAt = answeredAt_.find(part, now);
    return answeredAt == nullptr ? std::nullopt : std::optional(now - *answeredAt);
}

auto PartSuspects::reportOf(PartKey part, const PartBreak &known, Instant now) const -> PartReport
{
    return {part,           known.upstream,      known.request, now - known.sentAt,
            now - known.at, answerAge(part, now)};
}

auto PartSuspects::reportOfAnswer(PartKey part, Instant now) const -> PartReport
{
    PartReport report;
    report.part = part;
    report.answerAge = answerAge(part, now);
    return report;
}

auto PartSuspects::memory(Instant now) const -> std::vector<PartReport>
{
    std::vector<PartReport> reports;
    for (const auto part : suspected_.newest(capacity)) {
        const auto links = chain(part, now);
        if (links.size() < suspicionLimit || reports.size() + links.size() > maxMemoryReports)
            continue;
        for (const auto &known : links)
            reports.push_back(reportOf(part, known, now));
    }
    return reports;
}

auto PartSuspects::nextReports(Instant now) -> std::vector<PartReport>
{
    std::vector<PartReport> reports;
    const auto cleared = clearedAt_.newest(capacity);
    constexpr auto maxCleared = maxReports / 2;
    for (std::size_t i = 0; i < cleared.size() && reports.size() < maxCleared; ++i) {
        const auto part = cleared[clearedOffset_++ % cleared.size()];
        if (clearedAt_.find(part, now) != nullptr)
            reports.push_back(reportOfAnswer(part, now));
    }
    judge(now);
    const auto room = std::min(maxReports - reports.size(), reportable_.size());
    for (std::size_t i = 0; i < room; ++i) {
        const auto &next = reportable_[reportOffset_++ % reportable_.size()];
        reports.push_back(reportOf(next.part, next.known, now));
    }
    return reports;
}

auto PartSuspects::noteChange(PartKey part, PartChange::Kind kind, Instant now) -> void
{
    if (changes_.size() < capacity)
        changes_.push_back({part, kind, chain(part, now), answerAge(part, now)});
}

auto PartSuspects::takeChanges(Instant now) -> std::vector<PartChange>
{
    judge(now);
    return std::exchange(changes_, {});
}

} // namespace applehatch::direct
