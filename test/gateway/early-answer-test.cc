// Upstreams that answer before they have read their request, and answers without a valid status.
#include "gateway-fixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <list>
#include <memory>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;
namespace data = boost::unit_test::data;

/// Far more than sockets hold.
constexpr std::size_t uploadBytes = 4000000;

enum class End { InOrder, Reset };

struct EarlyAnswer
{
    std::string framing; ///< Header lines.
    std::string body;
    End end = End::InOrder;
};

/// Answers as soon as it has read the head of a request, reads nothing more, and ends the
/// connection while the rest is being sent.
class EarlyUpstream
{
public:
    EarlyUpstream(asio::io_context &loop, EarlyAnswer answer)
        : acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0})
        , timer_(loop)
        , answer_(std::move(answer))
    {
        accept();
    }

    [[nodiscard]] auto entry() const -> direct::Upstream
    {
        direct::Upstream upstream;
        upstream.instance = "early";
        upstream.id = core::stableHash(upstream.instance);
        upstream.service = "pool";
        upstream.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
        upstream.dataCenter = "here";
        upstream.slots = 8;
        return upstream;
    }

private:
    auto accept() -> void
    {
        acceptor_.async_accept([this](auto error, tcp::socket socket) {
            if (error)
                return;
            sockets_.push_back(std::move(socket));
            auto &taken = sockets_.back();
            asio::async_read_until(taken, asio::dynamic_buffer(head_), "\r\n\r\n",
                                   [this, &taken](auto failed, auto) {
                                       if (!failed)
                                           answer(taken);
                                   });
            accept();
        });
    }

    auto answer(tcp::socket &socket) -> void
    {
        const auto head = "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(head_, "Request-Id")
            + "\r\nRan-By: proof\r\n" + answer_.framing + "\r\n";
        asio::write(socket, asio::buffer(head + answer_.body));
        if (answer_.end == End::InOrder)
            socket.shutdown(tcp::socket::shutdown_send);
        timer_.expires_after(100ms);
        timer_.async_wait([&socket](auto) {
            boost::system::error_code error;
            socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
        });
    }

    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    EarlyAnswer answer_;
    std::list<tcp::socket> sockets_;
    std::string head_;
};

/// Returns what the caller of a long upload receives.
auto answerOfUpload(const std::string &path, const EarlyAnswer &answer) -> std::string
{
    asio::io_context loop{1};
    EarlyUpstream upstream(loop, answer);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry()});
    auto caller = gateway.caller();
    caller.sendLarge(
        testing::requestText(path, "r1", "Connection: close\r\n", std::string(uploadBytes, 'x')));
    BOOST_TEST(caller.seesClose());
    return caller.received;
}

auto isWhole(const std::string &answer) -> bool
{
    const auto isStream = answer.find("Transfer-Encoding: chunked") != std::string::npos;
    return answer.starts_with("HTTP/1.1 200") && (!isStream || answer.ends_with(lastChunk));
}

const std::string event = "id: 1\ndata: x\n\n";

struct Call
{
    std::string path;
    std::string body;
};

const std::vector<Call> calls = {{"/once/a", "part"}, {"/safe/a", "part"}, {"/stream/a", event}};

/// An upstream whose answer has this status, and the rest as it should be.
auto withStatus(const std::string &status) -> ScriptedConnection::Script
{
    return [status](auto &connection, const std::string &request) {
        connection.send("HTTP/1.1 " + status
                        + " Odd\r\nRequest-Id: " + headerOf(request, "Request-Id")
                        + "\r\nRan-By: proof\r\nContent-Length: 4\r\n\r\nbody");
    };
}

const std::vector<std::string> invalidStatuses = {"000", "001", "099"};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_early_answer)

// Guards against a part of an answer that looks whole since its upstream closed in order while it
// was still being sent the request.
BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_cut_if_its_request_was_not_read)
{
    for (const auto &[path, body] : calls) {
        for (const auto end : {End::InOrder, End::Reset}) {
            const auto answer = answerOfUpload(path, {"", body, end});
            BOOST_TEST(!isWhole(answer), path << ' ' << answer);
            // The upstream may have run it.
            BOOST_TEST(!answer.starts_with("HTTP/1.1 503"), path << ' ' << answer);
        }
    }
}

// Guards against the same where chunks or a length tell that a part is missing.
BOOST_AUTO_TEST_CASE(a_framed_answer_that_ends_early_is_cut)
{
    const auto framings = {std::pair<std::string, std::string>{"Content-Length: 400\r\n", ""},
                           {"Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"}};
    for (const auto &[framing, body] : framings) {
        for (const auto end : {End::InOrder, End::Reset}) {
            const auto answer = answerOfUpload("/once/a", {framing, body, end});
            BOOST_TEST(!isWhole(answer), answer);
        }
    }
}

// Guards against losing an answer that is complete, as that of an upstream that refuses a body.
BOOST_AUTO_TEST_CASE(a_complete_answer_is_passed_on_though_its_request_was_not_read)
{
    const auto answer = answerOfUpload("/once/a", {"Content-Length: 4\r\n", "part", End::InOrder});
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
    BOOST_TEST(answer.ends_with("part"), answer);
}

// Guards against a caller that waits for its whole time since bytes that are no answer were taken
// for an interim one.
BOOST_DATA_TEST_CASE(an_invalid_status_is_no_answer, data::make(invalidStatuses), status)
{
    asio::io_context loop{1};
    ScriptedUpstream upstream(loop, "odd", withStatus(status));
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/once/a", "r1", "Connection: close\r\n"));
    BOOST_TEST(runUntil(
        loop, [&] { return caller.ended; }, 2s));
    BOOST_TEST(caller.received.starts_with("HTTP/1.1 502"), caller.received);
}

// Guards against a request that may be repeated and is not, after such an answer.
BOOST_DATA_TEST_CASE(a_request_goes_elsewhere_after_an_invalid_status, data::make(invalidStatuses),
                     status)
{
    asio::io_context loop{1};
    ScriptedUpstream odd(loop, "odd", withStatus(status));
    ScriptedUpstream sound(loop, "sound", answersWith("sound"));
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {odd.entry("pool"), sound.entry("pool")});
    runFor(loop, 200ms); // A process that has just begun may not send anything twice.
    for (int i = 0; i < 20 && odd.requests().empty(); ++i) {
        auto caller = gateway.caller();
        // Different bodies, since a request that seems to crash upstreams is not sent again.
        caller.send(testing::requestText("/safe/a", "r" + std::to_string(i),
                                         "Connection: close\r\n", "body " + std::to_string(i)));
        BOOST_TEST(caller.seesClose());
        BOOST_TEST(caller.received.ends_with("sound"), caller.received);
    }
    BOOST_TEST(!odd.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()
