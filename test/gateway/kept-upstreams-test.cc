// What a kept connection to an upstream carries from one request to the next.
#include "gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <string>
#include <utility>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// A caller with little room for what it has not read.
class SlowCaller
{
public:
    SlowCaller(asio::io_context &loop, const applehatch::core::Address &to)
        : loop_(loop)
        , socket_(loop)
    {
        constexpr int roomBytes = 65536;
        socket_.open(tcp::v4());
        socket_.set_option(tcp::socket::receive_buffer_size(roomBytes));
        socket_.connect({asio::ip::make_address(to.ip), to.port});
        socket_.non_blocking(true);
    }

    auto send(const std::string &text) -> void { asio::write(socket_, asio::buffer(text)); }

    /// Reads a little at a time until the last chunk has come.
    auto readsToLastChunk() -> bool
    {
        return runUntil(loop_, [this] {
            boost::system::error_code error;
            const auto count = socket_.read_some(asio::buffer(buffer_), error);
            received_.append(buffer_.data(), count);
            return received_.ends_with(lastChunk);
        });
    }

private:
    asio::io_context &loop_;
    tcp::socket socket_;
    std::array<char, 65536> buffer_{};
    std::string received_;
};

/// A route for streams that take long, beside the usual ones.
auto configurationOfLargeStreams() -> std::shared_ptr<applehatch::direct::Configuration>
{
    auto configuration = testConfiguration();
    applehatch::direct::Route route;
    route.name = "large";
    route.host = "api.example";
    route.prefix = "/large/";
    route.kind = applehatch::direct::RouteKind::Stream;
    route.targets = {{"pool", 1}};
    route.timeout = 60s;
    route.objective = 1s;
    route.maxEventGap = 60s;
    route.attempts = 1;
    configuration->add(std::move(route));
    return configuration;
}

/// Streams large events, all at once, and gives plain answers.
auto answerLargely(ScriptedConnection &connection, const std::string &request) -> void
{
    constexpr int events = 12;
    constexpr std::size_t eventBytes = 900000;
    if (!request.starts_with("POST /large/"))
        return connection.send(plainAnswer(request, "the next answer"));
    auto text = streamHead(request);
    for (int id = 1; id <= events; ++id)
        text += chunkText("id: " + std::to_string(id) + "\ndata: " + std::string(eventBytes, 'x')
                          + "\n\n");
    connection.send(text + std::string(lastChunk));
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_kept_upstreams)

// Guards against a request that gets no answer, since its connection is not read any more: it was
// paused for the caller of the answer before.
BOOST_AUTO_TEST_CASE(a_connection_whose_last_answer_was_read_slowly_brings_the_next_one)
{
    asio::io_context loop{1};
    ScriptedUpstream upstream(loop, "one", answerLargely);
    Gateway gateway(loop);
    gateway.applyRegistry(configurationOfLargeStreams(), {upstream.entry("pool")});
    SlowCaller slow(loop, gateway.settings.callers);
    slow.send(testing::requestText("/large/a", "r1"));
    BOOST_TEST(slow.readsToLastChunk());
    auto next = gateway.caller();
    next.send(testing::requestText("/once/a", "r2"));
    BOOST_TEST(next.receives("the next answer"));
    BOOST_TEST(upstream.connections.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
