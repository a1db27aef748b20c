#include "applehatch/core/order-plan.h"

#include <algorithm>

namespace applehatch::core {

namespace {

constexpr int incarnationBits = 24;
constexpr std::uint64_t incarnationMask = (std::uint64_t{1} << incarnationBits) - 1;

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
    : incarnation_(incarnation)
{ }

auto FencingNumbers::observe(std::uint64_t seen) -> bool
{
    const auto known = std::max(seen_.value_or(seen), given_);
    superseded_ = superseded_ || seen > known;
    seen_ = std::max(known, seen);
    return !superseded_;
}

auto FencingNumbers::next(SettingsIndex index) -> std::optional<std::uint64_t>
{
    const auto highest = std::max(seen_.value_or(0), given_);
    if (superseded_ || (highest >> incarnationBits) > index)
        return std::nullopt;
    const auto fresh = (index << incarnationBits) | (incarnation_ & incarnationMask);
    given_ = std::max(fresh, highest + 1);
    return given_;
}

auto mayBeginRollout(const RolloutView &view) -> bool
{
    return view.out < view.width && view.quiet >= view.rank * view.step;
}

} // namespace applehatch::core
