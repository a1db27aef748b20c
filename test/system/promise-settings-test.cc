#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

#include <barrier>
#include <map>
#include <sstream>
#include <thread>

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

constexpr auto thirdTeam = "cwm-nedd";

/// A team's text that only the queue limit tells from another.
auto textOf(std::size_t queueLimit) -> std::string
{
    auto text = nlohmann::json::parse(goodText);
    text["pools"]["drafting"]["queueLimit"] = queueLimit;
    text["adminTokenHash"] = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";
    return text.dump();
}

/// What each process of a fleet says of a team, and whether any went back to older settings.
class TeamView
{
public:
    explicit TeamView(Fleet &fleet)
    {
        for (auto &router : fleet.routers()) {
            admins_.push_back(router.admin);
        }
        for (auto &member : fleet.members()) {
            admins_.push_back(member.admin);
        }
    }

    /// Whether every process has `queueLimit` in force for `team`.
    [[nodiscard]] auto agree(const std::string &team, std::size_t queueLimit) -> bool
    {
        std::size_t alike = 0;
        for (std::size_t number = 0; number < admins_.size(); ++number) {
            alike += look(number, team) == queueLimit ? 1 : 0;
        }
        return alike == admins_.size();
    }

    [[nodiscard]] auto reverted() const -> std::size_t { return reverted_; }

private:
    auto look(std::size_t number, const std::string &team) -> std::size_t
    {
        const auto answer = call(
            admins_[number],
            {"GET", "/admin/v1/teams/" + team, {{"Authorization", "Bearer operator-token"}}, {}});
        const auto document = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status != 200 || !document.is_object()) {
            return 0;
        }
        auto &last = last_[{number, team}];
        const auto index = document.value("index", std::uint64_t{0});
        reverted_ += index < last ? 1 : 0;
        last = index;
        return document["pools"]["drafting"].value("queueLimit", std::size_t{0});
    }

    std::vector<core::Address> admins_;
    std::map<std::pair<std::size_t, std::string>, std::uint64_t> last_;
    std::size_t reverted_ = 0;
};

struct Publication
{
    std::string team;
    std::string text;
    std::uint64_t index = 0;
};

/// Two operators publish at the same moment.
auto publishAtOnce(Fleet &fleet, Publication &one, Publication &other) -> void
{
    std::barrier<> together(2);
    const auto publish = [&](Publication &publication) {
        together.arrive_and_wait();
        publication.index = fleet.platform().putTeam(publication.team, publication.text);
    };
    const std::jthread second([&] { publish(other); });
    publish(one);
}

constexpr std::size_t crossings = 6;
constexpr auto withinSeconds = 18000ms;

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

// Two operators of different teams publish at the same moment, over and over. Each change must come
// into force everywhere, whichever of them the service took first.
BOOST_AUTO_TEST_CASE(two_operators_at_once_change_a_team_each_and_both_come_into_force)
{
    Fleet fleet(settingsFleet());
    TeamView view(fleet);
    std::size_t crossed = 0;
    for (std::size_t round = 1; round <= crossings; ++round) {
        Publication one{otherTeam, textOf(10 + round)};
        Publication other{thirdTeam, textOf(50 + round)};
        publishAtOnce(fleet, one, other);
        crossed += inForceEverywhere(fleet, std::min(one.index, other.index)) ? 0 : 1;
        BOOST_TEST_CONTEXT(fleet.outputs())
        {
            BOOST_TEST(eventually(
                [&] {
                    return view.agree(otherTeam, 10 + round) && view.agree(thirdTeam, 50 + round);
                },
                withinSeconds));
        }
    }
    BOOST_TEST(crossed == crossings);
    BOOST_TEST(view.reverted() == 0U);
    expectNeverReverted(fleet);
    expectServed(fleet, "two teams");
}

// Two operators of one team publish different texts at the same moment. The one that the service
// took last must win at every process and stay; else customers would meet a limit that depends on
// the router.
BOOST_AUTO_TEST_CASE(two_operators_at_once_change_one_team_and_the_later_index_wins_everywhere)
{
    Fleet fleet(settingsFleet());
    TeamView view(fleet);
    std::size_t crossed = 0;
    for (std::size_t round = 1; round <= crossings; ++round) {
        Publication one{otherTeam, textOf(10 + round)};
        Publication other{otherTeam, textOf(50 + round)};
        publishAtOnce(fleet, one, other);
        crossed += inForceEverywhere(fleet, std::min(one.index, other.index)) ? 0 : 1;
        const auto winner = one.index > other.index ? 10 + round : 50 + round;
        BOOST_TEST_CONTEXT(fleet.outputs())
        {
            BOOST_TEST(eventually([&] { return view.agree(otherTeam, winner); }, withinSeconds));
        }
    }
    BOOST_TEST(crossed == crossings);
    BOOST_TEST(view.reverted() == 0U);
    expectNeverReverted(fleet);
}

// One operator publishes a mistake at the very moment when another publishes a good change. The
// mistake must cost neither its own team what it had, nor the other team its change.
BOOST_AUTO_TEST_CASE(a_mistake_beside_a_good_change_at_the_same_moment_stops_nobody)
{
    Fleet fleet(settingsFleet());
    TeamView view(fleet);
    fleet.platform().putTeam(thirdTeam, textOf(7));
    BOOST_REQUIRE(eventually([&] { return view.agree(thirdTeam, 7); }, withinSeconds));
    for (std::size_t round = 1; round <= crossings; ++round) {
        Publication good{otherTeam, textOf(10 + round)};
        Publication mistake{thirdTeam, badText};
        publishAtOnce(fleet, good, mistake);
        BOOST_TEST_CONTEXT(fleet.outputs())
        {
            BOOST_TEST(
                eventually([&] { return view.agree(otherTeam, 10 + round); }, withinSeconds));
            BOOST_TEST(view.agree(thirdTeam, 7));
        }
    }
    BOOST_TEST(anyoneLogged(fleet, "settings-refused"));
    BOOST_TEST(view.reverted() == 0U);
    expectNeverReverted(fleet);
    expectServed(fleet, "mistake");
}

BOOST_AUTO_TEST_SUITE_END()
