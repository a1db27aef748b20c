// Answers of the HTTP server.
#include "applehatch/process/http-server.h"

#include "applehatch/experiment/socket.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace applehatch;

/// Returns all that the server sends for one request, until it closes the connection.
auto answerTo(const std::string &method, process::HttpServer::Handler handler) -> std::string
{
    process::HttpServer server;
    process::HttpServerOptions options;
    options.address = {"127.0.0.1", 0};
    core::Address bound;
    const auto error = server.start(options, std::move(handler), bound);
    BOOST_TEST(!error);
    auto socket = experiment::Socket::connect(bound);
    BOOST_TEST(socket.sendAll(method + " /x HTTP/1.1\r\nHost: x\r\n\r\n"));
    std::string answer;
    for (auto part = socket.receive(); part && !part->empty(); part = socket.receive())
        answer += *part;
    return answer;
}

auto bodyOf(const std::string &answer) -> std::string
{
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

auto respondWith(int status) -> process::HttpServer::Handler
{
    return [status](process::HttpExchange &exchange) {
        static_cast<void>(exchange.respond(status, {}, "text"));
    };
}

auto streamWith(int status) -> process::HttpServer::Handler
{
    return [status](process::HttpExchange &exchange) {
        static_cast<void>(exchange.beginStream(status, {}));
        static_cast<void>(exchange.streamPart("text"));
        static_cast<void>(exchange.endStream());
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_server)

// Guards against a body where HTTP allows none, which would be read as the next answer.
BOOST_AUTO_TEST_CASE(what_allows_no_body_gets_none)
{
    for (const auto &handler : {respondWith(503), streamWith(200)})
        BOOST_TEST(bodyOf(answerTo("HEAD", handler)).empty());
    for (const auto status : {204, 304}) {
        for (const auto &handler : {respondWith(status), streamWith(status)}) {
            const auto answer = answerTo("GET", handler);
            BOOST_TEST(bodyOf(answer).empty());
            BOOST_TEST(answer.find("Transfer-Encoding") == std::string::npos);
        }
    }
    BOOST_TEST(bodyOf(answerTo("GET", respondWith(503))) == "text");
    BOOST_TEST(bodyOf(answerTo("GET", streamWith(200))) == "4\r\ntext\r\n0\r\n\r\n");
}

BOOST_AUTO_TEST_SUITE_END()
