// Clients that do not read what they asked for.
#include "crowd.h"

#include <string>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// An engine that answers the crowd with a long plain answer, all others as usual.
auto answerAtLength(ScriptedConnection &connection, const std::string &request) -> void
{
    constexpr std::size_t longAnswer = 100000;
    if (headerOf(request, "X-Attempt-Id") != "crowd")
        return answerPlainly(connection, request);
    connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: crowd\r\nX-Response-Seal: seal\r\n"
                    "Content-Length: "
                    + std::to_string(longAnswer) + "\r\n\r\n" + std::string(longAnswer, 'a'));
}

/// An engine that answers the crowd with a long stream, all others as usual.
auto streamAtLength(ScriptedConnection &connection, const std::string &request) -> void
{
    constexpr int events = 400;
    constexpr std::size_t eventBytes = 1000;
    if (headerOf(request, "X-Attempt-Id") != "crowd")
        return answerPlainly(connection, request);
    std::string text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: crowd\r\nX-Response-Seal: seal\r\n"
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int id = 1; id <= events; ++id)
        text += chunkText("id: " + std::to_string(id) + "\ndata: " + std::string(eventBytes, 's')
                          + "\n\n");
    connection.send(text + "0\r\n\r\n");
}

auto asking(const std::string &path) -> Sending
{
    Sending sending;
    sending.opening = sharedText("POST " + path
                                 + " HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: crowd\r\n"
                                   "Content-Length: 4\r\n\r\nbody");
    sending.readsAnswer = false;
    return sending;
}

} // namespace

BOOST_AUTO_TEST_SUITE(readers)

// Guards against plain answers that nobody takes.
BOOST_AUTO_TEST_CASE(plain_answers_that_are_not_read)
{
    CrowdedFleet fleet({}, answerAtLength);
    fleet.add(1200, asking("/once/x"));
    fleet.playAndCheck();
}

// Guards against clients that go on asking and take none of their answers.
BOOST_AUTO_TEST_CASE(request_after_request_whose_answers_are_not_read)
{
    CrowdedFleet fleet({}, answerAtLength);
    auto sending = asking("/once/x");
    sending.part = sending.opening;
    sending.parts = 150;
    fleet.add(20, sending);
    fleet.playAndCheck();
}

// Guards against streams that nobody takes.
BOOST_AUTO_TEST_CASE(streams_that_are_not_read)
{
    CrowdedFleet fleet({}, streamAtLength);
    fleet.add(600, asking("/stream/x"));
    fleet.playAndCheck();
}

BOOST_AUTO_TEST_SUITE_END()
