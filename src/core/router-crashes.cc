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
    if (held_.size() >= limit && !held_.contains(notice.fingerprint))
        return;
    const auto expiresAt = now + std::min(notice.remaining, lifetime);
    auto &lives = held_[notice.fingerprint];
    const auto same = std::find_if(lives.begin(), lives.end(),
                                   [&](const Held &held) { return held.life == notice.life; });
    if (same == lives.end()) {
        lives.push_back({notice.life, notice.sequence, expiresAt});
        return;
    }
    // A notice that goes round between processes must not live longer for each hop.
    if (notice.sequence > same->sequence)
        *same = {notice.life, notice.sequence, expiresAt};
}

auto CrashTable::expire(Instant now) -> void
{
    for (auto &[fingerprint, lives] : held_)
        std::erase_if(lives, [now](const Held &held) { return held.expiresAt <= now; });
    std::erase_if(held_, [](const auto &item) { return item.second.empty(); });
    std::erase_if(condemned_, [now](const auto &item) { return item.second <= now; });
}

auto CrashTable::condemn(Fingerprint fingerprint, Instant now) -> void
{
    if (fingerprint != 0 && (condemned_.size() < limit || condemned_.contains(fingerprint)))
        condemned_[fingerprint] = now + lifetime;
}

auto CrashTable::isSuspect(Fingerprint fingerprint, Instant now) const -> bool
{
    const auto told = condemned_.find(fingerprint);
    if (told != condemned_.end() && told->second > now)
        return true;
    return livesOf(fingerprint, now).size() >= suspectAt;
}

auto CrashTable::livesOf(Fingerprint fingerprint, Instant now) const -> std::vector<UpstreamLife>
{
    std::vector<UpstreamLife> lives;
    const auto found = held_.find(fingerprint);
    if (found == held_.end())
        return lives;
    for (const auto &held : found->second) {
        if (held.expiresAt > now)
            lives.push_back(held.life);
    }
    return lives;
}

auto CrashTable::notices(std::size_t count, Instant now) const -> std::vector<CrashNotice>
{
    std::vector<CrashNotice> notices;
    for (const auto &[fingerprint, lives] : held_) {
        for (const auto &held : lives) {
            if (notices.size() == count)
                return notices;
            if (held.expiresAt > now)
                notices.push_back({fingerprint, held.life, held.sequence, held.expiresAt - now});
        }
    }
    return notices;
}

} // namespace applehatch::core
