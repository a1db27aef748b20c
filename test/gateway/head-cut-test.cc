// Upstreams that stop inside the head of their answer.
#include "gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// How the connection ends behind what was sent of the head.
enum class End { InOrder, Reset };

/// Returns what a caller receives if the upstream sends the first `bytes` of its answer's head.
auto answerCutAt(const std::string &head, std::size_t bytes, End end, const std::string &path)
    -> std::string
{
    asio::io_context loop{1};
    ScriptedUpstream upstream(loop, "one", [&](auto &connection, const auto &) {
        if (end == End::Reset)
            return connection.sendThenReset(head.substr(0, bytes));
        connection.send(head.substr(0, bytes));
        connection.close();
    });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText(path, "r1", "Connection: close\r\n"));
    BOOST_TEST(caller.seesClose());
    return caller.received;
}

/// A head with a proof; `framing` tells the length of its body.
auto headWith(const std::string &framing) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nRan-By: proof\r\n" + framing + "\r\n";
}

auto expectFailures(End end, std::size_t step) -> void
{
    for (const auto *framing : {"", "Content-Length: 12\r\n", "Content-Length: 0\r\n",
                                "Transfer-Encoding: chunked\r\n"}) {
        const auto head = headWith(framing);
        for (const auto *path : {"/once/a", "/stream/a"}) {
            for (std::size_t bytes = 0; bytes < head.size(); bytes += step) {
                const auto answer = answerCutAt(head, bytes, end, path);
                BOOST_TEST(answer.starts_with("HTTP/1.1 502"),
                           path << ' ' << bytes << ' ' << answer);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_head_cut)

// Guards against an answer that looks whole though its upstream closed inside its head.
BOOST_AUTO_TEST_CASE(an_upstream_that_closes_inside_its_head_has_not_answered)
{
    expectFailures(End::InOrder, 1);
}

// Guards against the same where the connection is reset.
BOOST_AUTO_TEST_CASE(an_upstream_that_resets_inside_its_head_has_not_answered)
{
    expectFailures(End::Reset, 7);
}

BOOST_AUTO_TEST_SUITE_END()
