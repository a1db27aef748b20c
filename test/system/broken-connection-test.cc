#include "system/expect.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <thread>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::call;
using experiment::CallerConnection;

constexpr auto longWait = 15000ms;

auto relayedFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 2;
    options.routers = 2;
    options.tokensPerSecond = 50;
    options.relays = true;
    return options;
}

auto hasSomeEvents(const CallerAnswer &answer) -> bool
{
    return answer.events().size() > 5;
}

/// The rest of an answer, asked for at another router.
auto resume(Fleet &fleet, std::size_t router, const CallerAnswer &first) -> CallerAnswer
{
    CallerRequest request;
    request.method = "GET";
    request.path = "/v1/answers";
    request.headers = {{"Applehatch-Customer", "ledgerworks/branch-east"},
                       {"Last-Event-ID", first.lastEventId()}};
    return call(fleet.router(router).callers, request, longWait);
}

/// The engine that runs something now.
auto busyEngine(Fleet &fleet) -> experiment::FleetMember &
{
    for (std::size_t number = 0; number < 2; ++number) {
        if (fleet.record(fleet.engine(number)).value("running", 0) > 0) {
            return fleet.engine(number);
        }
    }
    throw std::runtime_error("no engine runs anything" + fleet.outputs());
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_connections)

// Something between two ends loses track of a connection: it stays open and carries nothing more,
// while new ones work. A caller would wait for the rest of its answer for ever.
BOOST_AUTO_TEST_CASE(a_silent_hop_behind_the_router_costs_no_part_of_an_answer)
{
    struct Row
    {
        const char *name;
        std::function<experiment::Relay &(experiment::FleetMember &)> hop;
    };
    const auto rows = {Row{"router to sidecar", [](auto &member) -> auto &{return *member.linkRelay;
}
}
, Row{"sidecar to engine", [](auto &member) -> auto &{return *member.upstreamRelay;
}
}
,
}
;
for (const auto &row : rows) {
    Fleet fleet(relayedFleet());
    const auto request = fleet.chat(row.name, 100);
    CallerConnection connection(fleet.router().callers, request);
    connection.read(hasSomeEvents);
    auto &hop = row.hop(busyEngine(fleet));
    hop.silence();
    const auto accepted = hop.accepted();
    const auto &answer = connection.read({}, longWait);
    BOOST_TEST_CONTEXT(row.name << "\n" << answer.problem().dump() << fleet.outputs())
    {
        BOOST_TEST(hop.accepted() > accepted);
        BOOST_TEST(isWholeAndOwn(request, answer));
        BOOST_TEST(fleet.runsOf(request).size() == 1U);
    }
}
}

BOOST_AUTO_TEST_CASE(a_silent_caller_connection_is_resumed_at_another_router)
{
    Fleet fleet(relayedFleet());
    const auto request = fleet.chat("silent caller", 60);
    CallerConnection connection(fleet.router(0).callers, request);
    connection.read(hasSomeEvents);
    fleet.router(0).relay->silence();
    const auto &first = connection.read({}, 300ms);
    BOOST_TEST(!first.framed);
    const auto rest = resume(fleet, 1, first);
    BOOST_TEST(rest.framed);
    BOOST_TEST(first.streamData() + rest.streamData() == expectedAnswer(request));
    BOOST_TEST(fleet.runsOf(request).size() == 1U);
}

// An entry host loses power while answers run through it. Its callers come back with the id of the
// last event they saw, at any other router, and must get exactly the rest.
BOOST_AUTO_TEST_CASE(a_killed_router_is_resumed_at_another)
{
    Fleet fleet(relayedFleet());
    const auto request = fleet.chat("killed router", 60);
    CallerConnection connection(fleet.router(0).callers, request);
    connection.read(hasSomeEvents);
    fleet.router(0).process->kill();
    const auto &first = connection.read();
    BOOST_TEST(!first.framed);
    const auto rest = resume(fleet, 1, first);
    BOOST_TEST_CONTEXT(rest.body << fleet.outputs())
    {
        BOOST_TEST(rest.framed);
        BOOST_TEST(first.streamData() + rest.streamData() == expectedAnswer(request));
        BOOST_TEST(fleet.runsOf(request).size() == 1U);
    }
}

// An entry host stalls half way through an answer, while its kernel still takes what is sent. The
// sidecar must notice soon, or its engine would go on for a caller that is given nothing.
BOOST_AUTO_TEST_CASE(a_stalled_router_is_noticed_by_the_sidecar_that_serves_it)
{
    Fleet fleet(relayedFleet());
    const auto request = fleet.chat("stalled router", 1000);
    CallerConnection connection(fleet.router(0).callers, request);
    connection.read(hasSomeEvents);
    auto &member = busyEngine(fleet);
    fleet.router(0).process->pause();
    const auto noticed = member.sidecar->waitForLine("event=link-silent", longWait);
    fleet.router(0).process->resume();
    BOOST_TEST(noticed.has_value(), fleet.outputs());
}

// Another customer guesses or finds the position of an answer. It must not be given any of it.
BOOST_AUTO_TEST_CASE(an_answer_is_resumed_for_its_own_customer_only)
{
    Fleet fleet(relayedFleet());
    const auto request = fleet.chat("own customer", 10);
    const auto first = call(fleet.router(0).callers, request);
    CallerRequest theft;
    theft.method = "GET";
    theft.path = "/v1/answers";
    theft.headers = {{"Applehatch-Customer", "ledgerworks/branch-west"},
                     {"Last-Event-ID", first.events().front().id}};
    const auto stolen = call(fleet.router(1).callers, theft);
    BOOST_TEST(stolen.status >= 400);
    BOOST_TEST(stolen.streamData().empty());
}

// The sidecar dies with an answer half way. What it held of the answer is lost, so the caller gets
// the whole of it or a plain error, never half of it as if it were all.
BOOST_AUTO_TEST_CASE(a_killed_sidecar_never_ends_an_answer_silently)
{
    Fleet fleet(relayedFleet());
    const auto request = fleet.chat("killed sidecar", 60);
    CallerConnection connection(fleet.router(0).callers, request);
    connection.read(hasSomeEvents);
    auto &member = busyEngine(fleet);
    member.sidecar->kill();
    fleet.startSidecar(member);
    const auto &answer = connection.read({}, longWait);
    BOOST_TEST_CONTEXT(answer.problem().dump() << fleet.outputs())
    {
        BOOST_TEST(answer.framed);
        BOOST_TEST((isWholeAndOwn(request, answer) || !answer.problemKind().empty()));
        BOOST_TEST((answer.problem().is_null() || answer.problem().value("run", "") != "not-run"));
    }
    fleet.waitReady();
    const auto next = fleet.chat("after the kill", 5);
    BOOST_TEST(isWholeAndOwn(next, call(fleet.router(0).callers, next, longWait)));
}

// An engine closes a stream before its end marker. Passed on as it is, a report page would miss
// its last paragraphs and nobody would know.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_early_is_an_error)
{
    auto options = relayedFleet();
    options.control = R"({"endEarlyAfter": 5})";
    Fleet fleet(options);
    for (const auto stream : {true, false}) {
        const auto request = fleet.chat("early end", 20, stream);
        const auto answer = call(fleet.router().callers, request, longWait);
        BOOST_TEST_CONTEXT(answer.body << fleet.outputs())
        {
            BOOST_TEST(!experiment::streamIsWhole(answer.streamData()));
            BOOST_TEST(!isWholeAndOwn(request, answer));
            BOOST_TEST((stream ? !answer.problemKind().empty()
                               : !answer.framed || !answer.problemKind().empty()));
            BOOST_TEST((answer.problem().is_null() || answer.problem()["run"] != "not-run"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
