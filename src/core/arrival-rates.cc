#include "applehatch/core/arrival-rates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace applehatch::core {

namespace {

/// Time constant of the decay. Long enough to see some ten requests of a small engine, short
/// enough to follow a surge.
constexpr double decaySeconds = 5;

} // namespace

auto ArrivalRates::record(int priority, Instant now) -> void
{
    auto &rate = rates_[priority];
    rate = {decayed(rate, now) + 1 / decaySeconds, now};
}

auto ArrivalRates::above(int priority, Instant now) const -> double
{
    double sum = 0;
    for (auto rate = rates_.upper_bound(priority); rate != rates_.end(); ++rate)
        sum += decayed(rate->second, now);
    return sum;
}

auto ArrivalRates::decayed(const Rate &rate, Instant now) -> double
{
    const auto age = std::chrono::duration<double>(now - rate.since).count();
    return rate.perSecond * std::exp(-std::max(0.0, age) / decaySeconds);
}

} // namespace applehatch::core
