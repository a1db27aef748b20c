// Upstreams in trouble that send bytes without end that are no answer.
#include "endless-sender.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// What an upstream sends without end, after what.
struct Endless
{
    const char *name;
    const char *path;
    std::function<std::string(const std::string &request)> opening;
    std::string part;
};

auto plainHead(const std::string &request, const std::string &framing) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
        + "\r\nRan-By: proof\r\n" + framing + "\r\n";
}

auto cases() -> std::vector<Endless>
{
    const auto nothing = [](const std::string &) { return std::string(); };
    const auto chunked = [](const std::string &request) {
        return plainHead(request, "Transfer-Encoding: chunked\r\n");
    };
    return {
        {"junk in the head", "/once/a", nothing, std::string(8192, 'x')},
        {"header lines", "/once/a",
         [](const std::string &) { return std::string("HTTP/1.1 200 OK\r\n"); },
         "X-More: " + std::string(4096, 'x') + "\r\n"},
        {"interim answers", "/once/a", nothing, "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"a chunk size", "/once/a", chunked, std::string(8192, '0')},
        {"a chunk extension", "/once/a",
         [chunked](const std::string &request) { return chunked(request) + "5;"; },
         std::string(8192, 'x')},
        {"a trailer", "/once/a",
         [chunked](const std::string &request) { return chunked(request) + "0\r\nX-More: "; },
         std::string(8192, 'x')},
        {"an answer of no length", "/once/a",
         [](const std::string &request) { return plainHead(request, ""); },
         std::string(std::size_t{256} * 1024, 'x')},
        {"an event", "/stream/a",
         [](const std::string &request) {
             return streamHead(request) + "FFFFFFF\r\nid: 1\ndata: ";
         },
         std::string(std::size_t{64} * 1024, 'x')},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_endless)

// Guards against memory that grows and a caller that waits until the route's time is over.
BOOST_AUTO_TEST_CASE(bytes_without_end_are_cut_off_and_others_are_served)
{
    for (const auto &each : cases()) {
        asio::io_context loop{1};
        std::vector<std::shared_ptr<EndlessSender>> senders;
        ScriptedUpstream bad(loop, "bad", [&](auto &connection, const std::string &request) {
            connection.send(each.opening(request));
            senders.push_back(std::make_shared<EndlessSender>(loop, connection, each.part));
            senders.back()->start();
        });
        Gateway gateway(loop);
        gateway.applyRegistry(testConfiguration(), {bad.entry("pool")});
        auto caller = gateway.caller();
        const auto begun = std::chrono::steady_clock::now();
        caller.send(testing::requestText(each.path, "r1", "Connection: close\r\n"));
        BOOST_TEST(caller.seesClose(), each.name);
        BOOST_TEST((std::chrono::steady_clock::now() - begun < 2s), each.name);
        // The upstream may have run it, so the caller is not told that it has not.
        BOOST_TEST(!caller.received.starts_with("HTTP/1.1 503"), each.name);
        BOOST_TEST(caller.received.find("0\r\n\r\n") == std::string::npos, each.name);
        ScriptedUpstream good(loop, "good", [](auto &connection, const std::string &request) {
            connection.send(plainAnswer(request, "sound"));
        });
        gateway.applyRegistry(testConfiguration(2), {good.entry("pool")});
        auto other = gateway.caller();
        other.send(testing::requestText("/once/a", "r2"));
        BOOST_TEST(other.receives("sound"), each.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
