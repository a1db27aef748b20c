#include "applehatch/core/crash-tracker.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

constexpr std::size_t suspectThreshold = 2;

// How long a withdrawal is kept as a tombstone, so that late gossip cannot restore the notice.
constexpr Duration withdrawalLifetime = std::chrono::minutes(10);

} // namespace

CrashTracker::CrashTracker(std::size_t capacity)
    : capacity_(capacity)
{ }

auto CrashTracker::apply(const CrashNotice &notice, Instant now) -> bool
{
    const Key key{notice.fingerprint, notice.origin.upstream, notice.origin.incarnation,
                  notice.sequence};
    const auto withdrawn = notice.remaining <= Duration::zero();
    const auto found = entries_.find(key);
    if (found != entries_.end() && (found->second.withdrawn || !withdrawn))
        return false;
    const auto until = now + (withdrawn ? withdrawalLifetime : notice.remaining);
    entries_[key] = {until, withdrawn, ++changes_};
    if (entries_.size() > capacity_)
        dropOldest();
    return true;
}

auto CrashTracker::clear(Fingerprint fingerprint, Instant now) -> void
{
    for (auto item = entries_.lower_bound({fingerprint, 0, 0, 0});
         item != entries_.end() && item->first.fingerprint == fingerprint; ++item) {
        if (!item->second.withdrawn)
            item->second = {now + withdrawalLifetime, true, ++changes_};
    }
}

auto CrashTracker::upstreams(Fingerprint fingerprint, Instant now) const -> std::vector<UpstreamId>
{
    std::vector<UpstreamId> found;
    for (auto item = entries_.lower_bound({fingerprint, 0, 0, 0});
         item != entries_.end() && item->first.fingerprint == fingerprint; ++item) {
        if (!item->second.withdrawn && item->second.until > now)
            found.push_back(item->first.upstream);
    }
    return found;
}

auto CrashTracker::lastCrashAt(Fingerprint fingerprint, Instant now) const -> std::optional<Instant>
{
    std::optional<Instant> last;
    for (auto item = entries_.lower_bound({fingerprint, 0, 0, 0});
         item != entries_.end() && item->first.fingerprint == fingerprint; ++item) {
        if (!item->second.withdrawn && item->second.until > now)
            last = std::max(last, std::optional(item->second.until - lifetime));
    }
    return last;
}

auto CrashTracker::crashes(Fingerprint fingerprint, Instant now) const -> std::size_t
{
    return upstreams(fingerprint, now).size();
}

auto CrashTracker::isSuspect(Fingerprint fingerprint, Instant now) const -> bool
{
    return crashes(fingerprint, now) >= suspectThreshold;
}

auto CrashTracker::notices(std::size_t count, Instant now) const -> std::vector<CrashNotice>
{
    std::vector<std::pair<std::uint64_t, CrashNotice>> ordered;
    for (const auto &[key, entry] : entries_) {
        if (entry.until <= now)
            continue;
        const auto remaining = entry.withdrawn ? Duration::zero() : Duration(entry.until - now);
        ordered.emplace_back(
            entry.order,
            CrashNotice{key.fingerprint, {key.upstream, key.incarnation}, key.sequence, remaining});
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<CrashNotice> notices;
    for (const auto &[order, notice] : ordered) {
        if (notices.size() == count)
            break;
        notices.push_back(notice);
    }
    return notices;
}

auto CrashTracker::expire(Instant now) -> void
{
    std::erase_if(entries_, [now](const auto &item) { return item.second.until <= now; });
}

auto CrashTracker::dropOldest() -> void
{
    entries_.erase(
        std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
            return a.second.order < b.second.order;
        }));
}

} // namespace applehatch::core
