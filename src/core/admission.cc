#include "applehatch/core/admission.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

constexpr double smoothingFactor = 0.2;
constexpr double maxHigherPriorityShare = 0.95; ///< Keeps the expected wait finite.
constexpr Duration defaultServiceTime = std::chrono::seconds(1);
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr Duration maxRetryAfter = std::chrono::seconds(30);

} // namespace

auto admissionBound(const Pool &pool, const PoolLoad &knownLoad, std::uint32_t slots)
    -> std::uint32_t
{
    if (pool.members.size() <= 1)
        return slots + pool.queueLimit;
    if (knownLoad.members <= 1)
        return std::max(1U, slots);
    return loadBound(knownLoad, slots, pool.loadMultiple);
}

auto ServiceTime::record(Duration run) -> void
{
    if (!mean_) {
        mean_ = run;
        return;
    }
    const auto difference = static_cast<double>((run - *mean_).count());
    *mean_ += Duration(static_cast<Duration::rep>(smoothingFactor * difference));
}

auto expectedWait(const Backlog &backlog, Duration serviceTime) -> Duration
{
    const auto left = 1 - std::min(backlog.higherPriorityShare, maxHigherPriorityShare);
    const auto turns = (backlog.ahead + 1) / std::max(1U, backlog.slots) / left;
    return Duration(static_cast<Duration::rep>(turns * static_cast<double>(serviceTime.count())));
}

auto retryAfterFor(const Backlog &backlog, std::optional<Duration> serviceTime) -> Duration
{
    const auto wait = expectedWait(backlog, serviceTime.value_or(defaultServiceTime));
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

} // namespace applehatch::core
