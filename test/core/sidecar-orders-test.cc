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

// Answers the order that a new sidecar gives to an engine that holds nothing.
auto settle(Sidecar &sidecar) -> std::uint64_t
{
    const auto given = Sidecar::pick<GiveOrder>(sidecar.all);
    BOOST_REQUIRE(given.size() == 1U);
    sidecar.give(OrderAnswered{given.at(0).fence, true, ""}).pass(2s);
    return given.at(0).fence;
}

// The members by id, so that a rollout's ranks are known: 0 begins first.
auto rankOfFirst(const Pool &pool) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(pool.members.begin(), pool.members.end(),
                      [&](const auto &member) { return member.id < pool.members.at(0).id; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_orders)

BOOST_AUTO_TEST_CASE(engine_is_brought_to_what_the_settings_say)
{
    Sidecar sidecar(enginePool({"a", "b"}));
    BOOST_TEST((sidecar.node().state() == UpstreamState::Joining));
    sidecar.from(sidecar.request("r1"));
    BOOST_TEST(told(sidecar.refusal()) == "no-upstream/not-run");
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

// The weight store refuses beyond its rate. Asking again at once would keep all others out.
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

// A sidecar sleeps; meanwhile its successor gives orders under newer settings. Its own order would
// put the engine back. While nobody else gave one, it goes on.
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

// An engine that ignores fencing numbers is re-read after a pause, before any order.
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

// A host died for good and nobody has taken its member out of the settings yet. It must not hold
// every rollout of its pool, once the platform no longer lists it.
BOOST_AUTO_TEST_CASE(gone_hosts_do_not_hold_a_rollout)
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
        sidecar.give(SettingsInForce{settingsOf(pool, 2)}).passAlive(10s);
        BOOST_TEST(sidecar.did<GiveOrder>().size() == (isListed ? 0U : 1U));
    }
}

// All engines of a pool change their model. Did all begin at once, the pool would serve nobody.
BOOST_AUTO_TEST_CASE(rollout_goes_by_turn)
{
    auto pool = enginePool({"old"}, 3);
    Sidecar sidecar(pool);
    settle(sidecar);
    sidecar.hear(1, 2).hear(2, 2).report("epoch-1", {"old"});
    const auto run = sidecar.run(sidecar.request("r1"));
    pool.models = {"old", "new"};
    sidecar.give(SettingsInForce{settingsOf(pool, 2)});
    sidecar.hear(1, 2, UpstreamState::Joining);
    for (int second = 0; second < 30; ++second) {
        sidecar.hear(1, 2, UpstreamState::Joining).hear(2, 2).passAlive(1s);
        BOOST_TEST(sidecar.did<GiveOrder>().empty());
    }
    std::size_t waited = 0;
    while (sidecar.did<GiveOrder>().empty() && waited < 20) {
        sidecar.hear(1, 2).hear(2, 2).passAlive(1s);
        ++waited;
    }
    const auto step = 2U; // Digest periods for a pool of three.
    BOOST_TEST(waited >= rankOfFirst(pool) * step);
    BOOST_TEST(waited <= rankOfFirst(pool) * step + 2);
    BOOST_TEST((sidecar.node().state() == UpstreamState::Joining));
    const auto load = sidecar.did<GiveOrder>().at(0);
    BOOST_TEST(load.model == "new");
    // An unload waits until no run could be cut off by it.
    pool.models = {"new"};
    sidecar.give(SettingsInForce{settingsOf(pool, 3)});
    sidecar.give(OrderAnswered{load.fence, true, ""}).passAlive(2s);
    sidecar.report("epoch-1", {"old", "new"}, load.fence).passAlive(2s);
    BOOST_TEST(sidecar.did<GiveOrder>().empty());
    sidecar.answer(run, "done").passAlive(1s);
    BOOST_TEST(sidecar.did<GiveOrder>().at(0).model == "old");
    BOOST_TEST((sidecar.did<GiveOrder>().at(0).kind == OrderKind::UnloadModel));
}

BOOST_AUTO_TEST_SUITE_END()
