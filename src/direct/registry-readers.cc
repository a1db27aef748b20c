#include "applehatch/direct/registry-readers.h"

#include <algorithm>

namespace applehatch::direct {

auto RegistryReaders::countLower(const std::vector<std::uint64_t> &ranks) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        ranks.begin(), ranks.end(), [this](std::uint64_t rank) { return rank < ownRank_; }));
}

auto RegistryReaders::decide(const HeardRanks &heard, Instant now) -> bool
{
    const auto steps = static_cast<Duration::rep>(countLower(heard.alive) / wanted);
    delay_ = std::min(longestDelay, steps * startStep);
    if (countLower(heard.reading) < wanted) {
        spareSince_.reset();
        if (!missingSince_)
            missingSince_ = now;
        if (now - *missingSince_ >= delay_)
            reads_ = true;
        return reads_;
    }
    missingSince_.reset();
    if (!spareSince_)
        spareSince_ = now;
    const auto isNew = now - startedAt_ <= startsWithin;
    if (isNew || now - *spareSince_ >= stopsAfter)
        reads_ = false;
    return reads_;
}

} // namespace applehatch::direct
