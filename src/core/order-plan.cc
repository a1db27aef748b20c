#include "applehatch/core/order-plan.h"

#include <algorithm>

namespace applehatch::core {

namespace {

constexpr int incarnationBits = 24;
constexpr std::uint64_t incarnationMask = (std::uint64_t{1} << incarnationBits) - 1;

// An incarnation is in microseconds, whose lowest 24 bits wrap around every 17 s and do not show
// which incarnation is later; in units of 2^19 us they wrap around after 101 days. An incarnation
// issues fewer orders than units pass, so its numbers stay below those of the next one.
constexpr int incarnationUnitBits = 19;

auto contains(const std::vector<std::string> &models, const std::string &model) -> bool
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

auto nextChange(const std::vector<std::string> &wanted, const std::vector<std::string> &loaded)
    -> std::optional<PlannedChange>
{
    for (const auto &model : loaded) {
        if (!contains(wanted, model))
            return PlannedChange{ModelChange::Unload, model};
    }
    for (const auto &model : wanted) {
        if (!contains(loaded, model))
            return PlannedChange{ModelChange::Load, model};
    }
    return std::nullopt;
}

FencingNumbers::FencingNumbers(Incarnation incarnation)
    : incarnationPart_((incarnation >> incarnationUnitBits) & incarnationMask)
{ }

auto FencingNumbers::observe(std::uint64_t seen) -> bool
{
    const auto known = std::max(seen_.value_or(seen), issued_);
    superseded_ = superseded_ || (seen > known && (seen & incarnationMask) > incarnationPart_);
    seen_ = std::max(known, seen);
    return !superseded_;
}

auto FencingNumbers::next(SettingsIndex index) -> std::optional<std::uint64_t>
{
    const auto highest = std::max(seen_.value_or(0), issued_);
    if (superseded_ || (highest >> incarnationBits) > index)
        return std::nullopt;
    const auto fresh = (index << incarnationBits) | incarnationPart_;
    issued_ = std::max(fresh, highest + 1);
    return issued_;
}

auto mayBeginRollout(const RolloutView &view) -> bool
{
    return view.unavailable < view.maxUnavailable
        && view.belowLimitFor >= view.rank * view.delayPerRank;
}

} // namespace applehatch::core
