/// Limits on what retries may add to the load.
#pragma once

#include "applehatch/core/identity.h"

#include <map>
#include <string>

namespace applehatch::core {

/// Token bucket that holds retries to a share of recent requests.
///
/// Without it, a pool that fails most requests would get each of them several times over, which
/// keeps it failing; one would notice attempts rise as answers fall.
class RetryBudget
{
public:
    static constexpr double burst = 20;          ///< Most retries saved up.
    static constexpr double start = 3;           ///< Lets a fresh router retry its first requests.
    static constexpr double floorPerSecond = .5; ///< Keeps a quiet router able to retry.

    /// A request arrived; it earns `share` of a retry.
    auto earn(double share, Instant now) -> void;

    /// Takes one retry whether or not one is left; what is owed is paid before the next `spend`.
    auto borrow(Instant now) -> void;

    /// Whether `spend` would succeed.
    [[nodiscard]] auto hasOne(Instant now) -> bool;

    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] auto spend(Instant now) -> bool;

private:
    auto refill(Instant now) -> void;

    double tokens_ = start;
    Instant refilledAt_{};
};

/// The budget of each pool, by `team/pool`.
using RetryBudgets = std::map<std::string, RetryBudget>;

} // namespace applehatch::core
