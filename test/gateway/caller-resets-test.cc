// Callers that reset their connection while the gateway writes to it.
#include "gateway-fixture.h"

#include "applehatch/gateway/channel.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// An event of this many bytes is not taken by the kernel at once.
constexpr std::size_t largeEvent = 150000;

/// A channel and the peer's end of its connection.
struct ChannelPair
{
    explicit ChannelPair(asio::io_context &loop)
        : peer(loop)
    {
        tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
        peer.connect(acceptor.local_endpoint());
        channel = std::make_shared<Channel>(acceptor.accept());
        Channel::Hooks hooks;
        hooks.data = [](std::string &bytes) { bytes.clear(); };
        hooks.ended = [this](boost::system::error_code) { ++ended; };
        channel->start(std::move(hooks), {});
    }

    auto resetPeer() -> void
    {
        peer.set_option(asio::socket_base::linger(true, 0));
        peer.close();
    }

    tcp::socket peer;
    std::shared_ptr<Channel> channel;
    int ended = 0;
};

/// Plays an answer that comes in `parts`; the caller resets its connection just before the gateway
/// reads the last one. Returns what is left open afterwards.
auto metricsAfterReset(const std::vector<std::string> &parts) -> std::string
{
    asio::io_context loop(1);
    std::shared_ptr<ScriptedConnection> running;
    ScriptedUpstream upstream(loop, "one",
                              [&](ScriptedConnection &connection, const std::string & /*request*/) {
                                  running = connection.shared_from_this();
                              });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/stream/a", "r1"));
    BOOST_TEST(runUntil(loop, [&] { return running != nullptr; }));
    for (const auto &part : parts) {
        const auto isLast = &part == &parts.back();
        running->send(part);
        if (isLast)
            caller.reset();
        runFor(loop, 100ms);
    }
    return scrape(loop, gateway);
}

const std::string streamStart = streamHead("\r\nRequest-Id: r1\r\n");

auto checkNothingIsLeft(const std::string &metrics) -> void
{
    BOOST_TEST(metrics.find("applehatch_requests_in_flight 0") != std::string::npos);
    BOOST_TEST(metrics.find("applehatch_caller_connections 0") != std::string::npos);
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_caller_resets)

// Guards against a write that runs the disconnect path inside the call.
BOOST_AUTO_TEST_CASE(a_write_that_fails_is_reported_after_the_call)
{
    asio::io_context loop(1);
    ChannelPair pair(loop);
    pair.resetPeer();
    pair.channel->write(std::string(largeEvent, 'x'));
    BOOST_TEST(pair.ended == 0);
    BOOST_TEST(!pair.channel->isOpen());
    BOOST_TEST(pair.channel->unsent() == 0U);
    pair.channel->write("more");
    pair.channel->setPaused(true);
    pair.channel->setPaused(false);
    runFor(loop, 100ms);
    BOOST_TEST(pair.ended == 1);
}

// Guards against a report of a failed write to an owner that has let go of the connection.
BOOST_AUTO_TEST_CASE(a_failed_write_is_not_reported_after_the_owner_closed)
{
    for (const auto close : {&Channel::close, &Channel::abort, &Channel::closeNow}) {
        asio::io_context loop(1);
        ChannelPair pair(loop);
        pair.resetPeer();
        pair.channel->write(std::string(largeEvent, 'x'));
        (pair.channel.get()->*close)();
        runFor(loop, 100ms);
        BOOST_TEST(pair.ended == 0);
    }
}

// Guards against a process that crashes as a large event is sent to a caller that has left.
BOOST_AUTO_TEST_CASE(a_caller_resets_as_a_large_event_comes)
{
    const auto event = chunkText("id: 1\ndata: " + std::string(largeEvent, 'x') + "\n\n");
    const auto half = event.size() - 100;
    checkNothingIsLeft(metricsAfterReset({streamStart, event.substr(0, half), event.substr(half)}));
}

// Guards against an exchange and a connection that keep each other in memory after a failed write.
BOOST_AUTO_TEST_CASE(a_caller_resets_as_the_head_comes)
{
    checkNothingIsLeft(metricsAfterReset({streamStart}));
}

// Guards against a stream that ends on a connection that is gone.
BOOST_AUTO_TEST_CASE(a_caller_resets_as_the_stream_ends)
{
    checkNothingIsLeft(metricsAfterReset({streamStart, eventChunk(1), std::string(lastChunk)}));
}

// Guards against a plain answer on a connection that is gone.
BOOST_AUTO_TEST_CASE(a_caller_resets_as_a_plain_answer_comes)
{
    checkNothingIsLeft(
        metricsAfterReset({plainAnswer("\r\nRequest-Id: r1\r\n", std::string(largeEvent, 'x'))}));
}

BOOST_AUTO_TEST_SUITE_END()
