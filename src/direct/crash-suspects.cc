#include "applehatch/direct/crash-suspects.h"

#include <algorithm>

namespace applehatch::direct {

namespace {

auto pairKey(std::uint64_t peer, Fingerprint fingerprint) -> std::uint64_t
{
    // 2^64 / golden ratio; spreads the bits.
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
    return fingerprint ^ (peer * multiplier);
}

} // namespace

auto CrashSuspects::noteCrash(Fingerprint fingerprint, Instant now) -> void
{
    const auto *count = ownCounts_.find(fingerprint, now);
    ownCounts_.put(fingerprint, (count == nullptr ? 0 : *count) + 1, now + lifetime);
}

auto CrashSuspects::noteServed(Fingerprint fingerprint) -> void
{
    ownCounts_.erase(fingerprint);
}

auto CrashSuspects::notePeer(std::uint64_t peer, const std::vector<CrashCount> &counts, Instant now)
    -> void
{
    for (const auto &count : counts) {
        peerCounts_.put(pairKey(peer, count.fingerprint), count.crashes, now + lifetime);
        const auto *known = reporters_.find(count.fingerprint, now);
        auto reporters = known == nullptr ? std::vector<std::uint64_t>() : *known;
        if (std::find(reporters.begin(), reporters.end(), peer) == reporters.end())
            reporters.push_back(peer);
        reporters_.put(count.fingerprint, std::move(reporters), now + lifetime);
    }
}

auto CrashSuspects::crashes(Fingerprint fingerprint, Instant now) const -> std::uint32_t
{
    const auto *own = ownCounts_.find(fingerprint, now);
    auto total = own == nullptr ? 0 : *own;
    const auto *reporters = reporters_.find(fingerprint, now);
    if (reporters == nullptr)
        return total;
    for (const auto peer : *reporters) {
        const auto *reported = peerCounts_.find(pairKey(peer, fingerprint), now);
        total += reported == nullptr ? 0 : *reported;
    }
    return total;
}

auto CrashSuspects::ownCounts(Instant now) const -> std::vector<CrashCount>
{
    std::vector<CrashCount> counts;
    for (const auto fingerprint : ownCounts_.newest(maxReportedCounts)) {
        const auto *count = ownCounts_.find(fingerprint, now);
        if (count != nullptr)
            counts.push_back({fingerprint, *count});
    }
    return counts;
}

} // namespace applehatch::direct
