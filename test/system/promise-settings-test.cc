#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::call;
using experiment::eventually;
using experiment::Process;

constexpr auto service = emulator::Service::Settings;
constexpr auto otherTeam = "cwm-taf";
constexpr auto goodText = R"({"pools": {"drafting": {"kind": "model", "models": ["repairs"],
    "members": [{"name": "cardiff-1", "dataCenter": "bole", "sidecar": "127.0.0.9:7000",
                 "digest": "127.0.0.9:7001", "upstream": "127.0.0.9:8000"}]}}})";
constexpr auto badText = R"({"pools": {"drafting": {"kind": "model", "models": []}}})";

auto settingsFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 3;
    options.routers = 2;
    options.tokensPerSecond = 500;
    options.pool = {{"loadMultiple", 10.0}};
    return options;
}

/// Each index that a process put in force, in its order.
auto indicesInForce(const Process &process) -> std::vector<std::uint64_t>
{
    constexpr std::string_view mark = "event=settings-in-force index=";
    std::vector<std::uint64_t> indices;
    std::istringstream lines(process.output());
    std::string line;
    while (std::getline(lines, line)) {
        const auto found = line.find(mark);
        if (found != std::string::npos) {
            indices.push_back(std::stoull(line.substr(found + mark.size())));
        }
    }
    return indices;
}

auto processesOf(Fleet &fleet) -> std::vector<Process *>
{
    std::vector<Process *> all = {fleet.router(0).process.get(), fleet.router(1).process.get()};
    for (auto &member : fleet.members()) {
        all.push_back(member.sidecar.get());
    }
    return all;
}

auto isInForce(const Process &process, std::uint64_t index) -> bool
{
    const auto indices = indicesInForce(process);
    return !indices.empty() && indices.back() >= index;
}

auto inForceEverywhere(Fleet &fleet, std::uint64_t index) -> bool
{
    const auto all = processesOf(fleet);
    return std::all_of(all.begin(), all.end(),
                       [index](const auto *process) { return isInForce(*process, index); });
}

auto expectNeverReverted(Fleet &fleet) -> void
{
    for (const auto *process : processesOf(fleet)) {
        const auto indices = indicesInForce(*process);
        BOOST_TEST_CONTEXT(process->output())
        {
            BOOST_TEST(std::is_sorted(indices.begin(), indices.end()));
        }
    }
}

auto expectServed(Fleet &fleet, const std::string &mark) -> void
{
    for (std::size_t router = 0; router < 2; ++router) {
        const auto request = fleet.chat(mark + std::to_string(router), 5);
        const auto answer = call(fleet.router(router).callers, request);
        BOOST_TEST_CONTEXT(answer.problem().dump() << fleet.outputs())
        {
            BOOST_TEST(isWholeAndOwn(request, answer));
        }
    }
}

auto anyoneLogged(Fleet &fleet, const std::string &event) -> bool
{
    const auto all = processesOf(fleet);
    return std::any_of(all.begin(), all.end(), [&event](const auto *process) {
        return process->output().find("event=" + event) != std::string::npos;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_settings)

// The configuration service goes down in the middle of the day. Callers must not notice, and a
// change made meanwhile takes effect everywhere once the service is back.
BOOST_AUTO_TEST_CASE(a_service_that_is_down_stops_nobody_and_its_change_follows)
{
    Fleet fleet(settingsFleet());
    fleet.platform().setDown(service, true);
    const auto index = fleet.platform().putTeam(otherTeam, goodText);
    expectServed(fleet, "service down");
    BOOST_TEST(!inForceEverywhere(fleet, index));
    fleet.platform().setDown(service, false);
    BOOST_TEST(eventually([&] { return inForceEverywhere(fleet, index); }, 18000ms));
    expectServed(fleet, "service back");
    expectNeverReverted(fleet);
}

// An entry host is replaced while the service answers from an old copy. If the new process took
// what it reads, an upstream that was taken out would get work again through this router only.
BOOST_AUTO_TEST_CASE(a_router_restarted_against_a_stale_service_takes_what_its_peers_have)
{
    Fleet fleet(settingsFleet());
    const auto newer = fleet.platform().putTeam(otherTeam, goodText);
    BOOST_TEST(eventually([&] { return inForceEverywhere(fleet, newer); }));
    fleet.platform().setStale(newer - 1);
    auto &router = fleet.router(0);
    router.process->kill();
    fleet.startRouter(router);
    BOOST_TEST(eventually([&] { return isInForce(*router.process, newer); }));
    BOOST_TEST(eventually([&] { return anyoneLogged(fleet, "settings-service-behind"); }));
    const auto indices = indicesInForce(*router.process);
    BOOST_TEST_CONTEXT(router.process->output())
    {
        BOOST_TEST(indices.front() >= newer);
    }
    fleet.waitReady();
    expectServed(fleet, "stale service");
    expectNeverReverted(fleet);
}

// One team publishes a text with a mistake at the moment when another team changes its own. The
// mistake must cost the first team nothing that it had, and the second team nothing at all.
BOOST_AUTO_TEST_CASE(a_bad_subtree_stops_neither_its_own_team_nor_another)
{
    Fleet fleet(settingsFleet());
    fleet.platform().putTeam(Fleet::team, badText);
    const auto index = fleet.platform().putTeam(otherTeam, goodText);
    BOOST_TEST(eventually([&] { return inForceEverywhere(fleet, index); }));
    BOOST_TEST(eventually([&] { return anyoneLogged(fleet, "settings-refused"); }));
    expectServed(fleet, "bad subtree");
    expectNeverReverted(fleet);
}

// The service is set back to a backup. What was in force must stay, in every process.
BOOST_AUTO_TEST_CASE(a_service_set_back_to_a_backup_reverts_nobody)
{
    Fleet fleet(settingsFleet());
    const auto newer = fleet.platform().putTeam(otherTeam, goodText);
    BOOST_TEST(eventually([&] { return inForceEverywhere(fleet, newer); }));
    fleet.platform().revertTo(newer - 1);
    BOOST_TEST(eventually([&] { return anyoneLogged(fleet, "settings-service-behind"); }, 15000ms));
    expectServed(fleet, "set back");
    BOOST_TEST(inForceEverywhere(fleet, newer));
    expectNeverReverted(fleet);
}

// The service counts a waiting watch as a call, and its rates grow more slowly than the fleet. If
// all processes watched it, it would be over its rate at full size, and changes would arrive
// nowhere.
BOOST_AUTO_TEST_CASE(two_sidecars_of_each_data_centre_watch_and_take_no_unchanged_tree)
{
    auto options = settingsFleet();
    options.engines = 6;
    options.dataCenters = {"bole", "piazza"};
    Fleet fleet(options);
    constexpr std::uint64_t readers = 4;
    const auto whole = [&] {
        const auto calls = fleet.platform().calls();
        return calls.settings - calls.settingsUnchanged - calls.waiting;
    };
    BOOST_TEST(eventually([&] { return fleet.platform().calls().waiting == readers; }, 15000ms));
    const auto wholeBefore = whole();
    const auto before = fleet.platform().calls().settingsUnchanged;
    BOOST_TEST(eventually(
        [&] { return fleet.platform().calls().settingsUnchanged >= before + readers; }, 20000ms));
    BOOST_TEST(whole() == wholeBefore);
    BOOST_TEST(fleet.platform().calls().waiting <= readers);
}

BOOST_AUTO_TEST_SUITE_END()
