#include "applehatch/direct/upstream-health.h"

#include <algorithm>
#include <cmath>

namespace applehatch::direct {

namespace {

auto decayed(double share, Duration age) -> double
{
    if (share <= 0)
        return 0;
    const auto halfLives = std::chrono::duration<double>(age)
        / std::chrono::duration<double>(UpstreamHealth::halfLife);
    return share * std::exp2(-std::max(0.0, halfLives));
}

} // namespace

auto UpstreamHealth::note(UpstreamId upstream, Outcome outcome, Instant now) -> void
{
    auto &record = records_[upstream];
    const auto before = decayed(record.failureShare, now - record.notedAt);
    const auto failed = outcome != Outcome::Served && outcome != Outcome::Refused;
    record.failureShare = before + outcomeWeight * ((failed ? 1.0 : 0.0) - before);
    record.notedAt = now;
    if (outcome == Outcome::Served || outcome == Outcome::Refused) {
        record.pause = Duration(0);
        record.pausedUntil = Instant();
        return;
    }
    const auto unreachable = outcome == Outcome::Unreachable || outcome == Outcome::Silent;
    if (!unreachable || now < record.pausedUntil)
        return;
    record.pause = std::clamp(2 * record.pause, initialPause, maxPause);
    record.pausedUntil = now + record.pause;
}

auto UpstreamHealth::noteFirstEvent(UpstreamId upstream, Duration wait) -> void
{
    auto &record = records_[upstream];
    const auto ms = std::chrono::duration<double, std::milli>(wait).count();
    ++record.firstEvents;
    const auto weight = std::max(firstEventWeight, 1.0 / record.firstEvents);
    record.firstEventMs += weight * (ms - record.firstEventMs);
    // All upstreams together yield several times as many first events as one.
    constexpr double share = 0.1;
    ++allFirstEvents_;
    const auto weightOfAll =
        std::max(share * firstEventWeight, 1.0 / static_cast<double>(allFirstEvents_));
    allFirstEventMs_ += weightOfAll * (ms - allFirstEventMs_);
}

auto UpstreamHealth::slowness(UpstreamId upstream) const -> double
{
    const auto found = records_.find(upstream);
    const auto tooLittle = found == records_.end() || allFirstEventMs_ <= 0
        || found->second.firstEvents < minFirstEvents;
    return tooLittle ? 1 : found->second.firstEventMs / allFirstEventMs_;
}

auto UpstreamHealth::failureShare(UpstreamId upstream, Instant now) const -> double
{
    const auto found = records_.find(upstream);
    return found == records_.end()
        ? 0
        : decayed(found->second.failureShare, now - found->second.notedAt);
}

auto UpstreamHealth::isPaused(UpstreamId upstream, Instant now) const -> bool
{
    const auto found = records_.find(upstream);
    return found != records_.end() && now < found->second.pausedUntil;
}

} // namespace applehatch::direct
