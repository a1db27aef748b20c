#include "applehatch/direct/pace-tracker.h"

#include <algorithm>

namespace applehatch::direct {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

auto PaceTracker::note(UpstreamId upstream, double slowdown, Instant now) -> void
{
    auto &record = records_[upstream];
    record.mean += (slowdown - record.mean) * meanWeight;
    record.slowdown = slowdown;
    record.at = now;
}

auto PaceTracker::forget(UpstreamId upstream) -> void
{
    records_.erase(upstream);
}

auto PaceTracker::slowdown(UpstreamId upstream, Instant now) const -> double
{
    const auto found = records_.find(upstream);
    if (found == records_.end())
        return 1;
    const auto &record = found->second;
    const auto age = Seconds(now - record.at) / Seconds(reportLifetime);
    const auto believed = std::clamp(1 - age, 0.0, 1.0);
    return believed * record.slowdown + (1 - believed) * record.mean;
}

auto PaceTracker::reports(UpstreamId upstream) const -> bool
{
    return records_.contains(upstream);
}

} // namespace applehatch::direct
