#include "system/expect.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <thread>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::call;

auto repeatFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 0;
    options.services = 3;
    options.routers = 2;
    return options;
}

auto ticketFor(Fleet &fleet, const char *pool) -> std::string
{
    CallerRequest request;
    request.path = "/v1/tickets";
    request.headers = {{"Applehatch-Customer", "ledgerworks/branch-east"}};
    request.body = nlohmann::json{{"pool", pool}}.dump();
    const auto answer = call(fleet.router(0).callers, request);
    const auto document = nlohmann::json::parse(answer.body, nullptr, false);
    return document.is_object() ? document.value("ticket", std::string()) : "";
}

/// Sends `request` through both routers at once, several times each.
auto sendEverywhere(Fleet &fleet, const CallerRequest &request, History &history) -> void
{
    std::list<std::jthread> callers;
    for (auto caller = 0; caller < 6; ++caller) {
        callers.emplace_back(
            [&, caller] { history.add(request, call(fleet.router(caller % 2).callers, request)); });
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeats)

// A call-handler's client sends a booking again through another router while the first is still
// under way. Run twice, two operatives would come to one door.
BOOST_AUTO_TEST_CASE(a_key_or_ticket_runs_once_through_two_routers_at_once)
{
    Fleet fleet(repeatFleet());
    const auto ticket = ticketFor(fleet, Fleet::servicePool);
    BOOST_TEST(!ticket.empty());
    const auto keyed = with(with(fleet.job("by key"), "Idempotency-Key", "booking-1"),
                            "Applehatch-First-Send", "true");
    const auto ticketed = with(fleet.job("by ticket"), "Applehatch-Ticket", ticket);
    for (const auto &request : {keyed, ticketed}) {
        History history;
        sendEverywhere(fleet, request, history);
        BOOST_TEST_CONTEXT(request.body << fleet.outputs())
        {
            BOOST_TEST(fleet.runsOf(request).size() == 1U);
            BOOST_TEST(history.whole() == history.size());
            for (const auto &violation : history.violations(fleet)) {
                BOOST_ERROR(violation);
            }
        }
    }
}

// The sidecar that ran a booking dies before its answer got out, and a new one knows nothing of
// it. The caller is told that the outcome is unknown; a second run would be a second booking.
BOOST_AUTO_TEST_CASE(a_ticket_whose_sidecar_died_is_never_run_again)
{
    Fleet fleet(repeatFleet());
    const auto request =
        with(fleet.job("lost answer"), "Applehatch-Ticket", ticketFor(fleet, Fleet::servicePool));
    BOOST_TEST(isWholeAndOwn(request, call(fleet.router(0).callers, request)));
    const auto ran = fleet.runsOf(request);
    BOOST_REQUIRE(ran.size() == 1U);
    for (auto &member : fleet.members()) {
        if (member.name == ran.front().upstream) {
            member.sidecar->kill();
            fleet.startSidecar(member);
        }
    }
    fleet.waitReady();
    for (std::size_t router = 0; router < 2; ++router) {
        const auto answer = call(fleet.router(router).callers, request);
        BOOST_TEST_CONTEXT(answer.body)
        {
            BOOST_TEST(answer.problemKind() == "outcome-unknown");
            BOOST_TEST(answer.problem().value("run", "") == "unknown");
        }
    }
    BOOST_TEST(fleet.runsOf(request).size() == 1U);
}

// One request crashes each engine that runs it, and its caller sends it again and again. Without a
// stop it takes down the whole pool.
BOOST_AUTO_TEST_CASE(a_crashing_request_takes_down_at_most_two_engines)
{
    experiment::FleetOptions options;
    options.engines = 5;
    options.routers = 2;
    options.control = R"({"crashMarker": "boom", "crashAfterMs": 50})";
    Fleet fleet(options);
    const auto request = fleet.chat("boom", 50);
    CallerAnswer last;
    for (std::size_t attempt = 0; attempt < 6; ++attempt) {
        last = call(fleet.router(attempt % 2).callers, request, 15000ms);
        BOOST_TEST(!last.problemKind().empty());
    }
    auto crashed = 0;
    for (auto &member : fleet.members()) {
        crashed += member.upstream->running() ? 0 : 1;
    }
    BOOST_TEST_CONTEXT(last.body << fleet.outputs())
    {
        BOOST_TEST(crashed >= 1);
        BOOST_TEST(crashed <= 2);
        BOOST_TEST(last.problemKind() == "crash-suspect");
    }
    const auto innocent = fleet.chat("innocent", 5);
    BOOST_TEST(isWholeAndOwn(innocent, call(fleet.router(0).callers, innocent)));
}

BOOST_AUTO_TEST_SUITE_END()
