#include "settings-replica-calls.h"

#include <algorithm>

namespace applehatch::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration minSpacing = milliseconds(100);
constexpr Duration maxSpacing = milliseconds(300);
constexpr Duration firstBackoff = seconds(2);
constexpr Duration maxBackoff = seconds(8);
constexpr Duration minWatchTime = seconds(1);
/// Much longer than any watch. An older call was lost by the host.
constexpr Duration callTimeout = seconds(300);

constexpr Duration firstPullJitter = milliseconds(200);
constexpr Duration minRetryDelay = milliseconds(150);
constexpr Duration maxRetryDelay = milliseconds(300);
constexpr Duration pullTimeout = milliseconds(300);
constexpr Duration maxPullInterval = seconds(30);
constexpr unsigned sameDataCenterTries = 2;
constexpr unsigned triesPerReader = 3;
constexpr unsigned triesBeforeBackoff = 24;    ///< Pulls before their interval grows.
constexpr unsigned triesBeforeServiceRead = 8; ///< Pulls before the service is read.
constexpr unsigned maxTries = 30;
constexpr unsigned unansweredTriesBeforeServiceRead = 4; ///< The same if no pull was answered.

} // namespace

auto between(Duration min, Duration max, Random &random) -> Duration
{
    return Duration(std::uniform_int_distribution<Duration::rep>(min.count(), max.count())(random));
}

auto ServiceCalls::delayUntil(Instant at) -> void
{
    notBefore_ = std::max(notBefore_, at);
}

auto ServiceCalls::mayCall(Instant now) const -> bool
{
    const auto busy = outstanding_ && now - askedAt_ < callTimeout;
    return !busy && now >= notBefore_;
}

auto ServiceCalls::asked(std::optional<SettingsIndex> waitFor, Instant now) -> void
{
    outstanding_ = true;
    askedAt_ = now;
    waitFor_ = waitFor;
}

auto ServiceCalls::answered(SettingsIndex index, Instant now, Random &random) -> void
{
    const auto hasNewIndex = !waitFor_ || index > *waitFor_;
    if (!hasNewIndex && now - askedAt_ < minWatchTime) {
        failed(now, random);
        return;
    }
    outstanding_ = false;
    backoff_ = Duration(0);
    notBefore_ = now + between(minSpacing, maxSpacing, random);
}

auto ServiceCalls::failed(Instant now, Random &random) -> void
{
    outstanding_ = false;
    backoff_ = std::clamp(backoff_ * 2, firstBackoff, maxBackoff);
    notBefore_ = now + between(backoff_ / 2, backoff_ * 3 / 2, random);
}

auto PullSchedule::choice() const -> PeerChoice
{
    if (tries_ % triesPerReader == triesPerReader - 1) {
        return PeerChoice::Readers;
    }
    return tries_ < sameDataCenterTries ? PeerChoice::SameDataCenter : PeerChoice::Any;
}

auto PullSchedule::wantsService() const -> bool
{
    return active_
        && (tries_ >= triesBeforeServiceRead
            || (answers_ == 0 && tries_ >= unansweredTriesBeforeServiceRead));
}

auto PullSchedule::exhausted() const -> bool
{
    return active_ && tries_ >= maxTries;
}

auto PullSchedule::begin(Instant now, Random &random) -> void
{
    if (!active_) {
        active_ = true;
        next_ = now + between(Duration(0), firstPullJitter, random);
    }
}

auto PullSchedule::sent(UpstreamId peer, Instant now, Random &random) -> void
{
    ++tries_;
    last_ = peer;
    asked_.insert(peer);
    const auto doublings =
        tries_ > triesBeforeBackoff ? std::min(tries_ - triesBeforeBackoff, 6U) : 0U;
    const auto wait = std::min(pullTimeout * (1 << doublings), maxPullInterval);
    next_ = now + between(wait, wait * 3 / 2, random);
}

auto PullSchedule::unsatisfied(Instant now, Random &random) -> void
{
    if (!active_) {
        return;
    }
    ++answers_;
    if (tries_ <= triesBeforeBackoff) {
        next_ = std::min(next_, now + between(minRetryDelay, maxRetryDelay, random));
    }
}

auto PullSchedule::partial(Instant now) -> void
{
    ++answers_;
    asked_.erase(last_);
    next_ = now;
}

auto PullSchedule::end() -> void
{
    *this = PullSchedule();
}

} // namespace applehatch::core
