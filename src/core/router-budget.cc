#include "router-budget.h"

#include <algorithm>

namespace applehatch::core {

auto RetryBudget::refill(Instant now) -> void
{
    const std::chrono::duration<double> passed = std::max(now - refilledAt_, Duration::zero());
    refilledAt_ = now;
    // The time-based refill stops at the initial credit: a router that was idle for an hour has not
    // earned a burst of retries.
    if (tokens_ < initialTokens)
        tokens_ = std::min(initialTokens, tokens_ + passed.count() * minTokensPerSecond);
}

auto RetryBudget::earn(double share, Instant now) -> void
{
    refill(now);
    tokens_ = std::min(maxTokens, tokens_ + share);
}

auto RetryBudget::borrow(Instant now) -> void
{
    refill(now);
    tokens_ = std::max(-maxTokens, tokens_ - 1);
}

auto RetryBudget::canSpend(Instant now) -> bool
{
    refill(now);
    return tokens_ >= 1;
}

auto RetryBudget::spend(Instant now) -> bool
{
    if (!canSpend(now))
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace applehatch::core
