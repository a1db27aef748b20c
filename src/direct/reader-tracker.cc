#include "applehatch/direct/reader-tracker.h"

#include "applehatch/direct/registry-readers.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

namespace {

// An answer may come this much too early or too late without an extra call to correct its timing.
constexpr Duration tolerance = ReaderTracker::watchTimeout / 12;

} // namespace

auto readerRank(const Address &router) -> std::uint64_t
{
    return core::stableHash(router.ip + ':' + std::to_string(router.port));
}

ReaderTracker::ReaderTracker(Address self, std::uint64_t firstHeartbeat)
    : self_(std::move(self))
    , ownHeartbeat_(firstHeartbeat)
{ }

auto ReaderTracker::noteAnswer(Instant now) -> void
{
    ++ownHeartbeat_;
    ownAnsweredAt_ = now;
}

auto ReaderTracker::ownStatus(std::uint64_t revision, Instant now) const
    -> std::optional<ReaderStatus>
{
    if (!ownAnsweredAt_ || now - *ownAnsweredAt_ > statusLifetime)
        return std::nullopt;
    return ReaderStatus{self_, ownHeartbeat_, revision, now - *ownAnsweredAt_};
}

auto ReaderTracker::note(const ReaderStatus &status, Instant now) -> void
{
    if (status.router == self_)
        return;
    std::erase_if(entries_, [now](const auto &entry) {
        return now - entry.second.answeredAt > heartbeatLifetime;
    });
    auto &entry = entries_[readerRank(status.router)];
    // A new process that started after the time of day was set back has a lower heartbeat.
    const auto isNewIncarnation = status.heartbeat < entry.status.heartbeat
        && status.age < statusLifetime && now - entry.answeredAt > statusLifetime;
    if (status.heartbeat > entry.status.heartbeat || isNewIncarnation) {
        const auto isKnown = entry.status.heartbeat > 0;
        entry = {status, now - status.age, false};
        // The registry and its readers were not silent; the statuses of the readers were late.
        if (isKnown && silentSince_ && entry.answeredAt > *silentSince_)
            silentSince_.reset();
    } else if (status.heartbeat == entry.status.heartbeat) {
        entry.status.revision = std::max(entry.status.revision, status.revision);
    }
}

auto ReaderTracker::noteStopped(const Address &router) -> void
{
    const auto found = entries_.find(readerRank(router));
    if (found != entries_.end())
        found->second.stopped = true;
}

auto ReaderTracker::distrustWhenSilent(Duration limit, Instant now) -> bool
{
    const auto latest = latestAnswer();
    const auto isNewer = latest && latest != silentSince_;
    if (!isNewer || now - *latest <= limit)
        return false;
    silentSince_ = latest;
    return true;
}

auto ReaderTracker::readers(Instant now) const -> std::vector<ReaderStatus>
{
    std::vector<ReaderStatus> statuses;
    for (const auto &[rank, entry] : entries_) {
        if (!isTrusted(entry, now))
            continue;
        statuses.push_back(entry.status);
        statuses.back().age = now - entry.answeredAt;
    }
    return statuses;
}

auto ReaderTracker::reportedStatuses(std::optional<ReaderStatus> own, Instant now) const
    -> std::vector<ReaderStatus>
{
    auto statuses = readers(now);
    statuses.resize(std::min(statuses.size(), RegistryReaders::targetReaders));
    if (own)
        statuses.push_back(std::move(*own));
    return statuses;
}

auto ReaderTracker::timeSinceAnswer(Instant now) const -> std::optional<Duration>
{
    const auto latest = latestAnswer();
    return latest ? std::optional<Duration>(now - *latest) : std::nullopt;
}

auto ReaderTracker::nextWatchTimeout(Instant now) const -> Duration
{
    std::optional<Instant> leaderAnsweredAt; // The reader of lowest rank sets the schedule.
    std::size_t lowerRanks = 0;
    std::size_t readers = 1;
    const auto ownRank = readerRank(self_);
    for (const auto &[rank, entry] : entries_) {
        if (!isTrusted(entry, now))
            continue;
        ++readers;
        if (rank > ownRank)
            continue;
        ++lowerRanks;
        if (!leaderAnsweredAt)
            leaderAnsweredAt = entry.answeredAt;
    }
    if (!leaderAnsweredAt || lowerRanks >= RegistryReaders::targetReaders)
        return watchTimeout;
    const auto turns =
        static_cast<Duration::rep>(std::min(readers, RegistryReaders::targetReaders));
    const auto ownOffset = watchTimeout * static_cast<Duration::rep>(lowerRanks) / turns;
    const auto sinceOwnTurn = (now - *leaderAnsweredAt + watchTimeout - ownOffset) % watchTimeout;
    const auto wait = watchTimeout - sinceOwnTurn;
    return wait < tolerance ? wait + watchTimeout : wait;
}

auto ReaderTracker::latestAnswer() const -> std::optional<Instant>
{
    auto latest = ownAnsweredAt_;
    for (const auto &[rank, entry] : entries_) {
        if (!latest || entry.answeredAt > *latest)
            latest = entry.answeredAt;
    }
    return latest;
}

auto ReaderTracker::isTrusted(const Entry &entry, Instant now) const -> bool
{
    const auto isDistrusted = silentSince_ && entry.answeredAt <= *silentSince_;
    return !entry.stopped && !isDistrusted && now - entry.answeredAt <= statusLifetime;
}

} // namespace applehatch::direct
