#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <string_view>

namespace applehatch::core {

namespace {

constexpr std::size_t halfBytes = sizeof(std::uint64_t);
constexpr int unitBits = 53; // Integers of this size are exact in a double.
constexpr double unit = 1.0 / static_cast<double>(std::uint64_t{1} << unitBits);

// Uniform in (0, 1), never 0 or 1.
auto unitHash(std::uint64_t key, UpstreamId member) -> double
{
    const auto top = static_cast<double>(rendezvousHash(key, member) >> (64 - unitBits));
    return (top + 0.5) * unit;
}

struct Scored
{
    double score;
    UpstreamId member;
};

auto isBetter(const Scored &a, const Scored &b) -> bool
{
    return a.score != b.score ? a.score > b.score : a.member < b.member;
}

auto scoreAll(std::uint64_t key, const std::vector<settings::Member> &members)
    -> std::vector<Scored>
{
    std::vector<Scored> scored;
    scored.reserve(members.size());
    for (const auto &member : members)
        scored.push_back({rendezvousScore(key, member.id, member.slots), member.id});
    return scored;
}

} // namespace

auto rendezvousHash(std::uint64_t key, UpstreamId member) -> std::uint64_t
{
    std::array<char, 2 * halfBytes> bytes{};
    std::memcpy(bytes.data(), &key, halfBytes);
    std::memcpy(bytes.data() + halfBytes, &member, halfBytes);
    return stableHash(std::string_view(bytes.data(), bytes.size()));
}

auto rendezvousScore(std::uint64_t key, UpstreamId member, std::uint32_t slots) -> double
{
    return -static_cast<double>(std::max(1U, slots)) / std::log(unitHash(key, member));
}

auto rendezvousOrder(std::uint64_t key, const std::vector<settings::Member> &members)
    -> std::vector<UpstreamId>
{
    auto scored = scoreAll(key, members);
    std::sort(scored.begin(), scored.end(), isBetter);
    std::vector<UpstreamId> order;
    order.reserve(scored.size());
    for (const auto &entry : scored)
        order.push_back(entry.member);
    return order;
}

auto rendezvousOwner(std::uint64_t key, const std::vector<settings::Member> &members) -> UpstreamId
{
    const auto scored = scoreAll(key, members);
    const auto best = std::min_element(scored.begin(), scored.end(), isBetter);
    return best == scored.end() ? 0 : best->member;
}

} // namespace applehatch::core
