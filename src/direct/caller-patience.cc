#include "applehatch/direct/caller-patience.h"

#include <algorithm>

namespace applehatch::direct {

auto CallerPatience::usual(const Recent &recent) -> Duration
{
    auto given = recent.given;
    const auto known = std::min(recent.count, samples);
    const auto above = static_cast<std::size_t>(static_cast<double>(known) * upperShare);
    const auto at = given.begin() + static_cast<std::ptrdiff_t>(above);
    const auto end = given.begin() + static_cast<std::ptrdiff_t>(known);
    std::nth_element(given.begin(), at, end, std::greater<>());
    return *at;
}

auto CallerPatience::note(const std::string &route, Duration given) -> Duration
{
    if (recent_.size() >= maxRoutes && !recent_.contains(route))
        recent_.clear();
    auto &recent = recent_[route];
    recent.given.at(recent.count % samples) = given;
    ++recent.count;
    if (recent.count < minSamples)
        return Duration(0);
    const auto usualTime = usual(recent);
    const auto isNew = given >= std::chrono::duration_cast<Duration>(usualTime * newShare);
    return isNew ? Duration(0) : usualTime - given;
}

} // namespace applehatch::direct
