#include "gateway-fixture.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

struct OneUpstream
{
    explicit OneUpstream(ScriptedConnection::Script script)
        : upstream(loop, "one", std::move(script))
        , gateway(loop)
    {
        gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    }

    asio::io_context loop{1};
    ScriptedUpstream upstream;
    Gateway gateway;
};

auto countOf(const std::string &text, const std::string &part) -> std::size_t
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_answers)

// A caller's request reaches an upstream with the router's headers set, and the upstream's answer
// reaches the caller unchanged.
BOOST_AUTO_TEST_CASE(an_answer_is_relayed_unchanged)
{
    OneUpstream world([](ScriptedConnection &connection, const std::string &request) {
        connection.send(plainAnswer(request, "world"));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a?b=c", "r1", "Reserve: mine\r\nX-Other: kept\r\n"));
    BOOST_TEST(caller.receives("world"));
    BOOST_TEST(headerOf(caller.received, "Ran-By") == "proof");
    const auto sent = world.upstream.requests().at(0);
    BOOST_TEST(sent.starts_with("POST /once/a?b=c HTTP/1.1"));
    BOOST_TEST(headerOf(sent, "Only-At") == "one");
    BOOST_TEST(headerOf(sent, "For-Customer") == "acme");
    BOOST_TEST(headerOf(sent, "X-Other") == "kept");
    BOOST_TEST(sent.ends_with("hello"));
}

// A caller sends headers that only the router may set, or lists a header that decides how the
// request runs in `Connection` so that it is dropped. An upstream that trusted such headers would
// reserve memory for the caller or run a different request.
BOOST_AUTO_TEST_CASE(a_caller_can_neither_set_nor_drop_router_headers)
{
    OneUpstream world([](ScriptedConnection &connection, const std::string &request) {
        connection.send(plainAnswer(request, "done"));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a", "r1",
                                     "Reserve: all\r\nFetch-Context: 10.0.0.1:1\r\n"
                                     "For-Customer: somebody\r\nOnly-At: other\r\n"
                                     "Connection: Prompt-Parts, X-Mine\r\n"
                                     "Prompt-Parts: p\r\nX-Mine: hop\r\n"));
    BOOST_TEST(caller.receives("done"));
    const auto sent = world.upstream.requests().at(0);
    BOOST_TEST(headerOf(sent, "Reserve").empty());
    BOOST_TEST(headerOf(sent, "Fetch-Context").empty());
    BOOST_TEST(headerOf(sent, "For-Customer") == "acme");
    BOOST_TEST(headerOf(sent, "Only-At") == "one");
    BOOST_TEST(headerOf(sent, "Prompt-Parts") == "p");
    BOOST_TEST(headerOf(sent, "X-Mine").empty());
    BOOST_TEST(headerOf(sent, "Authorization").empty());
}

// An upstream sends a second answer to an earlier request where the next answer is expected.
// Without the check of the echoed id, the next caller would get the answer to another request.
BOOST_AUTO_TEST_CASE(a_late_answer_to_an_earlier_request_reaches_nobody)
{
    OneUpstream world([](ScriptedConnection &connection, const std::string &request) {
        if (connection.requests.size() == 1)
            return connection.send(plainAnswer(request, "first"));
        connection.send(plainAnswer(connection.requests.front(), "stale")
                        + plainAnswer(request, "second"));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a", "r1"));
    BOOST_TEST(caller.receives("first"));
    caller.send(testing::requestText("/once/a", "r2"));
    BOOST_TEST(caller.receives("second"));
    BOOST_TEST(world.upstream.connections.size() == 1);
    BOOST_TEST(caller.received.find("stale") == std::string::npos);
}

// An upstream sends more bytes after a complete answer. They belong to no request, so the
// connection is not reused.
BOOST_AUTO_TEST_CASE(bytes_after_an_answer_end_the_connection)
{
    OneUpstream world([](ScriptedConnection &connection, const std::string &request) {
        connection.send(plainAnswer(request, "whole") + "HTTP/1.1 200 OK\r\n");
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a", "r1"));
    BOOST_TEST(caller.receives("whole"));
    caller.send(testing::requestText("/once/a", "r2"));
    BOOST_TEST(runUntil(world.loop, [&] { return countOf(caller.received, "whole") == 2; }));
    BOOST_TEST(world.upstream.connections.size() == 2);
}

// An upstream answers 200 without its proof, or 503 without saying that it did not run the request.
// The caller of a request that runs at most once must not rely on either answer.
BOOST_AUTO_TEST_CASE(an_answer_that_cannot_be_trusted_is_a_failure_that_promises_nothing)
{
    for (const std::string head : {"200 OK", "503 Service Unavailable"}) {
        OneUpstream world([head](ScriptedConnection &connection, const std::string &request) {
            connection.send("HTTP/1.1 " + head + "\r\nRequest-Id: "
                            + headerOf(request, "Request-Id") + "\r\nContent-Length: 3\r\n\r\nbad");
        });
        auto caller = world.gateway.caller();
        caller.send(testing::requestText("/once/a", "r1"));
        BOOST_TEST(caller.receives("HTTP/1.1 502"));
        BOOST_TEST(caller.received.find("Retry-After") == std::string::npos);
    }
}

// An answer without a length ends with its connection. It is complete when the connection is closed
// without a reset.
BOOST_AUTO_TEST_CASE(an_answer_may_end_with_its_connection)
{
    OneUpstream world([](ScriptedConnection &connection, const std::string &request) {
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
                        + "\r\nRan-By: proof\r\n\r\nall of it");
        connection.close();
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a", "r1"));
    BOOST_TEST(caller.receives("all of it"));
    BOOST_TEST(headerOf(caller.received, "Content-Length") == "9");
}

// An upstream breaks off in the middle of a plain answer: by a reset of an answer without a length,
// or before the announced length. If it were relayed, the caller would act on half an answer.
BOOST_AUTO_TEST_CASE(half_an_answer_is_a_failure)
{
    for (const std::string length : {"", "Content-Length: 100\r\n"}) {
        OneUpstream world([length](ScriptedConnection &connection, const std::string &request) {
            const auto text = "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
                + "\r\nRan-By: proof\r\n" + length + "\r\nhalf";
            connection.sendThenReset(text);
        });
        auto caller = world.gateway.caller();
        caller.send(testing::requestText("/once/a", "r1"));
        BOOST_TEST(caller.receives("HTTP/1.1 502"));
        BOOST_TEST(caller.received.find("half") == std::string::npos);
    }
}

// A stream that may run only once breaks off. The caller must see that it is incomplete: the last
// chunk is missing and the connection closes.
BOOST_AUTO_TEST_CASE(a_broken_stream_never_looks_whole)
{
    OneUpstream world([](ScriptedConnection &connection, const std::string &request) {
        connection.send(streamHead(request) + eventChunk(1) + eventChunk(2));
        connection.close();
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/stream/a", "r1"));
    BOOST_TEST(caller.receives("piece-2"));
    BOOST_TEST(caller.seesClose());
    BOOST_TEST(!caller.received.ends_with(lastChunk));
    BOOST_TEST(world.upstream.requests().size() == 1);
}

// The deadline passes while the upstream is silent. The caller then gets its final answer, and the
// closed connection tells the upstream to stop.
BOOST_AUTO_TEST_CASE(a_deadline_ends_the_wait_and_the_upstream_request)
{
    OneUpstream world([](ScriptedConnection &, const std::string &) {});
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/once/a", "r1", "Time-Left-Ms: 300\r\n"));
    BOOST_TEST(caller.receives("HTTP/1.1 504"));
    BOOST_TEST(runUntil(world.loop, [&] { return world.upstream.connections.at(0)->ended; }));
    BOOST_TEST(std::stoi(headerOf(world.upstream.requests().at(0), "Time-Left-Ms")) <= 300);
}

// Guards against a request that is refused since its time left is a number that is none.
BOOST_AUTO_TEST_CASE(a_time_left_that_is_no_number_is_ignored)
{
    for (const std::string value : {"nan", "-nan", "inf", "1e400", "-1", "soon"}) {
        OneUpstream world(answersWith("taken"));
        auto caller = world.gateway.caller();
        caller.send(testing::requestText("/once/a", "r1", "Time-Left-Ms: " + value + "\r\n"));
        BOOST_TEST(caller.receives("taken"), value << ' ' << caller.received);
    }
}

// A caller disconnects in the middle of a stream. Without the cancellation the engine would
// continue to generate tokens that nobody reads.
BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_ends_the_upstream_request)
{
    OneUpstream world([](ScriptedConnection &connection, const std::string &request) {
        connection.send(streamHead(request) + eventChunk(1));
    });
    auto caller = world.gateway.caller();
    caller.send(testing::requestText("/stream/a", "r1"));
    BOOST_TEST(caller.receives("piece-1"));
    caller.disconnect();
    BOOST_TEST(runUntil(
        world.loop, [&] { return world.upstream.connections.at(0)->ended; }, 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
