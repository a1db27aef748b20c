// Answers that HTTP allows no body.
#include "gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

auto headRequest(const std::string &path, const std::string &key = "key-1",
                 const std::string &extraHeaders = {}) -> std::string
{
    return "HEAD " + path + " HTTP/1.1\r\nHost: api.example\r\nRequest-Id: r1\r\n"
        + "Authorization: Bearer " + key + "\r\n" + extraHeaders + "\r\n";
}

/// Sends `first` and then a request that gets a plain answer, on one connection, and returns what
/// follows the head of the first answer.
auto afterFirstHead(const std::string &first, const ScriptedConnection::Script &script,
                    std::string &head) -> std::string
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one",
                              [&](ScriptedConnection &connection, const std::string &request) {
                                  if (headerOf(request, "Request-Id") == "r1")
                                      return script(connection, request);
                                  connection.send(plainAnswer(request, "second"));
                              });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(first);
    BOOST_TEST(caller.receives("\r\n\r\n"));
    caller.send(testing::requestText("/once/a", "r2"));
    BOOST_TEST(caller.receives("second"));
    const auto end = caller.received.find("\r\n\r\n") + 4;
    head = caller.received.substr(0, end);
    return caller.received.substr(end);
}

auto silent(ScriptedConnection & /*connection*/, const std::string & /*request*/) -> void { }

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_bodyless)

// Guards against the body of a failure after HEAD, which comes in front of the next answer.
BOOST_AUTO_TEST_CASE(a_failure_to_head_has_no_body)
{
    const auto breaks = [](ScriptedConnection &connection, const std::string &) {
        connection.reset();
    };
    struct Failure
    {
        std::string request;
        ScriptedConnection::Script script;
        std::string status;
    };
    const std::vector<Failure> failures = {
        {headRequest("/once/a", "key-2"), silent, "401"},
        {headRequest("/none/a"), silent, "404"},
        {headRequest("/once/a"), breaks, "502"},
        {headRequest("/once/a", "key-1", "Time-Left-Ms: 100\r\n"), silent, "504"},
    };
    for (const auto &failure : failures) {
        std::string head;
        const auto rest = afterFirstHead(failure.request, failure.script, head);
        BOOST_TEST(head.starts_with("HTTP/1.1 " + failure.status));
        BOOST_TEST(head.find("Content-Length: ") != std::string::npos);
        BOOST_TEST(rest.starts_with("HTTP/1.1 200"));
    }
}

// Guards against the end mark of a chunked body after HEAD.
BOOST_AUTO_TEST_CASE(a_stream_to_head_has_no_end_mark)
{
    std::string head;
    const auto rest = afterFirstHead(
        headRequest("/stream/a"),
        [](ScriptedConnection &connection, const std::string &request) {
            connection.send(streamHead(request));
        },
        head);
    BOOST_TEST(head.starts_with("HTTP/1.1 200"));
    BOOST_TEST(rest.starts_with("HTTP/1.1 200"));
}

// Guards against a length of 0 in place of the one that the upstream named.
BOOST_AUTO_TEST_CASE(an_answer_to_head_keeps_its_length)
{
    std::string head;
    const auto rest = afterFirstHead(
        headRequest("/safe/a"),
        [](ScriptedConnection &connection, const std::string &request) {
            const auto whole = plainAnswer(request, std::string(1234, 'x'));
            connection.send(whole.substr(0, whole.find("\r\n\r\n") + 4));
        },
        head);
    BOOST_TEST(headerOf(head, "Content-Length") == "1234");
    BOOST_TEST(rest.starts_with("HTTP/1.1 200"));
}

// Guards against a refusal without a length since the request before it was a HEAD.
BOOST_AUTO_TEST_CASE(a_refusal_after_head_has_its_length)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", silent);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(headRequest("/none/a"));
    BOOST_TEST(caller.receives("\r\n\r\n"));
    caller.received.clear();
    caller.send("no request\r\n\r\n");
    BOOST_TEST(caller.receives("\r\n\r\n"));
    BOOST_TEST(headerOf(caller.received, "Content-Length") == "0");
}

// Guards against a length where the status allows no body.
BOOST_AUTO_TEST_CASE(a_status_without_body_has_no_length)
{
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        std::string head;
        const auto rest = afterFirstHead(
            testing::requestText("/once/a", "r1"),
            [&](ScriptedConnection &connection, const std::string &) {
                connection.send("HTTP/1.1 " + status
                                + "\r\nRequest-Id: r1\r\nRan-By: proof\r\n\r\n");
            },
            head);
        BOOST_TEST(head.starts_with("HTTP/1.1 " + status.substr(0, 3)));
        BOOST_TEST(head.find("Content-Length") == std::string::npos);
        BOOST_TEST(rest.starts_with("HTTP/1.1 200"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
