#include "applehatch/direct/keepers.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

KeeperChoice::KeeperChoice(std::vector<core::Address> routers)
    : routers_(std::move(routers))
{
    names_.reserve(routers_.size());
    for (const auto &router : routers_)
        names_.push_back(router.ip + ':' + std::to_string(router.port));
}

auto KeeperChoice::keepersOf(std::uint64_t key, std::size_t count) const
    -> std::vector<core::Address>
{
    using Ranked = std::pair<std::uint64_t, std::size_t>; // Hash and index.
    std::vector<Ranked> ranked;
    ranked.reserve(names_.size());
    for (std::size_t i = 0; i < names_.size(); ++i)
        ranked.emplace_back(core::stableHash(names_[i], key), i);
    const auto kept = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), kept, ranked.end(),
                      [](const Ranked &a, const Ranked &b) { return a.first > b.first; });
    std::vector<core::Address> keepers;
    for (auto each = ranked.begin(); each != kept; ++each)
        keepers.push_back(routers_[each->second]);
    return keepers;
}

auto keepersOf(std::uint64_t key, std::vector<core::Address> routers, std::size_t count)
    -> std::vector<core::Address>
{
    return KeeperChoice(std::move(routers)).keepersOf(key, count);
}

} // namespace applehatch::direct
