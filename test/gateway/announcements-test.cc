#include "gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr auto requestCount = 30;

/// Two upstreams; the first refuses each request and asks for `rest` in milliseconds.
class RestingUpstream
{
public:
    explicit RestingUpstream(const std::string &rest)
        : first(loop, "first",
                [rest](ScriptedConnection &connection, const std::string &request) {
                    connection.send(
                        "HTTP/1.1 503 Busy\r\nRequest-Id: " + headerOf(request, "Request-Id")
                        + "\r\nNot-Run: 1\r\nRest-Ms: " + rest + "\r\nContent-Length: 0\r\n\r\n");
                })
        , second(loop, "second",
                 [](ScriptedConnection &connection, const std::string &request) {
                     connection.send(plainAnswer(request, "served"));
                 })
        , gateway(loop)
    {
        gateway.applyRegistry(testConfiguration(), {first.entry("pool"), second.entry("pool")});
    }

    /// Sends one request and returns its answer.
    auto ask() -> std::string
    {
        auto caller = gateway.caller();
        caller.send(testing::requestText("/once/a", "r" + std::to_string(++asked_),
                                         "Connection: close\r\n"));
        BOOST_TEST(caller.seesClose());
        return caller.received;
    }

    asio::io_context loop{1};
    ScriptedUpstream first;
    ScriptedUpstream second;
    Gateway gateway;

private:
    int asked_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_announcements)

// Guards against pressing an upstream that refused a request and asked for rest.
BOOST_AUTO_TEST_CASE(an_upstream_at_rest_gets_no_request)
{
    RestingUpstream world("60000");
    for (int i = 0; i < requestCount; ++i)
        world.ask();
    BOOST_TEST(world.first.requests().size() == 1U);
    BOOST_TEST(world.second.requests().size() >= requestCount - 1U);
}

// Guards against leaving an upstream without requests after its rest.
BOOST_AUTO_TEST_CASE(an_upstream_is_used_again_after_its_rest)
{
    RestingUpstream world("50");
    BOOST_TEST(runUntil(world.loop, [&] {
        world.ask();
        return world.first.requests().size() > 3;
    }));
}

// Guards against making callers wait, or telling them to return too early, while all upstreams
// rest.
BOOST_AUTO_TEST_CASE(callers_are_refused_until_the_first_rest_ends)
{
    RestingUpstream world("60000");
    world.gateway.applyRegistry(testConfiguration(2), {world.first.entry("pool")});
    for (int i = 0; i < requestCount; ++i) {
        const auto answer = world.ask();
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
        const auto wait = headerOf(answer, "Retry-After");
        BOOST_REQUIRE(!wait.empty());
        BOOST_TEST(std::stod(wait) > 50);
    }
    BOOST_TEST(world.first.requests().size() == 1U);
}

// Guards against sending requests to an upstream that said that it leaves before, or without, any
// change of its registry entry.
BOOST_AUTO_TEST_CASE(an_upstream_that_says_it_leaves_gets_nothing_new)
{
    asio::io_context loop(1);
    ScriptedUpstream first(loop, "first",
                           [](ScriptedConnection &connection, const std::string &request) {
                               auto text = plainAnswer(request, "served");
                               text.insert(text.find("\r\n"), "\r\nGoing-Away: yes");
                               connection.send(text);
                           });
    ScriptedUpstream second(loop, "second",
                            [](ScriptedConnection &connection, const std::string &request) {
                                connection.send(plainAnswer(request, "served"));
                            });
    Gateway gateway(loop);
    const direct::UpstreamList both{first.entry("pool"), second.entry("pool")};
    gateway.applyRegistry(testConfiguration(), both);
    const auto ask = [&](int number) {
        auto caller = gateway.caller();
        caller.send(testing::requestText("/safe/a", "r" + std::to_string(number)));
        BOOST_TEST(caller.receives("served"));
    };
    for (int i = 0; i < requestCount; ++i) {
        ask(i);
        // Its entry lapses and is written again while the registry is away.
        if (i == requestCount / 2) {
            gateway.applyRegistry(testConfiguration(2), {second.entry("pool")});
            gateway.applyRegistry(testConfiguration(3), both);
        }
    }
    BOOST_TEST(first.requests().size() == 1U);
    gateway.applyRegistry(testConfiguration(4), {first.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/safe/a", "last"));
    BOOST_TEST(caller.receives("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_SUITE_END()
