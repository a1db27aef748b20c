#include "applehatch/core/placement.h"
#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace applehatch::core {

namespace {

using namespace std::chrono_literals;
using settings::Member;

constexpr std::uint32_t ringPointsPerMember = 16; ///< For the consistent-hashing baseline.
constexpr Duration maxLoadAge =
    3s; ///< Older reports do not show that a member is well over its bound.
constexpr std::uint32_t minExcess = 2; ///< Minimum excess for a member to be well over its bound.

struct Ranked
{
    bool otherDataCenter = false; ///< In another data centre, where the pool prefers the own.
    double score = 0;             ///< Smaller is better.
    UpstreamId id = 0;

    auto operator<(const Ranked &other) const -> bool
    {
        if (otherDataCenter != other.otherDataCenter)
            return !otherDataCenter;
        return score != other.score ? score < other.score : id < other.id;
    }
};

// The finalizer of splitmix64. Ids and keys are already hashes and only need mixing.
auto mix(std::uint64_t id, std::uint64_t key) -> std::uint64_t
{
    auto x = id ^ (key * 0x9e3779b97f4a7c15U);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

auto unitInterval(std::uint64_t hash) -> double
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return (static_cast<double>(hash >> 11U) + 0.5) * scale;
}

// An exponential race: a member with s slots wins with probability s over the sum of slots, and a
// member that joins or leaves moves only its own share of the keys.
auto weightedScore(const Member &member, std::uint64_t key) -> double
{
    return 1 / rendezvousScore(key, member.id, member.slots);
}

template <typename Visit>
auto forEachUsable(const PlacementView &view, const Visit &visit) -> void
{
    auto next = view.usable.begin();
    for (const auto &member : view.pool.members) {
        if (next == view.usable.end())
            return;
        if (*next != member.id)
            continue;
        visit(member);
        ++next;
    }
}

auto firstIds(std::vector<Ranked> &ranked, std::size_t count) -> std::vector<UpstreamId>
{
    const auto kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end());
    std::vector<UpstreamId> ids;
    ids.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        ids.push_back(ranked[i].id);
    return ids;
}

auto loadOf(const DigestEntry &entry) -> std::uint32_t
{
    return entry.running + entry.waiting;
}

auto boundOf(const PlacementView &view, const DigestEntry &entry) -> std::uint32_t
{
    return loadBound(view.poolLoad, entry.slots, view.pool.loadMultiple);
}

auto isAtBound(const PlacementView &view, UpstreamId id) -> bool
{
    const auto entry = view.loads.find(id, view.now);
    return entry && view.poolLoad.slots != 0 && loadOf(*entry) >= boundOf(view, *entry);
}

auto relativeLoad(const PlacementView &view, UpstreamId id) -> double
{
    const auto entry = view.loads.find(id, view.now);
    if (!entry)
        return view.poolLoad.mean();
    return static_cast<double>(loadOf(*entry)) / std::max(1U, entry->slots);
}

auto shuffleFirst(std::vector<UpstreamId> &ids, std::size_t count, Random &random) -> void
{
    for (std::size_t i = 0; i < std::min(count, ids.size()); ++i)
        std::swap(ids[i], ids[i + random() % (ids.size() - i)]);
}

auto putLesserLoadedFirst(const PlacementView &view, std::vector<UpstreamId> &ids) -> void
{
    if (ids.size() > 1 && relativeLoad(view, ids[1]) < relativeLoad(view, ids[0]))
        std::swap(ids[0], ids[1]);
}

// The two candidates are derived from the request's fingerprint. If they were random, a request
// that crashes engines would reach a new engine with each repeat until the crash is known
// everywhere. For the same reason loads are compared only while both candidates are usable: once
// one of them is passed over, the order is the rendezvous order that a second try after a crash
// follows.
auto placeWithoutChat(const PlacementView &view, Random &random) -> std::vector<UpstreamId>
{
    const auto draw = view.fingerprint != 0 ? view.fingerprint : random();
    std::vector<Ranked> configured;
    configured.reserve(view.pool.members.size());
    for (const auto &member : view.pool.members) {
        const auto otherDataCenter =
            view.pool.preferOwnDataCenter && member.dataCenter != view.ownDataCenter;
        configured.push_back({otherDataCenter, weightedScore(member, draw), member.id});
    }
    std::vector<Ranked> ranked;
    ranked.reserve(view.usable.size());
    std::size_t index = 0;
    forEachUsable(view, [&](const Member &member) {
        while (configured[index].id != member.id)
            ++index;
        ranked.push_back(configured[index]);
    });
    const auto drawn = firstIds(configured, 2);
    auto ids = firstIds(ranked, maxPlacementCandidates);
    const auto mayCompare = view.fingerprint == 0
        || (ids.size() > 1 && drawn.size() > 1 && ids[0] == drawn[0] && ids[1] == drawn[1]);
    if (mayCompare && ids.size() > 1 && ranked[0].otherDataCenter == ranked[1].otherDataCenter)
        putLesserLoadedFirst(view, ids);
    const auto compared = std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(ids.size()));
    std::stable_partition(ids.begin() + compared, ids.end(),
                          [&](UpstreamId id) { return !isAtBound(view, id); });
    return ids;
}

// A context token names the upstream that holds the context even when the request has no chat.
auto putTokenUpstreamFirst(const PlacementView &view, std::vector<UpstreamId> ids)
    -> std::vector<UpstreamId>
{
    const auto &usable = view.usable;
    const auto preferred = view.tokenUpstream;
    if (std::find(usable.begin(), usable.end(), preferred) == usable.end()
        || isWellOverBound(view, preferred))
        return ids;
    std::erase(ids, preferred);
    ids.insert(ids.begin(), preferred);
    return ids;
}

} // namespace

// A chat leaves the member with its context only when that member would refuse it even if the
// reported load is somewhat old: a needless move costs a cold start, a needless try one refusal.
auto isWellOverBound(const PlacementView &view, UpstreamId id) -> bool
{
    const auto entry = view.loads.find(id, view.now);
    if (!entry || entry->age > maxLoadAge || view.poolLoad.slots == 0)
        return false;
    const auto bound = boundOf(view, *entry);
    // Chats may wait at the member that their token names: about as many as its bound allows to
    // run.
    const auto mayWait = id == view.tokenUpstream && view.pool.maxOwnerWait > Duration::zero();
    const auto limit = mayWait ? 2 * bound : bound;
    return loadOf(*entry) >= limit + std::max(minExcess, bound / 4);
}

auto placeByContext(const PlacementView &view, Random &random) -> std::vector<UpstreamId>
{
    if (view.chat == 0)
        return putTokenUpstreamFirst(view, placeWithoutChat(view, random));
    std::vector<Ranked> ranked;
    ranked.reserve(view.usable.size());
    forEachUsable(view, [&](const Member &member) {
        const auto isTokenUpstream = member.id == view.tokenUpstream;
        const auto otherDataCenter = !isTokenUpstream && view.pool.preferOwnDataCenter
            && member.dataCenter != view.ownDataCenter;
        ranked.push_back({otherDataCenter,
                          isTokenUpstream ? -1.0 : weightedScore(member, view.chat), member.id});
    });
    auto ids = firstIds(ranked, maxPlacementCandidates);
    std::stable_partition(ids.begin(), ids.end(),
                          [&](UpstreamId id) { return !isWellOverBound(view, id); });
    return ids;
}

auto placeRandom(const PlacementView &view, Random &random) -> std::vector<UpstreamId>
{
    auto ids = view.usable;
    shuffleFirst(ids, ids.size(), random);
    return ids;
}

auto placeLeastOfTwo(const PlacementView &view, Random &random) -> std::vector<UpstreamId>
{
    auto ids = placeRandom(view, random);
    putLesserLoadedFirst(view, ids);
    return ids;
}

auto placeRendezvousLive(const PlacementView &view, Random & /*random*/) -> std::vector<UpstreamId>
{
    std::vector<Ranked> ranked;
    ranked.reserve(view.usable.size());
    for (const auto id : view.usable)
        ranked.push_back({false, unitInterval(mix(id, view.chat)), id});
    return firstIds(ranked, ranked.size());
}

auto placeConsistentBounded(const PlacementView &view, Random & /*random*/)
    -> std::vector<UpstreamId>
{
    const auto start = mix(view.chat, 1);
    std::vector<Ranked> ranked;
    ranked.reserve(view.usable.size());
    for (const auto id : view.usable) {
        // Sorting by the clockwise distance to a member's nearest point gives the order of a walk
        // round the ring without building the ring.
        auto nearest = std::numeric_limits<std::uint64_t>::max();
        for (std::uint32_t point = 0; point < ringPointsPerMember; ++point)
            nearest = std::min(nearest, mix(id, point + 2) - start);
        ranked.push_back({false, unitInterval(nearest), id});
    }
    auto ids = firstIds(ranked, ranked.size());
    std::stable_partition(ids.begin(), ids.end(),
                          [&](UpstreamId id) { return !isAtBound(view, id); });
    return ids;
}

auto chatOwner(const Pool &pool, ChatKey chat, std::string_view ownDataCenter) -> UpstreamId
{
    Ranked best;
    for (const auto &member : pool.members) {
        const auto otherDataCenter = pool.preferOwnDataCenter && member.dataCenter != ownDataCenter;
        const Ranked ranked{otherDataCenter, weightedScore(member, chat), member.id};
        if (best.id == 0 || ranked < best)
            best = ranked;
    }
    return best.id;
}

auto rendezvousOrder(const Pool &pool, std::uint64_t key, std::size_t count)
    -> std::vector<UpstreamId>
{
    std::vector<Ranked> ranked;
    ranked.reserve(pool.members.size());
    for (const auto &member : pool.members)
        ranked.push_back({false, weightedScore(member, key), member.id});
    return firstIds(ranked, count);
}

} // namespace applehatch::core
