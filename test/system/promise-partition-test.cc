#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::eventually;

constexpr std::size_t halves = 2;
constexpr std::size_t answersEach = 20;
constexpr auto longWait = 30000ms;

auto requestOf(Fleet &fleet) -> Traffic::Request
{
    return [&fleet](std::size_t caller, std::size_t turn) {
        const auto mark = std::to_string(caller) + "/" + std::to_string(turn);
        const auto keyed = with(fleet.job(mark), "Idempotency-Key", mark);
        return caller % 4 == 3 ? with(keyed, "Applehatch-First-Send", "true")
                               : fleet.chat(mark, 20, caller % 2 == 0);
    };
}

/// Whether `router` holds its own half, and that alone, to be serving.
auto seesOwnHalfOnly(Fleet &fleet, const experiment::FleetRouter &router) -> bool
{
    auto seen = fleet.states(router);
    return std::all_of(fleet.members().begin(), fleet.members().end(), [&](const auto &member) {
        return (seen[member.name] == "serving") == (member.half == router.half);
    });
}

/// Chats answered whole through each router, one after the other.
auto expectServing(Fleet &fleet, const std::string &when) -> void
{
    for (std::size_t half = 0; half < halves; ++half) {
        for (std::size_t turn = 0; turn < answersEach; ++turn) {
            const auto request =
                fleet.chat(when + std::to_string(half) + "/" + std::to_string(turn), 5);
            const auto answer = experiment::call(fleet.router(half).callers, request);
            BOOST_TEST(isWholeAndOwn(request, answer),
                       when << " router " << half << ' ' << answer.problemKind());
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_partition)

// Two data centres lose each other: no connection and no datagram passes. Callers on either side
// go on being answered by their own side's upstreams, nothing runs twice, and once the data centres
// meet again both sides hold the same list of upstreams.
BOOST_AUTO_TEST_CASE(each_half_serves_alone_and_the_lists_agree_after_healing)
{
    experiment::FleetOptions options;
    options.engines = 4;
    options.services = 2;
    options.routers = 2;
    options.dataCenters = {"bole", "kirkos"};
    options.tokensPerSecond = 200;
    options.pool = {{"loadMultiple", 10.0}};
    options.halves = true;
    Fleet fleet(options);
    Traffic traffic(fleet, requestOf(fleet),
                    [](std::size_t caller, std::size_t turn) { return (caller + turn) % halves; });
    traffic.add(8);
    for (const auto &member : fleet.members()) {
        BOOST_TEST(eventually([&] { return member.farDigest->carried() > 0; }, longWait));
    }
    fleet.setApart(true);
    for (const auto &router : fleet.routers()) {
        BOOST_TEST(eventually([&] { return seesOwnHalfOnly(fleet, router); }, longWait));
    }
    for (const auto &member : fleet.members()) {
        BOOST_TEST(eventually([&] { return member.farDigest->lost() > 0; }, longWait));
    }
    expectServing(fleet, "apart");
    fleet.setApart(false);
    fleet.waitReady();
    BOOST_TEST((fleet.states(fleet.router(0)) == fleet.states(fleet.router(1))));
    expectServing(fleet, "healed");
    expectPromisesKept(fleet, traffic);
}

BOOST_AUTO_TEST_SUITE_END()
