#include "applehatch/core/placement.h"

#include "core/router-fixture.h"

#include <map>
#include <set>

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;
using applehatch::settings::PoolKind;

auto withOwnerWait(Pool pool) -> Pool
{
    pool.maxOwnerWait = std::chrono::seconds(1);
    return pool;
}

struct Fleet
{
    Pool pool = withOwnerWait(makePool("drafting", PoolKind::Model, 24));
    LoadTable loads;
    Random random{5};

    [[nodiscard]] auto ids() const -> std::vector<UpstreamId>
    {
        std::vector<UpstreamId> all;
        for (const auto &member : pool.members)
            all.push_back(member.id);
        return all;
    }

    auto load(UpstreamId id, std::uint32_t running) -> void
    {
        loads.apply({{id, 1, ++version, running, 0, 8, UpstreamState::Serving, 0us}}, start);
    }

    [[nodiscard]] auto view(ChatKey chat, std::vector<UpstreamId> usable,
                            UpstreamId contextHolder = 0) const -> PlacementView
    {
        return {pool,
                loads,
                chat,
                contextHolder,
                std::move(usable),
                "bole",
                start,
                loads.poolLoad(pool, start)};
    }

    std::uint32_t version = 0;
};

constexpr std::uint64_t chats = 2000;

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

// A flapping upstream disappears from the lists of some routers for seconds. If chats of other
// upstreams moved too, each flap would lose contexts across the whole pool.
BOOST_AUTO_TEST_CASE(a_flapping_member_moves_only_its_own_chats)
{
    Fleet fleet;
    const auto all = fleet.ids();
    auto remaining = all;
    remaining.erase(remaining.begin() + 3);
    std::uint32_t moved = 0;
    for (std::uint64_t chat = 1; chat <= chats; ++chat) {
        const auto before = placeByContext(fleet.view(chat, all), fleet.random).front();
        const auto during = placeByContext(fleet.view(chat, remaining), fleet.random).front();
        if (before == all[3])
            ++moved;
        else
            BOOST_TEST(before == during);
    }
    BOOST_TEST(moved > 0U);
    BOOST_TEST(moved < 2 * chats / all.size());
}

BOOST_AUTO_TEST_CASE(members_get_chats_in_proportion_to_their_slots)
{
    Fleet fleet;
    fleet.pool.members[0].slots = 24;
    std::map<UpstreamId, std::uint32_t> counts;
    for (std::uint64_t chat = 1; chat <= 20 * chats; ++chat)
        ++counts[chatOwner(fleet.pool, chat, "bole")];
    const auto share = 20.0 * chats / (24 + 23 * 8);
    BOOST_TEST(counts[fleet.pool.members[0].id] > 24 * share * 0.9);
    BOOST_TEST(counts[fleet.pool.members[0].id] < 24 * share * 1.1);
    BOOST_TEST(counts[fleet.pool.members[1].id] < 8 * share * 1.15);
}

BOOST_AUTO_TEST_CASE(own_data_centre_comes_first_where_the_pool_says_so)
{
    Fleet fleet;
    fleet.pool.preferOwnDataCenter = true;
    for (const ChatKey chat : {0, 1, 2, 3, 4, 5, 6, 7}) {
        const auto order = placeByContext(fleet.view(chat, fleet.ids()), fleet.random);
        BOOST_TEST(order.size() == maxPlacementCandidates);
        for (std::size_t i = 0; i < order.size(); ++i) {
            const auto row = std::find_if(fleet.pool.members.begin(), fleet.pool.members.end(),
                                          [&](const auto &each) { return each.id == order[i]; });
            BOOST_TEST((row->dataCenter == "bole") == (i < 12));
        }
    }
}

// The known load of a chat's owner is up to a second old. A chat that moves for a small excess has
// to rebuild its whole context; one that stays with an overloaded owner only gets refusals.
BOOST_AUTO_TEST_CASE(a_chat_leaves_its_owner_only_when_that_is_well_over_its_bound)
{
    struct Row
    {
        std::uint32_t ownerLoad;
        bool stays;
    };
    for (const auto viaToken : {false, true}) {
        // At the upstream that its token names as holding the context, a chat may wait for a slot.
        for (const auto &row :
             {Row{4, true}, Row{6, true}, Row{7, true}, Row{9, viaToken}, Row{40, false}}) {
            Fleet fleet;
            const auto all = fleet.ids();
            for (const auto id : all)
                fleet.load(id, 4);
            const auto owner = viaToken ? all[5] : chatOwner(fleet.pool, 9, "bole");
            fleet.load(owner, row.ownerLoad);
            const auto view = fleet.view(9, all, viaToken ? owner : 0);
            const auto order = placeByContext(view, fleet.random);
            BOOST_TEST((order.front() == owner) == row.stays);
            BOOST_TEST(isWellOverBound(view, owner) == !row.stays);
            BOOST_TEST(std::set<UpstreamId>(order.begin(), order.end()).size() == order.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(without_a_chat_the_less_loaded_of_two_is_chosen)
{
    Fleet fleet;
    const std::vector<UpstreamId> two{fleet.pool.members[0].id, fleet.pool.members[1].id};
    fleet.load(two[0], 6);
    fleet.load(two[1], 2);
    for (auto round = 0; round < 20; ++round)
        BOOST_TEST(placeByContext(fleet.view(0, two), fleet.random).front() == two[1]);
    // A token without a chat key still routes to the upstream that holds the context.
    BOOST_TEST(placeByContext(fleet.view(0, two, two[0]), fleet.random).front() == two[0]);
}

BOOST_AUTO_TEST_CASE(every_hook_returns_usable_members_once_and_bounded_ones_rank_full_last)
{
    Fleet fleet;
    const auto all = fleet.ids();
    for (const auto id : all)
        fleet.load(id, 4);
    const std::vector<UpstreamId> usable(all.begin() + 4, all.end());
    for (const auto &hook : std::vector<Placement>{placeByContext, placeRandom, placeLeastOfTwo,
                                                   placeRendezvousLive, placeConsistentBounded}) {
        const auto order = hook(fleet.view(3, usable), fleet.random);
        BOOST_TEST(!order.empty());
        const std::set<UpstreamId> once(order.begin(), order.end());
        BOOST_TEST(once.size() == order.size());
        for (const auto id : order)
            BOOST_TEST((std::find(usable.begin(), usable.end(), id) != usable.end()));
        BOOST_TEST(hook(fleet.view(3, {}), fleet.random).empty());
    }
    const auto first = placeConsistentBounded(fleet.view(3, usable), fleet.random).front();
    fleet.load(first, 40);
    BOOST_TEST(placeConsistentBounded(fleet.view(3, usable), fleet.random).back() == first);
}

BOOST_AUTO_TEST_SUITE_END()
