/// Limits the load that retries add.
#pragma once

#include "applehatch/core/identity.h"

#include <map>
#include <string>

namespace applehatch::core {

/// Token bucket that limits retries to a share of recent requests.
///
/// Without it, a pool that fails most requests would receive each of them several times, which
/// keeps it failing: attempts rise while successful answers fall.
class RetryBudget
{
public:
    static constexpr double maxTokens = 20;    ///< Maximum number of retries saved up.
    static constexpr double initialTokens = 3; ///< Lets a new router retry its first requests.
    static constexpr double minTokensPerSecond =
        .5; ///< Refill that lets a router with few requests retry.

    /// Adds `share` of a retry for a request that arrived.
    auto earn(double share, Instant now) -> void;

    /// Takes one retry whether or not one is left. The debt must be refilled before `spend`
    /// succeeds again.
    auto borrow(Instant now) -> void;

    /// Whether `spend` would succeed.
    [[nodiscard]] auto canSpend(Instant now) -> bool;

    /// Takes one retry; returns false when the budget is spent.
    [[nodiscard]] auto spend(Instant now) -> bool;

private:
    auto refill(Instant now) -> void;

    double tokens_ = initialTokens;
    Instant refilledAt_{};
};

/// The budget of each pool, by `team/pool`.
using RetryBudgets = std::map<std::string, RetryBudget>;

} // namespace applehatch::core
