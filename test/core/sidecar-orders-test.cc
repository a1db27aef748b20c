#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto enginePool(std::vector<std::string> models, std::uint32_t members = 1) -> Pool
{
    auto pool = poolOf(members, 4);
    pool.kind = applehatch::settings::PoolKind::Model;
    pool.models = std::move(models);
    return pool;
}

// Answers the order that a new sidecar sends to an engine without models.
auto settle(Sidecar &sidecar) -> std::uint64_t
{
    const auto given = Sidecar::pick<GiveOrder>(sidecar.all);
    BOOST_REQUIRE(given.size() == 1U);
    sidecar.give(OrderAnswered{given.at(0).fence, true, ""}).pass(2s);
    return given.at(0).fence;
}

// Returns the rank of member 0 in a rollout, which goes by member id; rank 0 begins first.
auto rankOfFirst(const Pool &pool) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(pool.members.begin(), pool.members.end(),
                      [&](const auto &member) { return member.id < pool.members.at(0).id; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_orders)

BOOST_AUTO_TEST_CASE(engine_converges_to_its_settings)
{
    Sidecar sidecar(enginePool({"a", "b"}));
    BOOST_TEST((sidecar.node().state() == UpstreamState::Joining));
    sidecar.from(sidecar.request("r1"));
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "no-upstream/not-run");
    sidecar.report("epoch-1");
    const auto first = Sidecar::pick<GiveOrder>(sidecar.all);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first.at(0).model == "a");
    sidecar.give(OrderAnswered{first.at(0).fence, true, ""});
    sidecar.pass(2s).report("epoch-1", {"a"}, first.at(0).fence);
    const auto second = Sidecar::pick<GiveOrder>(sidecar.all);
    BOOST_REQUIRE(second.size() == 2U);
    BOOST_TEST(second.at(1).model == "b");
    BOOST_TEST(second.at(1).fence > first.at(0).fence);
    sidecar.give(OrderAnswered{second.at(1).fence, true, ""});
    sidecar.pass(2s).report("epoch-1", {"a", "b"}, second.at(1).fence).pass(9s);
    BOOST_TEST(Sidecar::pick<GiveOrder>(sidecar.all).size() == 2U);
    BOOST_TEST((sidecar.node().state() == UpstreamState::Serving));
}

// The weight store refuses requests above its rate. An immediate retry would keep out all others.
BOOST_AUTO_TEST_CASE(refused_orders_back_off)
{
    Sidecar sidecar(enginePool({"a"}));
    std::vector<Duration> gaps;
    for (int time = 0; time < 4; ++time) {
        const auto given = Sidecar::pick<GiveOrder>(sidecar.all);
        sidecar.give(OrderAnswered{given.back().fence, false, "429"});
        const auto refusedAt = sidecar.now;
        while (Sidecar::pick<GiveOrder>(sidecar.all).size() == given.size())
            sidecar.pass(50ms);
        gaps.push_back(sidecar.now - refusedAt);
    }
    BOOST_TEST((gaps.at(0) >= 1s));
    BOOST_TEST((gaps.at(3) >= 8s));
    BOOST_TEST((gaps.at(3) <= 17s));
}

// A sidecar is suspended, and its successor sends orders under newer settings meanwhile. The old
// sidecar's own order would revert the engine. If nobody else sent an order, it continues.
BOOST_AUTO_TEST_CASE(late_waker_gives_no_old_order)
{
    using applehatch::settings::Fencing;
    for (const auto fencing : {Fencing::Honored, Fencing::Ignored}) {
        for (const auto isSuperseded : {false, true}) {
            auto pool = enginePool({"a"});
            pool.fencing = fencing;
            Sidecar sidecar(pool);
            if (fencing == Fencing::Ignored)
                sidecar.report("epoch-1");
            const auto own = settle(sidecar);
            sidecar.report("epoch-1", {"a"}, own);
            sidecar.now += 60s;
            sidecar.give(Tick{});
            const auto fence = isSuperseded ? own + 1 : own;
            sidecar.report("epoch-1", {"other"}, fence).report("epoch-1", {"other"}, fence);
            const auto given = Sidecar::pick<GiveOrder>(sidecar.all);
            BOOST_TEST(given.size() == (isSuperseded ? 1U : 2U));
            BOOST_TEST((isSuperseded || given.back().fence > own));
        }
    }
}

// The state of an engine that ignores fencing numbers is read again after a stall, before any
// order.
BOOST_AUTO_TEST_CASE(ignored_fences_mean_reading_again)
{
    auto pool = enginePool({"a"});
    pool.fencing = applehatch::settings::Fencing::Ignored;
    Sidecar sidecar(pool);
    sidecar.report("epoch-1");
    const auto first = Sidecar::pick<GiveOrder>(sidecar.all);
    BOOST_REQUIRE(first.size() == 1U);
    sidecar.now += 60s;
    sidecar.give(OrderAnswered{first.at(0).fence, true, ""});
    sidecar.pass(2s).report("epoch-1").pass(1s);
    BOOST_TEST(Sidecar::pick<GiveOrder>(sidecar.all).size() == 1U);
    sidecar.report("epoch-1");
    BOOST_TEST(Sidecar::pick<GiveOrder>(sidecar.all).size() == 2U);
}

// A host died permanently and its member is still in the settings. It must not block every rollout
// of its pool once the platform no longer lists it.
BOOST_AUTO_TEST_CASE(unlisted_hosts_do_not_block_a_rollout)
{
    for (const auto isListed : {true, false}) {
        auto pool = enginePool({"old"}, 2);
        Sidecar sidecar(pool);
        settle(sidecar);
        HostList list{1, {{"127.0.1.1", HostState::Live}}};
        if (isListed)
            list.hosts.push_back({"127.0.1.2", HostState::Live});
        sidecar.report("epoch-1", {"old"}).give(HostListRead{list});
        pool.models = {"old", "new"};
        sidecar.give(SettingsInForce{settingsOf(pool, 2)}).passWithHeartbeats(10s);
        BOOST_TEST(sidecar.did<GiveOrder>().size() == (isListed ? 0U : 1U));
    }
}

// All engines of a pool change their model. If all began at once, the pool would serve nobody.
BOOST_AUTO_TEST_CASE(rollout_proceeds_by_rank)
{
    auto pool = enginePool({"old"}, 3);
    Sidecar sidecar(pool);
    settle(sidecar);
    sidecar.receiveLoad(1, 2).receiveLoad(2, 2).report("epoch-1", {"old"});
    const auto run = sidecar.run(sidecar.request("r1"));
    pool.models = {"old", "new"};
    sidecar.give(SettingsInForce{settingsOf(pool, 2)});
    sidecar.receiveLoad(1, 2, UpstreamState::Joining);
    for (int second = 0; second < 30; ++second) {
        sidecar.receiveLoad(1, 2, UpstreamState::Joining).receiveLoad(2, 2).passWithHeartbeats(1s);
        BOOST_TEST(sidecar.did<GiveOrder>().empty());
    }
    std::size_t waited = 0;
    while (sidecar.did<GiveOrder>().empty() && waited < 20) {
        sidecar.receiveLoad(1, 2).receiveLoad(2, 2).passWithHeartbeats(1s);
        ++waited;
    }
    const auto step = 2U; // In digest intervals, for a pool of three.
    BOOST_TEST(waited >= rankOfFirst(pool) * step);
    BOOST_TEST(waited <= rankOfFirst(pool) * step + 2);
    BOOST_TEST((sidecar.node().state() == UpstreamState::Joining));
    const auto load = sidecar.did<GiveOrder>().at(0);
    BOOST_TEST(load.model == "new");
    // An unload waits until it can interrupt no run.
    pool.models = {"new"};
    sidecar.give(SettingsInForce{settingsOf(pool, 3)});
    sidecar.give(OrderAnswered{load.fence, true, ""}).passWithHeartbeats(2s);
    sidecar.report("epoch-1", {"old", "new"}, load.fence).passWithHeartbeats(2s);
    BOOST_TEST(sidecar.did<GiveOrder>().empty());
    sidecar.answer(run, "done").passWithHeartbeats(1s);
    BOOST_TEST(sidecar.did<GiveOrder>().at(0).model == "old");
    BOOST_TEST((sidecar.did<GiveOrder>().at(0).kind == OrderKind::UnloadModel));
}

BOOST_AUTO_TEST_SUITE_END()
