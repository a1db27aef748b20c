#include "system/promise-traffic.h"

#include "applehatch/experiment/order-hold.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::eventually;
using experiment::OrderHold;

constexpr auto newModel = "sheet-writer-2";
constexpr auto longWait = 15000ms;
/// A sidecar that had no event for 3 s knows that it slept.
constexpr std::int64_t sleepMs = 3500;

auto ordersOf(const experiment::FleetMember &member) -> nlohmann::json
{
    return nlohmann::json::parse(experiment::get(member.upstreamAt, "/control/orders").body);
}

auto modelsOf(const experiment::FleetMember &member) -> nlohmann::json
{
    const auto state = experiment::get(member.upstreamAt, "/v1/state").body;
    return nlohmann::json::parse(state).value("models", nlohmann::json::array());
}

auto holdsOnly(const experiment::FleetMember &member, const std::string &model) -> bool
{
    return modelsOf(member) == nlohmann::json::array({model});
}

auto hasLogged(const experiment::Process &process, const std::string &event) -> bool
{
    return process.output().find("event=" + event) != std::string::npos;
}

/// A sidecar sleeps while settings change and another takes its place, then wakes.
auto expectOldSidecarHarmless(bool honors) -> void
{
    experiment::FleetOptions options;
    options.pool = {{"loadMultiple", 10.0}, {"fencing", honors ? "honored" : "ignored"}};
    options.engineFlags = {honors ? "--honours_fence=true" : "--honours_fence=false"};
    Fleet fleet(options);
    auto &member = fleet.engine(0);
    const auto sleeper = std::move(member.sidecar);
    sleeper->pause();
    const auto pausedMs = steadyMs();
    member.links = {member.ip, experiment::freePort(member.ip)};
    member.digest = {member.ip, experiment::freePort(member.ip)};
    member.admin = {member.ip, experiment::freePort(member.ip)};
    fleet.setPool({{"models", {newModel}}, {"rolloutWidth", 2}});
    fleet.publish();
    fleet.startSidecar(member);
    BOOST_TEST_CONTEXT(fleet.outputs())
    {
        BOOST_REQUIRE(eventually([&] { return holdsOnly(member, newModel); }, longWait));
    }
    const auto before = ordersOf(member).size();
    BOOST_TEST(eventually([&] { return steadyMs() > pausedMs + sleepMs; }));
    const auto asleep = sleeper->output().size();
    sleeper->resume();
    BOOST_TEST(eventually([&] { return hasLogged(*sleeper, "woke"); }));
    // It has the newer settings, or has stopped giving orders: what it knew before is gone. The
    // settings may come before the node notices that it slept, as another thread reads them.
    BOOST_TEST_CONTEXT(sleeper->output())
    {
        BOOST_TEST(eventually([&] {
            const auto text = sleeper->output();
            return text.find("event=settings-in-force", asleep) != std::string::npos
                || text.find("event=orders-stopped", asleep) != std::string::npos;
        }));
    }
    const auto orders = ordersOf(member);
    for (auto number = before; number < orders.size(); ++number) {
        const auto &order = orders[number];
        const auto undoes = (order["kind"] == "load-model") != (order["model"] == newModel);
        BOOST_TEST_CONTEXT(order.dump() << sleeper->output())
        {
            BOOST_TEST(!(undoes && order["taken"].get<bool>()));
        }
    }
    BOOST_TEST(holdsOnly(member, newModel));
}

constexpr auto thirdModel = "sheet-writer-3";

auto orderFleet(bool honors) -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 1;
    options.pool = {{"loadMultiple", 10.0}, {"fencing", honors ? "honored" : "ignored"}};
    options.engineFlags = {honors ? "--honours_fence=true" : "--honours_fence=false"};
    return options;
}

auto want(Fleet &fleet, const std::string &model) -> void
{
    fleet.setPool({{"models", {model}}});
    fleet.publish();
}

/// The sidecar's own view of its engine, which it has only from the engine's state.
auto sidecarServes(const Fleet &fleet, const experiment::FleetMember &member) -> bool
{
    experiment::FleetRouter asked;
    asked.admin = member.admin;
    const auto states = fleet.states(asked);
    const auto own = states.find(member.name);
    return own != states.end() && own->second == "serving";
}

/// Puts `hold` between the engine and a sidecar that takes the place of the first one.
auto replaceBehind(Fleet &fleet, const OrderHold &hold) -> void
{
    auto &member = fleet.engine(0);
    const auto engineAt = member.upstreamAt;
    member.sidecar->kill();
    member.upstreamAt = hold.address();
    fleet.startSidecar(member);
    member.upstreamAt = engineAt;
    fleet.waitReady();
}

auto isOrder(const nlohmann::json &order, const std::string &kind, const std::string &model) -> bool
{
    return order["kind"] == kind && order["model"] == model;
}

auto wasOrdered(const experiment::FleetMember &member, std::size_t from, const std::string &kind,
                const std::string &model) -> bool
{
    const auto orders = ordersOf(member);
    return std::any_of(orders.begin() + static_cast<std::ptrdiff_t>(std::min(from, orders.size())),
                       orders.end(),
                       [&](const auto &order) { return isOrder(order, kind, model); });
}

struct LateOrder
{
    bool honors = true;
    bool planned = false;   ///< The first sidecar is asked to stop, else killed.
    bool takenBack = false; ///< The settings go back to what the engine holds, else on.
};

/// Gives the number of the order that was on its way when its sidecar ended, once the engine has
/// it.
auto deliverLate(Fleet &fleet, const LateOrder &row, const std::string &wanted) -> std::size_t
{
    auto &member = fleet.engine(0);
    OrderHold hold(member.ip, member.upstreamAt);
    replaceBehind(fleet, hold);
    hold.hold(row.takenBack ? "unload-model" : "load-model");
    want(fleet, newModel);
    BOOST_REQUIRE(eventually([&] { return hold.held() == 1; }, longWait));
    const auto first = std::move(member.sidecar);
    if (row.planned) {
        first->terminate();
        BOOST_REQUIRE(first->wait(longWait).has_value());
    } else {
        first->kill();
    }
    want(fleet, wanted);
    fleet.startSidecar(member);
    BOOST_TEST_CONTEXT(fleet.outputs())
    {
        BOOST_REQUIRE(eventually(
            [&] { return sidecarServes(fleet, member) && holdsOnly(member, wanted); }, longWait));
    }
    BOOST_REQUIRE(hold.held() == 1U);
    const auto number = ordersOf(member).size();
    hold.release();
    BOOST_REQUIRE(eventually([&] { return ordersOf(member).size() > number; }));
    return number;
}

auto expectLateOrderHarmless(const LateOrder &row) -> void
{
    Fleet fleet(orderFleet(row.honors));
    auto &member = fleet.engine(0);
    const std::string wanted = row.takenBack ? Fleet::model : thirdModel;
    const auto late = deliverLate(fleet, row, wanted);
    const auto order = ordersOf(member)[late];
    const auto isTaken = row.takenBack || !row.honors;
    BOOST_TEST_CONTEXT(ordersOf(member).dump() << fleet.outputs())
    {
        BOOST_TEST(isOrder(order, row.takenBack ? "unload-model" : "load-model",
                           row.takenBack ? std::string(Fleet::model) : newModel));
        BOOST_TEST(order["taken"].get<bool>() == isTaken);
        if (isTaken) {
            BOOST_TEST(eventually(
                [&] {
                    return row.takenBack ? wasOrdered(member, late + 1, "load-model", wanted)
                                         : wasOrdered(member, late + 1, "unload-model", newModel);
                },
                longWait));
        }
        BOOST_TEST(eventually([&] { return holdsOnly(member, wanted); }, longWait));
        BOOST_TEST(!wasOrdered(member, late + 1, "unload-model", wanted));
        BOOST_TEST(!wasOrdered(member, late + 1, "load-model", newModel));
        // The successor still follows the settings.
        want(fleet, "sheet-writer-4");
        BOOST_TEST(eventually([&] { return holdsOnly(member, "sheet-writer-4"); }, longWait));
        BOOST_TEST(!hasLogged(*member.sidecar, "orders-stopped"));
    }
}

auto settingsTaken(const experiment::Process &process) -> std::size_t
{
    constexpr std::string_view event = "event=settings-in-force";
    const auto text = process.output();
    std::size_t count = 0;
    for (auto at = text.find(event); at != std::string::npos; at = text.find(event, at + 1)) {
        ++count;
    }
    return count;
}

/// One operator asks for one version, another for a second and takes it back, all while the first
/// order is on its way.
auto expectCrossingEndsWithLatest(bool honors) -> void
{
    Fleet fleet(orderFleet(honors));
    auto &member = fleet.engine(0);
    OrderHold hold(member.ip, member.upstreamAt);
    replaceBehind(fleet, hold);
    hold.hold("unload-model");
    want(fleet, newModel);
    BOOST_REQUIRE(eventually([&] { return hold.held() > 0; }, longWait));
    for (const auto *model : {thirdModel, newModel}) {
        const auto before = settingsTaken(*member.sidecar);
        want(fleet, model);
        BOOST_REQUIRE(eventually([&] { return settingsTaken(*member.sidecar) > before; }, 18000ms));
    }
    BOOST_TEST(hold.held() > 0U);
    BOOST_TEST(holdsOnly(member, Fleet::model));
    hold.release();
    BOOST_TEST_CONTEXT(ordersOf(member).dump() << fleet.outputs())
    {
        BOOST_TEST(eventually([&] { return holdsOnly(member, newModel); }, longWait));
        BOOST_TEST(!wasOrdered(member, 0, "load-model", thirdModel));
        BOOST_TEST(!wasOrdered(member, 0, "unload-model", newModel));
        BOOST_TEST(!hasLogged(*member.sidecar, "orders-stopped"));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_orders)

// A sidecar's host stalls. Meanwhile the pool moves to a new model under another sidecar. When the
// first one wakes, its settings still want the old model; an engine that went back to it would
// answer nobody's requests for the new one.
BOOST_AUTO_TEST_CASE(a_sidecar_that_wakes_undoes_nothing_at_an_engine_that_honors_fencing)
{
    expectOldSidecarHarmless(true);
}

// The same with an engine that takes orders from anybody, so that only the sidecar's own caution
// stands between its old settings and the engine.
BOOST_AUTO_TEST_CASE(a_sidecar_that_wakes_undoes_nothing_at_an_engine_that_ignores_fencing)
{
    expectOldSidecarHarmless(false);
}

// A sidecar gives an order and is killed before the engine has it; the operator takes the change
// back, and the next sidecar finds nothing to do. Then the order arrives. An engine that stayed as
// it says would serve nobody.
BOOST_AUTO_TEST_CASE(a_late_order_of_a_killed_sidecar_does_not_stand_where_fencing_is_honored)
{
    expectLateOrderHarmless({true, false, true});
}

// The same at an engine that takes orders from anybody.
BOOST_AUTO_TEST_CASE(a_late_order_of_a_killed_sidecar_does_not_stand_where_fencing_is_ignored)
{
    expectLateOrderHarmless({false, false, true});
}

// The same after a planned stop.
BOOST_AUTO_TEST_CASE(a_late_order_of_a_stopped_sidecar_does_not_stand_where_fencing_is_honored)
{
    expectLateOrderHarmless({true, true, true});
}

BOOST_AUTO_TEST_CASE(a_late_order_of_a_stopped_sidecar_does_not_stand_where_fencing_is_ignored)
{
    expectLateOrderHarmless({false, true, true});
}

// The next sidecar has brought the engine to a third version already when the order for the second
// one arrives.
BOOST_AUTO_TEST_CASE(a_late_order_undoes_no_newer_one_where_fencing_is_honored)
{
    expectLateOrderHarmless({true, false, false});
}

BOOST_AUTO_TEST_CASE(a_late_order_undoes_no_newer_one_where_fencing_is_ignored)
{
    expectLateOrderHarmless({false, true, false});
}

// Two operators change the model of one pool at the same time, and the second one takes its change
// back. An engine left with that one would answer nobody's requests.
BOOST_AUTO_TEST_CASE(crossing_orders_of_two_operators_end_with_the_latest_where_fencing_is_honored)
{
    expectCrossingEndsWithLatest(true);
}

BOOST_AUTO_TEST_CASE(crossing_orders_of_two_operators_end_with_the_latest_where_fencing_is_ignored)
{
    expectCrossingEndsWithLatest(false);
}

BOOST_AUTO_TEST_SUITE_END()
