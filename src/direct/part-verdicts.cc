// What follows from the breaks under requests with a part: suspicion, conviction, leave.
#include "applehatch/direct/part-suspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace applehatch::direct {

namespace {

using Upstreams = std::unordered_set<UpstreamId>;

auto upstreamsOf(const std::vector<PartBreak> &breaks) -> Upstreams
{
    Upstreams upstreams;
    for (const auto &known : breaks)
        upstreams.insert(known.upstream);
    return upstreams;
}

auto sortedUpstreamsOf(const std::vector<PartBreak> &breaks) -> std::vector<UpstreamId>
{
    std::vector<UpstreamId> upstreams;
    upstreams.reserve(breaks.size());
    for (const auto &known : breaks)
        upstreams.push_back(known.upstream);
    std::sort(upstreams.begin(), upstreams.end());
    return upstreams;
}

} // namespace

auto PartSuspects::wasMassCrash(Instant at) const -> bool
{
    const auto first = std::upper_bound(crashTimes_.begin(), crashTimes_.end(), at - massCrashTime);
    const auto end = std::lower_bound(first, crashTimes_.end(), at + massCrashTime);
    return static_cast<std::size_t>(end - first) >= massCrashSize;
}

auto PartSuspects::counts(const PartBreak &known, Instant now) const -> bool
{
    return !refutations_.isRefuted(known.upstream, known.at, now) && now - known.at < lifetime
        && !wasMassCrash(known.at);
}

auto PartSuspects::chainOf(const Breaks &breaks, const Upstreams &explained, Instant now) const
    -> Breaks
{
    Breaks chain;
    for (const auto &known : breaks) {
        const auto isRepeat = std::any_of(chain.begin(), chain.end(), [&](const PartBreak &each) {
            return each.request == known.request;
        });
        const auto follows = chain.empty() || known.sentAt + usualReportDelay >= chain.back().at;
        if (follows && !isRepeat && counts(known, now) && !explained.contains(known.upstream))
            chain.push_back(known);
    }
    return chain;
}

auto PartSuspects::chain(PartKey part, Instant now) const -> Breaks
{
    const auto *breaks = find(part, now);
    return breaks == nullptr ? Breaks() : chainOf(*breaks, {}, now);
}

auto PartSuspects::crashes(PartKey part, Instant now) const -> std::size_t
{
    return chain(part, now).size();
}

auto PartSuspects::wasInUse(PartKey part, Instant crashedAt, Instant now) const -> bool
{
    const auto *answeredAt = answeredAt_.find(part, now);
    return answeredAt != nullptr && crashedAt - *answeredAt < useWindow;
}

auto PartSuspects::isConfined(PartKey part, Instant now) const -> bool
{
    const auto *breaks = suspected_.find(part, now);
    if (breaks == nullptr)
        return false;
    std::unordered_set<Fingerprint> requests;
    std::optional<Instant> brokeFirst;
    for (const auto &known : *breaks) {
        if (!counts(known, now))
            continue;
        requests.insert(known.request);
        brokeFirst = brokeFirst.value_or(known.at);
    }
    if (requests.size() < suspicionLimit)
        return false;
    return !wasInUse(part, *brokeFirst, now); // One engine cannot serve what all use.
}

auto PartSuspects::isProof(PartKey part, const Breaks &links, Instant now) const -> bool
{
    if (links.size() < convictionLimit)
        return false;
    return !wasInUse(part, links.front().at, now) || now - links.front().at >= answerDelay;
}

auto PartSuspects::isConvicted(PartKey part, Instant now) -> bool
{
    judge(now);
    return convictions_.contains(part);
}

auto PartSuspects::refuses(PartKey part, const std::vector<PartKey> &parts, Instant now) -> bool
{
    judge(now);
    const auto conviction = convictions_.find(part);
    if (conviction == convictions_.end())
        return false;
    if (conviction->second.empty())
        return true;
    const std::unordered_set<PartKey> held(parts.begin(), parts.end());
    return std::all_of(conviction->second.begin(), conviction->second.end(),
                       [&](PartKey other) { return held.contains(other); });
}

auto PartSuspects::explains(UpstreamId upstream, Instant now) -> bool
{
    judge(now);
    const auto crash = std::find_if(newestCrashes_.begin(), newestCrashes_.end(),
                                    [&](const Crash &known) { return known.upstream == upstream; });
    if (crash != newestCrashes_.end() && wasMassCrash(crash->at))
        return true;
    return suspectedUpstreams_.contains(upstream);
}

auto PartSuspects::isJudgementDue(Instant now) const -> bool
{
    if (!judgedAt_)
        return true;
    const auto age = now - *judgedAt_;
    if (!hasChanged_)
        return age >= maxVerdictAge;
    const auto suspects = suspected_.size();
    if (suspects <= judgedAtOnce)
        return true;
    return age >= judgementShare * static_cast<Duration::rep>(suspects);
}

auto PartSuspects::judge(Instant now) -> void
{
    if (!isJudgementDue(now))
        return;
    judgedAt_ = now;
    hasChanged_ = false;
    reportable_.clear();
    suspectedUpstreams_.clear();
    std::vector<Candidate> candidates;
    for (const auto part : suspected_.newest(capacity)) {
        const auto links = chain(part, now);
        if (links.size() < suspicionLimit)
            continue;
        auto crashed = sortedUpstreamsOf(links);
        suspectedUpstreams_.insert(crashed.begin(), crashed.end());
        candidates.push_back({part, std::move(crashed), answeredAt_.find(part, now) != nullptr});
        if (reportable_.size() + links.size() > maxMemoryReports)
            continue;
        for (const auto &known : links)
            reportable_.push_back({part, known});
    }
    // The part with most crashes first; what it explains no longer counts against the others.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(b.crashed.size(), a.wasAnswered, a.part)
            < std::tuple(a.crashed.size(), b.wasAnswered, b.part);
    });
    noteSuspicions(candidates, now);
    noteConvictions(candidates, now);
}

auto PartSuspects::noteSuspicions(const std::vector<Candidate> &candidates, Instant now) -> void
{
    const auto before = std::exchange(suspicions_, {});
    for (const auto &candidate : candidates) {
        suspicions_.insert(candidate.part);
        if (!before.contains(candidate.part))
            noteChange(candidate.part, PartChange::Kind::Suspected, now);
    }
    for (const auto part : before) {
        if (!suspicions_.contains(part))
            noteChange(part, PartChange::Kind::Cleared, now);
    }
}

auto PartSuspects::noteConvictions(const std::vector<Candidate> &candidates, Instant now) -> void
{
    const auto before = std::exchange(convictions_, {});
    Upstreams explained;
    for (const auto &candidate : candidates) {
        const auto &breaks = *find(candidate.part, now);
        if (!isProof(candidate.part, chainOf(breaks, explained, now), now))
            continue;
        convictions_.emplace(candidate.part, inseparableFrom(candidate, candidates));
        explained.merge(upstreamsOf(breaks));
        if (!before.contains(candidate.part))
            noteChange(candidate.part, PartChange::Kind::Convicted, now);
    }
}

auto PartSuspects::inseparableFrom(const Candidate &candidate,
                                   const std::vector<Candidate> &candidates) -> std::vector<PartKey>
{
    std::vector<PartKey> parts;
    for (const auto &other : candidates) {
        const auto isAlike = other.part != candidate.part
            && other.wasAnswered == candidate.wasAnswered && other.crashed == candidate.crashed;
        if (isAlike)
            parts.push_back(other.part);
    }
    return parts;
}

auto PartSuspects::timeToLeave(PartKey part, Instant now) const -> Duration
{
    const auto links = chain(part, now);
    if (links.empty())
        return Duration(0);
    auto wait = firstLeave;
    for (auto extra = links.size(); extra > convictionLimit; --extra)
        wait *= leaveGrowth;
    auto since = find(part, now)->back().at;
    if (const auto *leave = leaveAt_.find(part, now))
        since = std::max(since, *leave);
    return std::max(Duration(0), since + wait - now);
}

auto PartSuspects::noteLeave(PartKey part, Instant now) -> void
{
    leaveAt_.put(part, now, now + lifetime);
}

} // namespace applehatch::direct
