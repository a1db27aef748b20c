#include "system/expect.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <thread>

namespace {

using namespace applehatch;
using namespace system_test;
using experiment::call;

constexpr auto chatHeader = "Applehatch-Chat";
constexpr auto contextHeader = "Applehatch-Context";
constexpr auto cacheHeader = "Applehatch-Cache";

auto pathFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 4;
    options.services = 2;
    options.routers = 2;
    options.dataCenters = {"bole", "piassa"};
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(path)

BOOST_AUTO_TEST_CASE(answers_come_back_whole_with_their_headers)
{
    Fleet fleet(pathFleet());
    const auto requests = {fleet.chat("streamed", 20), fleet.chat("plain", 20, false),
                           fleet.job("leak in the kitchen")};
    for (const auto &request : requests) {
        const auto answer = call(fleet.router().callers, request);
        BOOST_TEST_CONTEXT(request.body << "\n" << answer.body << fleet.outputs())
        {
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.framed);
            BOOST_TEST(dataOf(request, answer) == expectedAnswer(request));
            BOOST_TEST(!answer.header("Applehatch-Request").empty());
            BOOST_TEST(!answer.header(contextHeader).empty());
            BOOST_TEST(fleet.runsOf(request).size() == 1U);
        }
    }
    const auto streamed = call(fleet.router().callers, fleet.chat("ids", 5));
    for (const auto &event : streamed.events()) {
        BOOST_TEST(!event.id.empty());
    }
}

// Paying again for a chat's long context costs the caller seconds. It must return to the engine
// that holds it, from any router, whether or not its client echoes the token.
BOOST_AUTO_TEST_CASE(a_returning_chat_finds_its_context_with_and_without_its_token)
{
    Fleet fleet(pathFleet());
    for (auto chat = 0; chat < 6; ++chat) {
        const auto name = "chat-" + std::to_string(chat);
        const auto turn = [&](const std::string &mark) {
            return with(fleet.chat(name + mark, 3), chatHeader, name);
        };
        const auto first = call(fleet.router(0).callers, turn("first"));
        const auto token = first.header(contextHeader);
        const auto second =
            call(fleet.router(1).callers, with(turn("second"), contextHeader, token));
        const auto third = call(fleet.router(1).callers, turn("third"));
        BOOST_TEST_CONTEXT(name << first.problem().dump() << second.problem().dump()
                                << third.problem().dump() << fleet.outputs())
        {
            BOOST_TEST(first.header(cacheHeader) == "cold");
            BOOST_TEST(second.header(cacheHeader) == "warm");
            BOOST_TEST(third.header(cacheHeader) == "warm");
        }
    }
}

// Many callers at once, through routers that know nothing of one another. Each must get its own
// whole answer, and no engine may be asked to run more than its slots.
BOOST_AUTO_TEST_CASE(many_callers_at_once_each_get_their_own)
{
    Fleet fleet(pathFleet());
    History history;
    std::list<std::jthread> callers;
    for (auto caller = 0; caller < 40; ++caller) {
        callers.emplace_back([&, caller] {
            for (auto turn = 0; turn < 3; ++turn) {
                const auto mark = std::to_string(caller) + "/" + std::to_string(turn);
                const auto request =
                    caller % 4 == 3 ? fleet.job(mark) : fleet.chat(mark, 15, caller % 2 == 0);
                history.add(request, call(fleet.router(turn % 2).callers, request));
            }
        });
    }
    callers.clear();
    for (const auto &violation : history.violations(fleet)) {
        BOOST_ERROR(violation);
    }
    // The pool has 32 slots for 30 callers, so nobody need be turned away.
    for (const auto &[problem, count] : history.problems()) {
        BOOST_TEST_MESSAGE(count << " times " << problem);
    }
    BOOST_TEST(history.whole() == history.size());
    for (const auto &engine : overloaded(fleet, 8)) {
        BOOST_ERROR(engine);
    }
}

BOOST_AUTO_TEST_SUITE_END()
