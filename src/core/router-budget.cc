#include "router-budget.h"

#include <algorithm>

namespace applehatch::core {

auto RetryBudget::refill(Instant now) -> void
{
    const std::chrono::duration<double> passed = std::max(now - refilledAt_, Duration::zero());
    refilledAt_ = now;
    // The floor stops at the starting credit: a router idle for an hour has not earned a burst.
    if (tokens_ < start)
        tokens_ = std::min(start, tokens_ + passed.count() * floorPerSecond);
}

auto RetryBudget::earn(double share, Instant now) -> void
{
    refill(now);
    tokens_ = std::min(burst, tokens_ + share);
}

auto RetryBudget::borrow(Instant now) -> void
{
    refill(now);
    tokens_ = std::max(-burst, tokens_ - 1);
}

auto RetryBudget::hasOne(Instant now) -> bool
{
    refill(now);
    return tokens_ >= 1;
}

auto RetryBudget::spend(Instant now) -> bool
{
    if (!hasOne(now))
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace applehatch::core
