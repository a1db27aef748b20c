#include "applehatch/core/order-plan.h"

#include <algorithm>

namespace applehatch::core {

namespace {

constexpr int lifeBits = 24;
constexpr std::uint64_t lifeMask = (std::uint64_t{1} << lifeBits) - 1;

// An incarnation is in microseconds, whose lowest 24 bits come round every 17 s and tell nothing of
// which life is the later one; in units of 2^19 us they come round after 101 days. A life gives
// fewer orders than units pass, so its numbers stay below those of the next.
constexpr int lifeUnitBits = 19;

auto contains(const std::vector<std::string> &models, const std::string &model) -> bool
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

auto nextChange(const std::vector<std::string> &wanted, const std::vector<std::string> &held)
    -> std::optional<PlannedChange>
{
    for (const auto &model : held) {
        if (!contains(wanted, model))
            return PlannedChange{ModelChange::Unload, model};
    }
    for (const auto &model : wanted) {
        if (!contains(held, model))
            return PlannedChange{ModelChange::Load, model};
    }
    return std::nullopt;
}

FencingNumbers::FencingNumbers(Incarnation incarnation)
    : life_((incarnation >> lifeUnitBits) & lifeMask)
{ }

auto FencingNumbers::observe(std::uint64_t seen) -> bool
{
    const auto known = std::max(seen_.value_or(seen), given_);
    superseded_ = superseded_ || (seen > known && (seen & lifeMask) > life_);
    seen_ = std::max(known, seen);
    return !superseded_;
}

auto FencingNumbers::next(SettingsIndex index) -> std::optional<std::uint64_t>
{
    const auto highest = std::max(seen_.value_or(0), given_);
    if (superseded_ || (highest >> lifeBits) > index)
        return std::nullopt;
    const auto fresh = (index << lifeBits) | life_;
    given_ = std::max(fresh, highest + 1);
    return given_;
}

auto mayBeginRollout(const RolloutView &view) -> bool
{
    return view.out < view.width && view.quiet >= view.rank * view.step;
}

} // namespace applehatch::core
