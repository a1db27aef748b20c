// What a gateway takes and ends in order after it was asked to stop.
#include "gateway-fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <memory>
#include <vector>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// Whether the upstream got the request with this header line.
auto hasReached(const ScriptedUpstream &upstream, const std::string &line) -> bool
{
    const auto requests = upstream.requests();
    return std::any_of(requests.begin(), requests.end(), [&](const std::string &request) {
        return request.find(line) != std::string::npos;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_stop)

// The process is asked to stop while a stream runs. The stream completes, idle connections are
// closed, the load balancer sees 503 and sends no more callers, and then the loop ends by itself.
BOOST_AUTO_TEST_CASE(a_stop_cuts_nothing)
{
    asio::io_context loop(1);
    std::vector<std::shared_ptr<ScriptedConnection>> running;
    ScriptedUpstream upstream(loop, "one",
                              [&](ScriptedConnection &connection, const std::string &request) {
                                  connection.send(streamHead(request) + eventChunk(1));
                                  running.push_back(connection.shared_from_this());
                              });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    auto idle = gateway.caller();
    caller.send(testing::requestText("/stream/a", "r1"));
    BOOST_TEST(caller.receives("piece-1"));
    gateway.host.stop();
    BOOST_TEST(readinessStatus(loop, gateway) == "503");
    BOOST_TEST(idle.seesClose());
    BOOST_TEST(!caller.ended);
    running.at(0)->send(eventChunk(2) + std::string(lastChunk));
    BOOST_TEST(caller.receives("piece-2"));
    BOOST_TEST(caller.seesClose());
    BOOST_TEST(caller.received.ends_with(lastChunk));
    BOOST_TEST(runUntil(loop, [&] { return loop.stopped(); }));
}

// All routers are stopped in turn, faster than they restart. The load balancer finds none ready and
// sends callers to routers that are stopping. A short stream is served there; one that would be cut
// when the process ends is refused at once, and its caller is told that it did not run.
BOOST_AUTO_TEST_CASE(the_last_router_takes_what_it_can_finish)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(
        loop, "one", [](ScriptedConnection &connection, const std::string &request) {
            connection.send(streamHead(request) + eventChunk(1) + std::string(lastChunk));
        });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    gateway.host.stop();
    runUntil(
        loop, [] { return false; }, 2600ms);
    auto shortStream = gateway.caller();
    shortStream.send(testing::requestText("/stream/a", "r1", "Token-Counts: 20\r\n"));
    BOOST_TEST(shortStream.receives("piece-1"));
    auto longStream = gateway.caller();
    longStream.send(testing::requestText("/stream/a", "r2", "Token-Counts: 2000\r\n"));
    BOOST_TEST(longStream.receives("HTTP/1.1 503"));
    BOOST_TEST(!headerOf(longStream.received, "Retry-After").empty());
    BOOST_TEST(upstream.requests().size() == 1);
}

// Guards against a plain request that a stopping process takes and breaks off when it ends, since
// callers keep coming until then.
BOOST_AUTO_TEST_CASE(a_process_that_ends_breaks_off_no_plain_request)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(
        loop, "one", [&loop](ScriptedConnection &connection, const std::string &request) {
            const auto timer = std::make_shared<asio::steady_timer>(loop, 300ms);
            timer->async_wait([timer, request, self = connection.shared_from_this()](auto) {
                self->send(plainAnswer(request, "served"));
            });
        });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    gateway.settings.stopTimeout = 4500ms;
    gateway.host.reload(gateway.settings);
    gateway.host.stop();
    std::list<Caller> callers;
    const auto hasEnded = [&] { return loop.stopped(); };
    while (!runUntil(loop, hasEnded, 20ms)) {
        callers.emplace_back(loop, gateway.settings.callers);
        callers.back().send(testing::requestText("/once/a", "r" + std::to_string(callers.size()),
                                                 "Connection: close\r\n"));
    }
    std::size_t number = 0;
    std::size_t answered = 0;
    for (const auto &caller : callers) {
        const auto id = "Request-Id: r" + std::to_string(++number) + "\r\n";
        answered += caller.received.starts_with("HTTP/1.1 200") ? 1 : 0;
        BOOST_TEST((!caller.received.empty() || !hasReached(upstream, id)), id);
    }
    BOOST_TEST(answered > callers.size() / 2);
}

BOOST_AUTO_TEST_SUITE_END()
