#include "router-crashes.h"

#include <algorithm>

namespace applehatch::core {

auto CrashTable::apply(const std::vector<CrashNotice> &notices, Instant now) -> void
{
    for (const auto &notice : notices)
        take(notice, now);
}

auto CrashTable::take(const CrashNotice &notice, Instant now) -> void
{
    if (notice.remaining <= Duration::zero() || notice.fingerprint == 0)
        return;
    if (entries_.size() >= maxFingerprints && !entries_.contains(notice.fingerprint))
        return;
    const auto expiresAt = now + std::min(notice.remaining, lifetime);
    auto &incarnations = entries_[notice.fingerprint];
    const auto same = std::find_if(incarnations.begin(), incarnations.end(),
                                   [&](const Entry &entry) { return entry.life == notice.origin; });
    if (same == incarnations.end()) {
        incarnations.push_back({notice.origin, notice.sequence, expiresAt});
        return;
    }
    // Passing a notice between processes must not extend its lifetime with each hop.
    if (notice.sequence > same->sequence)
        *same = {notice.origin, notice.sequence, expiresAt};
}

auto CrashTable::expire(Instant now) -> void
{
    for (auto &[fingerprint, incarnations] : entries_)
        std::erase_if(incarnations, [now](const Entry &entry) { return entry.expiresAt <= now; });
    std::erase_if(entries_, [](const auto &item) { return item.second.empty(); });
    std::erase_if(markedSuspects_, [now](const auto &item) { return item.second <= now; });
}

auto CrashTable::markSuspect(Fingerprint fingerprint, Instant now) -> void
{
    if (fingerprint != 0
        && (markedSuspects_.size() < maxFingerprints || markedSuspects_.contains(fingerprint)))
        markedSuspects_[fingerprint] = now + lifetime;
}

auto CrashTable::isSuspect(Fingerprint fingerprint, Instant now) const -> bool
{
    const auto marked = markedSuspects_.find(fingerprint);
    if (marked != markedSuspects_.end() && marked->second > now)
        return true;
    return incarnationsOf(fingerprint, now).size() >= suspectThreshold;
}

auto CrashTable::incarnationsOf(Fingerprint fingerprint, Instant now) const
    -> std::vector<UpstreamIncarnation>
{
    std::vector<UpstreamIncarnation> incarnations;
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return incarnations;
    for (const auto &entry : found->second) {
        if (entry.expiresAt > now)
            incarnations.push_back(entry.life);
    }
    return incarnations;
}

auto CrashTable::notices(std::size_t count, Instant now) const -> std::vector<CrashNotice>
{
    std::vector<CrashNotice> notices;
    for (const auto &[fingerprint, incarnations] : entries_) {
        for (const auto &entry : incarnations) {
            if (notices.size() == count)
                return notices;
            if (entry.expiresAt > now)
                notices.push_back({fingerprint, entry.life, entry.sequence, entry.expiresAt - now});
        }
    }
    return notices;
}

} // namespace applehatch::core
