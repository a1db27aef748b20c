#include "applehatch/direct/upstream-health.h"

#include <algorithm>
#include <cmath>

namespace applehatch::direct {

namespace {

auto faded(double share, Duration age) -> double
{
    if (share <= 0)
        return 0;
    const auto halves = std::chrono::duration<double>(age)
        / std::chrono::duration<double>(UpstreamHealth::halfLife);
    return share * std::exp2(-std::max(0.0, halves));
}

} // namespace

auto UpstreamHealth::note(UpstreamId upstream, Outcome outcome, Instant now) -> void
{
    auto &held = held_[upstream];
    const auto before = faded(held.failureShare, now - held.notedAt);
    const auto failed = outcome != Outcome::Served && outcome != Outcome::Refused;
    held.failureShare = before + newestWeight * ((failed ? 1.0 : 0.0) - before);
    held.notedAt = now;
    if (outcome == Outcome::Served || outcome == Outcome::Refused) {
        held.pause = Duration(0);
        held.pausedUntil = Instant();
        return;
    }
    const auto unreachable = outcome == Outcome::Unreachable || outcome == Outcome::Silent;
    if (!unreachable || now < held.pausedUntil)
        return;
    held.pause = std::clamp(2 * held.pause, firstPause, longestPause);
    held.pausedUntil = now + held.pause;
}

auto UpstreamHealth::noteFirstEvent(UpstreamId upstream, Duration wait) -> void
{
    auto &held = held_[upstream];
    const auto ms = std::chrono::duration<double, std::milli>(wait).count();
    ++held.firstEvents;
    const auto weight = std::max(firstEventWeight, 1.0 / held.firstEvents);
    held.firstEventMs += weight * (ms - held.firstEventMs);
    constexpr double share = 0.1; // All upstreams together send several times as many.
    ++allFirstEvents_;
    const auto weightOfAll =
        std::max(share * firstEventWeight, 1.0 / static_cast<double>(allFirstEvents_));
    allFirstEventMs_ += weightOfAll * (ms - allFirstEventMs_);
}

auto UpstreamHealth::slowness(UpstreamId upstream) const -> double
{
    const auto found = held_.find(upstream);
    const auto tooLittle = found == held_.end() || allFirstEventMs_ <= 0
        || found->second.firstEvents < fewestFirstEvents;
    return tooLittle ? 1 : found->second.firstEventMs / allFirstEventMs_;
}

auto UpstreamHealth::failureShare(UpstreamId upstream, Instant now) const -> double
{
    const auto found = held_.find(upstream);
    return found == held_.end() ? 0
                                : faded(found->second.failureShare, now - found->second.notedAt);
}

auto UpstreamHealth::isPaused(UpstreamId upstream, Instant now) const -> bool
{
    const auto found = held_.find(upstream);
    return found != held_.end() && now < found->second.pausedUntil;
}

} // namespace applehatch::direct
