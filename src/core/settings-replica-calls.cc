#include "settings-replica-calls.h"

#include <algorithm>

namespace applehatch::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration leastSpacing = milliseconds(100);
constexpr Duration mostSpacing = milliseconds(300);
constexpr Duration firstBackoff = seconds(2);
constexpr Duration longestBackoff = seconds(8);
constexpr Duration quickAnswer = seconds(1);
/// Far beyond any wait of a watch; then the host lost the call.
constexpr Duration callLost = seconds(300);

constexpr Duration firstPullJitter = milliseconds(200);
constexpr Duration soonLeast = milliseconds(150);
constexpr Duration soonMost = milliseconds(300);
constexpr Duration pullTimeout = milliseconds(300);
constexpr Duration longestPullWait = seconds(30);
constexpr unsigned nearTries = 2;
constexpr unsigned readerEvery = 3;
constexpr unsigned patientTries = 24;  ///< Pulls before their waits grow.
constexpr unsigned fruitlessTries = 8; ///< Pulls before the service is called.
constexpr unsigned mostTries = 30;
constexpr unsigned silentTries = 4; ///< Pulls without any answer before the service is called.

} // namespace

auto between(Duration least, Duration most, Random &random) -> Duration
{
    return Duration(
        std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random));
}

auto ServiceCalls::holdUntil(Instant at) -> void
{
    notBefore_ = std::max(notBefore_, at);
}

auto ServiceCalls::mayCall(Instant now) const -> bool
{
    const auto busy = outstanding_ && now - askedAt_ < callLost;
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
    const auto news = !waitFor_ || index > *waitFor_;
    if (!news && now - askedAt_ < quickAnswer) {
        failed(now, random);
        return;
    }
    outstanding_ = false;
    backoff_ = Duration(0);
    notBefore_ = now + between(leastSpacing, mostSpacing, random);
}

auto ServiceCalls::failed(Instant now, Random &random) -> void
{
    outstanding_ = false;
    backoff_ = std::clamp(backoff_ * 2, firstBackoff, longestBackoff);
    notBefore_ = now + between(backoff_ / 2, backoff_ * 3 / 2, random);
}

auto Pursuit::choice() const -> PeerChoice
{
    if (tries_ % readerEvery == readerEvery - 1) {
        return PeerChoice::Readers;
    }
    return tries_ < nearTries ? PeerChoice::Near : PeerChoice::Any;
}

auto Pursuit::wantsService() const -> bool
{
    return active_ && (tries_ >= fruitlessTries || (answers_ == 0 && tries_ >= silentTries));
}

auto Pursuit::exhausted() const -> bool
{
    return active_ && tries_ >= mostTries;
}

auto Pursuit::begin(Instant now, Random &random) -> void
{
    if (!active_) {
        active_ = true;
        next_ = now + between(Duration(0), firstPullJitter, random);
    }
}

auto Pursuit::sent(UpstreamId peer, Instant now, Random &random) -> void
{
    ++tries_;
    last_ = peer;
    asked_.insert(peer);
    const auto doublings = tries_ > patientTries ? std::min(tries_ - patientTries, 6U) : 0U;
    const auto wait = std::min(pullTimeout * (1 << doublings), longestPullWait);
    next_ = now + between(wait, wait * 3 / 2, random);
}

auto Pursuit::unsatisfied(Instant now, Random &random) -> void
{
    if (!active_) {
        return;
    }
    ++answers_;
    if (tries_ <= patientTries) {
        next_ = std::min(next_, now + between(soonLeast, soonMost, random));
    }
}

auto Pursuit::partial(Instant now) -> void
{
    ++answers_;
    asked_.erase(last_);
    next_ = now;
}

auto Pursuit::end() -> void
{
    *this = Pursuit();
}

} // namespace applehatch::core
