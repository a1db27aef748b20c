#include "applehatch/experiment/relay.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace std::chrono_literals;
using experiment::milliseconds;
using experiment::Relay;
using experiment::Socket;

constexpr auto ip = "127.0.42.1";

/// Sends back whatever comes.
auto echo(Socket &socket) -> void
{
    while (true) {
        const auto data = socket.receive();
        if (!data || data->empty() || !socket.sendAll(*data)) {
            return;
        }
    }
}

auto echoes(Socket &socket, milliseconds limit = 2000ms) -> bool
{
    return socket.sendAll("ping") && socket.receive(limit) == "ping";
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(each_fault_shows_on_connections_as_it_would_on_the_network)
{
    const experiment::RawServer server(ip, echo);
    Relay relay(ip, server.address());
    auto first = Socket::connect(relay.address());
    BOOST_TEST(echoes(first));

    relay.silence();
    BOOST_TEST(first.sendAll("ping"));
    BOOST_TEST(!first.receive(100ms).has_value());
    auto second = Socket::connect(relay.address());
    BOOST_TEST(echoes(second));

    relay.setDelay(60ms);
    const auto begin = experiment::Clock::now();
    BOOST_TEST(echoes(second));
    BOOST_TEST((experiment::Clock::now() - begin >= 120ms));
    relay.setDelay(0ms);

    relay.setPartitioned(true);
    BOOST_TEST(second.sendAll("ping"));
    BOOST_TEST(!second.receive(100ms).has_value());
    auto third = Socket::connect(relay.address());
    BOOST_TEST((third.receive(1000ms) == ""));
    relay.setPartitioned(false);
    BOOST_TEST((second.receive(1000ms) == "ping"));

    relay.cut();
    BOOST_TEST((second.receive(1000ms) == ""));
    auto fourth = Socket::connect(relay.address());
    BOOST_TEST(echoes(fourth));
    BOOST_TEST(relay.open() == 1U);
}

// Both ends close while bytes are still on their way; none may be lost, or a test would blame a
// whole answer on the program under test.
BOOST_AUTO_TEST_CASE(everything_sent_before_a_close_arrives)
{
    const std::string big(3000000, 'x');
    const experiment::RawServer server(ip, [&big](Socket &socket) { (void)socket.sendAll(big); });
    const Relay relay(ip, server.address());
    auto reader = Socket::connect(relay.address());
    std::size_t total = 0;
    while (true) {
        const auto data = reader.receive();
        if (!data || data->empty()) {
            break;
        }
        total += data->size();
    }
    BOOST_TEST(total == big.size());
}

BOOST_AUTO_TEST_SUITE_END()
