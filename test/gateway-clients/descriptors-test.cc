// More clients than a process has descriptors for, and a process that stops among clients that do
// not end what they began.
#include "crowd.h"

#include <csignal>
#include <string>

namespace {

using namespace applehatch::gateway::testing;

/// Of these, 300 are for sockets.
constexpr StatedLimits fewDescriptors{64, 500};
constexpr std::size_t clients = 450;

} // namespace

BOOST_AUTO_TEST_SUITE(descriptors)

// Guards against clients that say nothing and keep all others out.
BOOST_AUTO_TEST_CASE(clients_that_say_nothing)
{
    CrowdedFleet fleet(fewDescriptors);
    fleet.add(clients, {sharedText("")});
    fleet.playAndCheck();
}

// Guards against clients that keep their connections by a byte now and then.
BOOST_AUTO_TEST_CASE(clients_that_send_a_byte_now_and_then)
{
    CrowdedFleet fleet(fewDescriptors);
    Sending sending{sharedText(lengthHead(1000)), sharedText("b"), 100};
    sending.pause = 500ms;
    fleet.add(clients, sending);
    fleet.playAndCheck();
}

// Guards against the same at the addresses for probes, peers and metrics.
BOOST_AUTO_TEST_CASE(clients_that_say_nothing_at_other_addresses)
{
    CrowdedFleet fleet(fewDescriptors);
    for (const std::uint16_t port : {8220, 7340, 9464})
        fleet.addAt({fleet.gateway().callers.ip, port}, clients / 3, {sharedText("")});
    fleet.playAndCheck();
}

// Guards against clients that take up connections with answers that they do not read.
BOOST_AUTO_TEST_CASE(clients_that_do_not_read_their_answers)
{
    CrowdedFleet fleet(fewDescriptors, [](auto &connection, const std::string &request) {
        if (headerOf(request, "X-Attempt-Id") != "crowd")
            return answerPlainly(connection, request);
        // More than the kernel holds for a connection.
        constexpr std::size_t bytes = 8000000;
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: crowd\r\nX-Response-Seal: seal\r\n"
                        "Content-Length: "
                        + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'a'));
    });
    Sending sending{sharedText(lengthHead(4) + "body")};
    sending.readsAnswer = false;
    fleet.add(20, sending);
    fleet.add(clients, {sharedText("")});
    fleet.playAndCheck();
}

// Guards against clients that keep a process that stops from its end.
BOOST_AUTO_TEST_CASE(a_process_stops_by_itself_among_bodies_that_do_not_end)
{
    CrowdedFleet fleet;
    fleet.add(40, {sharedText(lengthHead(4000000)), sharedText(std::string(3999999, 'b')), 1});
    fleet.add(40, {sharedText(chunkedHead() + "1\r\nb\r\n0\r\nX-More: x")});
    fleet.play();
    fleet.gateway().signal(SIGTERM);
    BOOST_TEST(runUntil(fleet.loop, [&] { return !fleet.gateway().isRunning(); }));
    BOOST_TEST((fleet.gateway().exitStatus() == applehatch::experiment::ExitStatus{false, 0}));
}

BOOST_AUTO_TEST_SUITE_END()
