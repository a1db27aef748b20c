#include "applehatch/direct/registry-readers.h"

#include <algorithm>

namespace applehatch::direct {

auto RegistryReaders::countLower(const std::vector<std::uint64_t> &ranks) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        ranks.begin(), ranks.end(), [this](std::uint64_t rank) { return rank < ownRank_; }));
}

auto RegistryReaders::decide(const PeerRanks &heard, Instant now) -> bool
{
    const auto steps = static_cast<Duration::rep>(countLower(heard.alive) / targetReaders);
    delay_ = std::min(maxTakeoverDelay, steps * takeoverStep);
    if (countLower(heard.reading) < targetReaders) {
        redundantSince_.reset();
        if (!shortageSince_)
            shortageSince_ = now;
        if (now - *shortageSince_ >= delay_)
            reads_ = true;
        return reads_;
    }
    shortageSince_.reset();
    if (!redundantSince_)
        redundantSince_ = now;
    const auto isNew = now - startedAt_ <= startupPeriod;
    if (isNew || now - *redundantSince_ >= stopDelay)
        reads_ = false;
    return reads_;
}

} // namespace applehatch::direct
