#include "gateway-fixture.h"

#include "applehatch/telemetry/clock.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// Two upstreams with the same script; `runs` counts the requests that reached either of them.
struct TwoUpstreams
{
    using Script = std::function<void(ScriptedConnection &, const std::string &request, int run)>;

    explicit TwoUpstreams(Script script)
        : script_(std::move(script))
        , first(loop, "first",
                [this](auto &connection, const auto &text) { run(connection, text); })
        , second(loop, "second",
                 [this](auto &connection, const auto &text) { run(connection, text); })
        , gateway(loop)
    {
        gateway.applyRegistry(testConfiguration(), {first.entry("pool"), second.entry("pool")});
        // A newly started process has no share of the extra retries yet.
        gateway.host.dispatcher().setRetryLimits({5.0, std::chrono::seconds(10), 0});
    }

    asio::io_context loop{1};
    int runs = 0;

private:
    auto run(ScriptedConnection &connection, const std::string &request) -> void
    {
        script_(connection, request, ++runs);
    }

    Script script_;

public:
    ScriptedUpstream first;
    ScriptedUpstream second;
    Gateway gateway;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_retries)

// The first upstream resets the connection before it answers. A request that may be repeated is
// sent to the other upstream, and its caller notices nothing.
BOOST_AUTO_TEST_CASE(a_safe_request_is_repeated_elsewhere)
{
    TwoUpstreams world([](ScriptedConnection &connection, const std::string &request, int run) {
        if (run == 1)
            return connection.reset();
        connection.send(plainAnswer(request, "served"));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/safe/a", "r1"));
    BOOST_TEST(caller.receives("served"));
    BOOST_TEST(world.first.requests().size() == 1);
    BOOST_TEST(world.second.requests().size() == 1);
}

// The upstream resets the connection of a request that runs at most once. The request may have run,
// so it is not sent again, and the answer does not say that it did not run.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_repeated)
{
    TwoUpstreams world(
        [](ScriptedConnection &connection, const std::string &, int) { connection.reset(); });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a", "r1"));
    BOOST_TEST(caller.receives("HTTP/1.1 502"));
    BOOST_TEST(world.runs == 1);
}

// An upstream says that it did not run the request. The route allows one attempt, so the caller is
// told at once that the request did not run and when to retry.
BOOST_AUTO_TEST_CASE(a_refused_request_is_told_when_to_retry)
{
    TwoUpstreams world([](ScriptedConnection &connection, const std::string &request, int) {
        connection.send("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: "
                        + headerOf(request, "Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a", "r1"));
    BOOST_TEST(caller.receives("HTTP/1.1 503"));
    const auto wait = std::stod(headerOf(caller.received, "Retry-After"));
    BOOST_TEST(wait > 0);
    BOOST_TEST(wait < 1);
    BOOST_TEST(world.runs == 1);
}

// An upstream breaks off a resumable stream in the middle of an event. Another upstream continues
// after the last complete event, within the same answer; the caller gets each event once.
BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_at_another_upstream)
{
    TwoUpstreams world([](ScriptedConnection &connection, const std::string &request, int run) {
        if (run == 1) {
            connection.send(streamHead(request) + eventChunk(1) + eventChunk(2)
                            + chunkText("id: 3\ndata: pie"));
            return connection.close();
        }
        BOOST_TEST(headerOf(request, "Last-Event-ID") == "2");
        connection.send(streamHead(request) + eventChunk(3) + eventChunk(4)
                        + std::string(lastChunk));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/resume/a", "r1"));
    BOOST_TEST(caller.receives("piece-4"));
    BOOST_TEST(caller.receives(std::string(lastChunk)));
    std::string pieces;
    for (auto at = caller.received.find("data: "); at != std::string::npos;
         at = caller.received.find("data: ", at + 1))
        pieces += caller.received.substr(at + 6, caller.received.find('\n', at) - at - 6) + ' ';
    BOOST_TEST(pieces == "piece-1 piece-2 piece-3 piece-4 ");
    BOOST_TEST(caller.received.find("HTTP/1.1", 1) == std::string::npos);
}

// The upstream that resumes a stream sends events that the caller already has. If they were
// relayed, the caller would read them twice; the answer breaks off instead.
BOOST_AUTO_TEST_CASE(a_stream_that_goes_back_is_not_joined)
{
    TwoUpstreams world([](ScriptedConnection &connection, const std::string &request, int run) {
        connection.send(streamHead(request) + eventChunk(1) + eventChunk(2));
        if (run == 1)
            return connection.close();
        connection.send(std::string(lastChunk));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/resume/a", "r1"));
    BOOST_TEST(caller.seesClose());
    BOOST_TEST(!caller.received.ends_with(lastChunk));
}

// The only upstream ran a request and answered 500; there is no other upstream for a retry. The
// caller gets that answer, since a refusal would say that the request had not run.
BOOST_AUTO_TEST_CASE(an_answer_is_not_given_up_for_a_retry_that_cannot_be)
{
    TwoUpstreams world([](ScriptedConnection &connection, const std::string &request, int) {
        connection.send("HTTP/1.1 500 Broken\r\nRan-By: proof\r\nRequest-Id: "
                        + headerOf(request, "Request-Id") + "\r\nContent-Length: 4\r\n\r\noops");
    });
    world.gateway.applyRegistry(testConfiguration(2), {world.first.entry("pool")});
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/safe/a", "r1"));
    BOOST_TEST(caller.receives("oops"));
    BOOST_TEST(caller.received.starts_with("HTTP/1.1 500"));
    BOOST_TEST(headerOf(caller.received, "Ran-By") == "proof");
}

// The upstream resets the connection and there is no other upstream, or none that can be reached.
// The request may have run, so the final answer must not say that it did not.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_never_said_not_to_have)
{
    for (const auto hasOther : {false, true}) {
        TwoUpstreams world(
            [](ScriptedConnection &connection, const std::string &, int) { connection.reset(); });
        auto upstreams = direct::UpstreamList{world.first.entry("pool")};
        if (hasOther) {
            upstreams.push_back(world.second.entry("pool"));
            upstreams.back().slots =
                1; // Higher load per slot, so the first upstream is tried first.
            world.gateway.host.dispatcher().loads().noteReport(upstreams.back().id, 1, 0,
                                                               telemetry::steadyNow());
            world.second.closeListener();
        }
        world.gateway.applyRegistry(testConfiguration(2), upstreams);
        auto caller = world.gateway.caller();
        caller.send(testing::requestText("/safe/a", "r1"));
        BOOST_TEST(caller.receives("HTTP/1.1 502"));
        BOOST_TEST(world.runs == 1);
    }
}

// An upstream accepts a request and never answers, while its connection stays open. A request that
// may be repeated is sent to another upstream long before its deadline.
BOOST_AUTO_TEST_CASE(a_silent_upstream_is_abandoned)
{
    TwoUpstreams world([](ScriptedConnection &connection, const std::string &request, int run) {
        if (run > 1)
            connection.send(plainAnswer(request, "served"));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/safe/a", "r1", "Time-Left-Ms: 10000\r\n"));
    BOOST_TEST(caller.receives("served"));
    BOOST_TEST(world.runs == 2);
}

// An upstream's host accepts no connections. Nothing was sent, so even a request that runs at most
// once may be sent to another upstream.
BOOST_AUTO_TEST_CASE(an_unreachable_upstream_fails_no_request)
{
    TwoUpstreams world([](ScriptedConnection &connection, const std::string &request, int) {
        connection.send(plainAnswer(request, "served"));
    });
    world.first.closeListener();
    for (int i = 0; i < 6; ++i) {
        auto caller = world.gateway.caller();
        caller.send(testing::requestText("/once/a", "r" + std::to_string(i)));
        BOOST_TEST(caller.receives("served"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
