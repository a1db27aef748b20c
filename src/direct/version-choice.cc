#include "applehatch/direct/version-choice.h"

#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace applehatch::direct {

namespace {

using Span = VersionChoice::Span;

// Whether an upstream that is not of the leading version may own the stream.
auto mayOwn(std::uint64_t rank) -> bool
{
    return rank % VersionChoice::minorShare == 0;
}

// The versions in a list, as upstreams join and leave it.
class Standings
{
public:
    auto join(const std::string &version, std::uint64_t entry) -> void
    {
        entries_[version].insert(entry);
    }
    auto leave(const std::string &version, std::uint64_t entry) -> void
    {
        auto &entries = entries_[version];
        entries.erase(entries.find(entry));
        if (entries.empty())
            entries_.erase(version);
    }
    auto joinPossibly() -> void { ++possible_; }
    auto leavePossibly() -> void { --possible_; }

    // Returns the version that leads; none if there is none, or if it depends on upstreams that may
    // be in the list.
    [[nodiscard]] auto leader() const -> std::optional<std::string>
    {
        const std::string *first = nullptr;
        std::size_t most = 0;
        std::size_t next = 0;
        for (const auto &[version, entries] : entries_) {
            const auto isOlder = first != nullptr && entries.size() == most
                && *entries.begin() < *entries_.at(*first).begin();
            if (entries.size() > most || isOlder) {
                next = std::exchange(most, entries.size());
                first = &version;
            } else {
                next = std::max(next, entries.size());
            }
        }
        const auto isKnown = first != nullptr && (possible_ == 0 || most > next + possible_);
        return isKnown ? std::optional(*first) : std::nullopt;
    }

private:
    std::map<std::string, std::multiset<std::uint64_t>> entries_; // Revisions, by version.
    std::size_t possible_ = 0;
};

// Spans of revisions for which no owner has been found yet.
class Uncovered
{
public:
    explicit Uncovered(std::uint64_t from)
        : spans_{{from}}
    { }

    [[nodiscard]] auto overlaps(Span span) const -> bool
    {
        return std::any_of(spans_.begin(), spans_.end(), [&](const Span &each) {
            return std::max(each.from, span.from) < std::min(each.end, span.end);
        });
    }

    // Takes `span` away; returns whether any of it was still there.
    auto take(Span span) -> bool
    {
        std::vector<Span> rest;
        auto hasTaken = false;
        for (const auto &each : spans_) {
            const Span common{std::max(each.from, span.from), std::min(each.end, span.end)};
            if (common.from >= common.end) {
                rest.push_back(each);
                continue;
            }
            hasTaken = true;
            if (each.from < common.from)
                rest.push_back({each.from, common.from});
            if (common.end < each.end)
                rest.push_back({common.end, each.end});
        }
        spans_ = std::move(rest);
        return hasTaken;
    }

    [[nodiscard]] auto isEmpty() const -> bool { return spans_.empty(); }
    // Whether all that is left lies before `revision`.
    [[nodiscard]] auto endsBefore(std::uint64_t revision) const -> bool
    {
        return spans_.empty() || spans_.back().end <= revision;
    }

private:
    std::vector<Span> spans_; // In ascending order.
};

// The owners of one stream in all lists that stood since a revision.
class Owners
{
public:
    explicit Owners(std::uint64_t from)
        : uncovered_(from)
    { }

    // Adds a member that owns the stream in the lists of `span` for which no owner was added.
    auto add(const std::optional<std::string> &version, Span span) -> void
    {
        addPossible(version, span);
        uncovered_.take(span);
    }
    // The same for one that may own it, or may not.
    auto addPossible(const std::optional<std::string> &version, Span span) -> void
    {
        if (!uncovered_.overlaps(span))
            return;
        isCertain_ = isCertain_ && version && (!version_ || version_ == version);
        version_ = version;
    }

    [[nodiscard]] auto isDone() const -> bool { return !isCertain_ || uncovered_.isEmpty(); }
    // Returns the version of all owners; none if there are several, or lists without an owner at
    // `first` or later.
    [[nodiscard]] auto version(std::uint64_t first) const -> std::optional<std::string>
    {
        return isCertain_ && uncovered_.endsBefore(first) ? version_ : std::nullopt;
    }

private:
    Uncovered uncovered_;
    std::optional<std::string> version_;
    bool isCertain_ = true;
};

} // namespace

auto VersionChoice::setUpstreams(const UpstreamList &upstreams, std::uint64_t revision, Instant now)
    -> void
{
    auto before = std::exchange(services_, {});
    for (const auto &upstream : upstreams) {
        if (upstream.state != UpstreamState::Ready)
            continue;
        const Member member{
            core::stableHash(upstream.instance), upstream.version, {upstream.entryRevision}};
        services_[upstream.service].members.push_back(member);
        // A changed entry counts as another upstream: it may have been away in between.
        std::erase_if(before[upstream.service].members, [&](const Member &known) {
            return known.name == member.name && known.version == member.version
                && known.span.from == member.span.from;
        });
    }
    for (auto &[name, service] : services_) {
        Standings standings;
        for (const auto &member : service.members)
            standings.join(*member.version, member.span.from);
        service.leader = standings.leader();
    }
    for (auto &[name, service] : before) {
        for (auto &member : service.members) {
            // It left at some time after the last list.
            member.span.end = lists_.back().revision + 1;
            remember({member, name, now});
        }
    }
    leads_.clear();
    if (!knownSince_)
        knownSince_ = {now, revision};
    if (lists_.empty() || lists_.back().revision != revision)
        lists_.push_back({now, revision});
    if (lists_.size() <= capacity)
        return;
    lists_.pop_front();
    if (knownSince_->at < lists_.front().at)
        knownSince_ = lists_.front();
}

auto VersionChoice::noteServed(const Upstream &upstream, Span span, Instant now) -> void
{
    noteFormer(upstream, span, true, now);
}

auto VersionChoice::notePossible(const Upstream &upstream, Span span, Instant now) -> void
{
    noteFormer(upstream, span, false, now);
}

auto VersionChoice::noteFormer(const Upstream &upstream, Span span, bool isCertain, Instant now)
    -> void
{
    Former former;
    former.member.name = core::stableHash(upstream.instance);
    former.member.version = upstream.version;
    former.member.span = span;
    former.member.isCertain = isCertain;
    former.service = upstream.service;
    former.notedAt = now;
    remember(former);
}

auto VersionChoice::noteUnknown(const std::string &instance, Span span, Instant now) -> void
{
    Former former;
    former.member.name = core::stableHash(instance);
    former.member.span = span;
    former.member.isCertain = false;
    former.notedAt = now;
    remember(former);
}

auto VersionChoice::noteKnownSince(Instant since, std::uint64_t revision) -> void
{
    if (!knownSince_ || since < knownSince_->at)
        knownSince_ = {since, revision};
}

auto VersionChoice::versionFor(const std::string &service, StreamKey stream) const
    -> std::optional<std::string>
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return std::nullopt;
    const Member *owner = nullptr;
    std::uint64_t best = 0;
    for (const auto &member : found->second.members) {
        const auto rank = core::rendezvousHash(stream, member.name);
        const auto isCandidate = member.version == found->second.leader || mayOwn(rank);
        if (!isCandidate || (owner != nullptr && rank <= best))
            continue;
        owner = &member;
        best = rank;
    }
    return owner == nullptr ? std::nullopt : owner->version;
}

auto VersionChoice::versionOf(const std::string &service, StreamKey stream, Instant since) const
    -> std::optional<std::string>
{
    const auto from = revisionAt(since);
    const auto members = membersOf(service);
    if (!from || stream == 0 || members.empty())
        return std::nullopt;
    std::vector<std::pair<std::uint64_t, const Member *>> ranked;
    for (const auto &member : members)
        ranked.emplace_back(core::rendezvousHash(stream, member.name), &member);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    const auto &leads = leadsOf(service);
    Owners owners(*from);
    for (const auto &[rank, member] : ranked) {
        for (const auto &claim : claimsOf(*member, rank, leads)) {
            if (claim.isCertain)
                owners.add(member->version, claim.span);
            else
                owners.addPossible(member->version, claim.span);
        }
        if (owners.isDone())
            break;
    }
    // Before its first upstream a service had no streams.
    auto first = Span().end;
    for (const auto &member : members)
        first = std::min(first, member.span.from);
    return owners.version(first);
}

auto VersionChoice::claimsOf(const Member &member, std::uint64_t rank,
                             const std::vector<Lead> &leads) -> std::vector<Claim>
{
    if (mayOwn(rank))
        return {{member.span, member.isCertain}};
    std::vector<Claim> claims;
    for (std::size_t i = 0; i < leads.size(); ++i) {
        const auto end = i + 1 < leads.size() ? leads[i + 1].from : Span().end;
        const Span led{std::max(leads[i].from, member.span.from), std::min(end, member.span.end)};
        const auto isKnown = leads[i].version && member.version;
        if (!isKnown || leads[i].version == member.version)
            claims.push_back({led, isKnown && member.isCertain});
    }
    return claims;
}

auto VersionChoice::revisionAt(Instant since) const -> std::optional<std::uint64_t>
{
    if (!knownSince_ || since < knownSince_->at)
        return std::nullopt;
    const auto later = std::upper_bound(lists_.begin(), lists_.end(), since,
                                        [](Instant at, const List &list) { return at < list.at; });
    return later == lists_.begin() ? knownSince_->revision : std::prev(later)->revision;
}

auto VersionChoice::membersOf(const std::string &service) const -> Members
{
    Members members;
    if (const auto found = services_.find(service); found != services_.end())
        members = found->second.members;
    for (const auto &former : former_) {
        if (!former.service || *former.service == service)
            members.push_back(former.member);
    }
    return members;
}

auto VersionChoice::leadsOf(const std::string &service) const -> const std::vector<Lead> &
{
    const auto [known, isNew] = leads_.try_emplace(service);
    if (!isNew)
        return known->second;
    const auto members = membersOf(service);
    struct Change
    {
        std::uint64_t revision;
        bool joins;
        const Member *member;
    };
    std::vector<Change> changes;
    for (const auto &member : members) {
        changes.push_back({member.span.from, true, &member});
        changes.push_back({member.span.end, false, &member});
    }
    // At one revision joins come first: a member that leaves has joined before.
    std::sort(changes.begin(), changes.end(), [](const Change &a, const Change &b) {
        return a.revision != b.revision ? a.revision < b.revision : a.joins && !b.joins;
    });
    auto &leads = known->second;
    Standings standings;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const auto &[revision, joins, member] = changes[i];
        if (!member->isCertain)
            joins ? standings.joinPossibly() : standings.leavePossibly();
        else if (joins)
            standings.join(*member->version, member->span.from);
        else
            standings.leave(*member->version, member->span.from);
        const auto isLast = i + 1 == changes.size() || changes[i + 1].revision != revision;
        if (isLast)
            leads.push_back({revision, standings.leader()});
    }
    return leads;
}

auto VersionChoice::expire(Instant now) -> void
{
    const auto before = former_.size();
    while (!former_.empty() && now - former_.front().notedAt >= lifetime)
        former_.pop_front();
    if (former_.size() != before)
        leads_.clear();
    while (lists_.size() > 1 && now - lists_[1].at >= lifetime)
        lists_.pop_front();
    if (!knownSince_ || now - knownSince_->at < lifetime)
        return;
    knownSince_->at = now - lifetime;
    if (!lists_.empty() && lists_.front().at <= knownSince_->at)
        knownSince_->revision = lists_.front().revision;
}

auto VersionChoice::remember(const Former &former) -> void
{
    leads_.clear();
    former_.push_back(former);
    if (former_.size() <= capacity)
        return;
    const auto forgottenAt = former_.front().notedAt;
    former_.pop_front();
    if (knownSince_ && knownSince_->at < forgottenAt)
        knownSince_->at = forgottenAt;
}

} // namespace applehatch::direct
