#include "applehatch/direct/keepers.h"

#include <algorithm>
#include <string>
#include <utility>

namespace applehatch::direct {

auto keepersOf(std::uint64_t key, std::vector<core::Address> routers, std::size_t count)
    -> std::vector<core::Address>
{
    using Ranked = std::pair<std::uint64_t, core::Address>;
    std::vector<Ranked> ranked;
    ranked.reserve(routers.size());
    for (auto &router : routers) {
        const auto hash = core::stableHash(router.ip + ':' + std::to_string(router.port), key);
        ranked.emplace_back(hash, std::move(router));
    }
    const auto kept = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), kept, ranked.end(),
                      [](const Ranked &a, const Ranked &b) { return a.first > b.first; });
    std::vector<core::Address> keepers;
    for (auto each = ranked.begin(); each != kept; ++each)
        keepers.push_back(std::move(each->second));
    return keepers;
}

} // namespace applehatch::direct
