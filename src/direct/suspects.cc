#include "applehatch/direct/suspects.h"

#include <algorithm>

namespace applehatch::direct {

namespace {

auto pairKey(std::uint64_t peer, Fingerprint fingerprint) -> std::uint64_t
{
    constexpr std::uint64_t odd = 0x9e3779b97f4a7c15U; // 2^64 / golden ratio; spreads the bits.
    return fingerprint ^ (peer * odd);
}

} // namespace

auto Suspects::noteCrash(Fingerprint fingerprint, Instant now) -> void
{
    const auto *held = own_.find(fingerprint, now);
    own_.put(fingerprint, (held == nullptr ? 0 : *held) + 1, now + lifetime);
}

auto Suspects::noteServed(Fingerprint fingerprint) -> void
{
    own_.erase(fingerprint);
}

auto Suspects::notePeer(std::uint64_t peer, const std::vector<CrashCount> &counts, Instant now)
    -> void
{
    for (const auto &count : counts) {
        peers_.put(pairKey(peer, count.fingerprint), count.crashes, now + lifetime);
        const auto *known = tellers_.find(count.fingerprint, now);
        auto tellers = known == nullptr ? std::vector<std::uint64_t>() : *known;
        if (std::find(tellers.begin(), tellers.end(), peer) == tellers.end())
            tellers.push_back(peer);
        tellers_.put(count.fingerprint, std::move(tellers), now + lifetime);
    }
}

auto Suspects::crashes(Fingerprint fingerprint, Instant now) const -> std::uint32_t
{
    const auto *own = own_.find(fingerprint, now);
    auto total = own == nullptr ? 0 : *own;
    const auto *tellers = tellers_.find(fingerprint, now);
    if (tellers == nullptr)
        return total;
    for (const auto peer : *tellers) {
        const auto *said = peers_.find(pairKey(peer, fingerprint), now);
        total += said == nullptr ? 0 : *said;
    }
    return total;
}

auto Suspects::ownCounts(Instant now) const -> std::vector<CrashCount>
{
    std::vector<CrashCount> counts;
    for (const auto fingerprint : own_.newest(told)) {
        const auto *held = own_.find(fingerprint, now);
        if (held != nullptr)
            counts.push_back({fingerprint, *held});
    }
    return counts;
}

} // namespace applehatch::direct
