#include "applehatch/direct/stream-versions.h"

#include <algorithm>
#include <functional>

namespace applehatch::direct {

namespace {

// Hash buckets visited by one call of `expire`, so that a large map does not hold up the loop.
constexpr std::size_t bucketsPerExpiry = 1024;
// Less is not worth a line in the log.
constexpr Duration minKnowledgeGain = std::chrono::seconds(1);

} // namespace

auto streamKey(std::string_view customer, std::string_view requestId) -> StreamKey
{
    if (requestId.empty())
        return 0;
    return core::stableHash(requestId, core::stableHash(customer));
}

auto StreamVersions::serviceKey(std::string_view service) -> std::uint64_t
{
    return core::stableHash(service);
}

auto StreamVersions::setUpstreams(const UpstreamList &upstreams, Instant now)
    -> std::vector<std::string>
{
    const auto before = mixedServices(now);
    for (auto &[service, versions] : versions_) {
        for (auto &[version, lastSeen] : versions)
            lastSeen = lastSeen.value_or(now);
    }
    for (const auto &upstream : upstreams)
        versions_[upstream.service][upstream.version] = std::nullopt;
    noteKnownSince(now);
    auto turned = mixedServices(now);
    std::erase_if(turned, [&](const std::string &service) {
        return std::find(before.begin(), before.end(), service) != before.end();
    });
    return turned;
}

auto StreamVersions::noteServed(const StreamOrigin &origin, Instant now) -> void
{
    auto &versions = versions_[origin.service];
    const auto [version, isNew] = versions.try_emplace(origin.version, now);
    if (!isNew && version->second)
        version->second = now;
}

auto StreamVersions::noteKnownSince(Instant since) -> void
{
    knownSince_ = std::min(knownSince_.value_or(since), since);
}

auto StreamVersions::notePeerKnownSince(Instant since) -> bool
{
    const auto before =
        std::min(peersKnowSince_.value_or(Instant::max()), knownSince_.value_or(Instant::max()));
    peersKnowSince_ = std::min(peersKnowSince_.value_or(since), since);
    return before == Instant::max() || before - since >= minKnowledgeGain;
}

auto StreamVersions::ownKnowledge(Instant now) const -> Duration
{
    return knownSince_ ? std::min(lifetime, now - *knownSince_) : Duration(0);
}

auto StreamVersions::knowledge(Instant now) const -> Duration
{
    // Before the first list of its own, a router knows nothing of what serves now.
    if (!knownSince_ || !peersKnowSince_)
        return ownKnowledge(now);
    return std::min(lifetime, now - std::min(*knownSince_, *peersKnowSince_));
}

auto StreamVersions::notePeerMixed(MixedService mixed, Instant now) -> void
{
    mixedByPeers_.put(mixed.service, true, now + std::min(mixed.left, lifetime));
}

auto StreamVersions::versionsOf(const std::string &service, Instant now) const
    -> std::vector<std::string>
{
    std::vector<std::string> names;
    const auto versions = versions_.find(service);
    if (versions == versions_.end())
        return names;
    for (const auto &[version, lastSeen] : versions->second) {
        if (!lastSeen || now - *lastSeen < lifetime)
            names.push_back(version);
    }
    return names;
}

auto StreamVersions::isMixedByList(const std::string &service, Instant now) const -> bool
{
    return versionsOf(service, now).size() > 1;
}

auto StreamVersions::isMixed(const std::string &service, Instant now) const -> bool
{
    return isMixedByList(service, now) || mixedByPeers_.find(serviceKey(service), now) != nullptr;
}

auto StreamVersions::mixedServices(Instant now) const -> std::vector<std::string>
{
    std::vector<std::string> mixed;
    for (const auto &[service, versions] : versions_) {
        if (isMixedByList(service, now))
            mixed.push_back(service);
    }
    return mixed;
}

auto StreamVersions::mixedReports(Instant now) const -> std::vector<MixedService>
{
    std::vector<MixedService> reports;
    for (const auto &service : mixedServices(now)) {
        // It is mixed until all versions but the one seen last are too old.
        std::vector<Instant> seen;
        for (const auto &[version, lastSeen] : versions_.at(service))
            seen.push_back(lastSeen.value_or(now));
        std::nth_element(seen.begin(), seen.begin() + 1, seen.end(), std::greater<>());
        reports.push_back({serviceKey(service), lifetime - (now - seen[1])});
    }
    return reports;
}

auto StreamVersions::noteSent(StreamKey stream, const StreamOrigin &origin, Instant now) -> bool
{
    if (stream == 0)
        return false;
    streams_.put(stream, {origin, now, true}, now + lifetime);
    return isMixed(origin.service, now);
}

auto StreamVersions::noteCompleted(StreamKey stream, Instant now) -> void
{
    const auto *known = find(stream, now);
    if (known == nullptr)
        return;
    const auto completed = *known;
    streams_.put(stream, completed, now + completedLifetime);
}

auto StreamVersions::notePeer(const StreamReport &report, Instant now) -> void
{
    if (report.stream == 0 || report.age < Duration(0) || report.age >= lifetime)
        return;
    const auto sentAt = now - report.age;
    const auto *known = find(report.stream, now);
    if (known != nullptr && known->sentAt >= sentAt)
        return;
    streams_.put(report.stream, {report.origin, sentAt, false}, sentAt + lifetime);
}

auto StreamVersions::report(StreamKey stream, Instant now) const -> std::optional<StreamReport>
{
    const auto *known = find(stream, now);
    if (known == nullptr)
        return std::nullopt;
    return StreamReport{stream, known->origin, now - known->sentAt};
}

auto StreamVersions::ownReports(const std::string &service, Instant now) const
    -> std::vector<StreamReport>
{
    std::vector<StreamReport> reports;
    for (const auto stream : streams_.newest(capacity)) {
        const auto *known = find(stream, now);
        if (known != nullptr && known->own && known->origin.service == service)
            reports.push_back({stream, known->origin, now - known->sentAt});
    }
    return reports;
}

auto StreamVersions::decide(StreamKey stream, const std::string &service, bool isConfirmed,
                            Instant now, Duration maxAge) const -> ResumeRule
{
    if (stream != 0 && find(stream, now) != nullptr)
        return ResumeRule::AtOrigin;
    const auto reachesBack = knowledge(now) >= std::min(maxAge, lifetime);
    if (reachesBack && !isMixed(service, now))
        return isConfirmed ? ResumeRule::AnyVersion : ResumeRule::ConfirmFirst;
    return stream == 0 ? ResumeRule::Refuse : ResumeRule::AskKeepers;
}

auto StreamVersions::versionFor(const std::string &service, StreamKey stream, Instant now) const
    -> std::optional<std::string>
{
    if (stream == 0 || !isMixedByList(service, now))
        return std::nullopt;
    return choice_.versionFor(service, stream);
}

auto StreamVersions::versionOf(const std::string &service, StreamKey stream, Instant now,
                               Duration maxAge) const -> std::optional<std::string>
{
    return choice_.versionOf(service, stream, now - maxAge);
}

auto StreamVersions::expire(Instant now) -> void
{
    choice_.expire(now);
    streams_.expireSome(now, bucketsPerExpiry);
    mixedByPeers_.expire(now);
    for (auto &[service, versions] : versions_)
        std::erase_if(versions, [now](const auto &version) {
            return version.second && now - *version.second >= lifetime;
        });
    std::erase_if(versions_, [](const auto &service) { return service.second.empty(); });
}

} // namespace applehatch::direct
