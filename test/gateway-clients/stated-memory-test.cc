// Crowds of the size that the users' hosts meet, before a gateway with the least memory of theirs.
#include "crowd.h"

namespace {

using namespace applehatch::gateway::testing;

/// What a host of the large deployment states.
constexpr StatedLimits smallHost{160, 4100};

/// An engine that answers requests with the id `crowd` never, all others at once.
auto answerOthers(ScriptedConnection &connection, const std::string &request) -> void
{
    if (headerOf(request, "X-Attempt-Id") != "crowd")
        answerPlainly(connection, request);
}

auto manyFields() -> std::string
{
    constexpr std::size_t bytes = 16000; // The limit is 16,384.
    std::string fields;
    while (fields.size() < bytes)
        fields += "a:b\r\n";
    return fields;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stated_memory)

// Guards against bodies of usual size that together take more memory than a small host has.
BOOST_AUTO_TEST_CASE(bodies_of_usual_size_that_stop_short)
{
    constexpr std::size_t bytes = 65000;
    CrowdedFleet fleet(smallHost);
    fleet.add(3600, {sharedText(lengthHead(bytes)), sharedText(std::string(bytes - 1, 'b')), 1});
    fleet.playAndCheck();
}

// Guards against the same by heads of thousands of fields, half of them in flight.
BOOST_AUTO_TEST_CASE(heads_of_thousands_of_fields)
{
    CrowdedFleet fleet(smallHost, answerOthers);
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: crowd\r\n"
                             "Content-Length: 2\r\n"
        + manyFields() + "\r\n";
    fleet.add(750, {sharedText(head + "b")});
    fleet.add(750, {sharedText(head + "bb")});
    fleet.playAndCheck();
}

// Guards against the same by heads without an end.
BOOST_AUTO_TEST_CASE(heads_that_stop_short)
{
    CrowdedFleet fleet(smallHost);
    fleet.add(3600,
              {sharedText("POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-More: "
                          + std::string(16000, 'x'))});
    fleet.playAndCheck();
}

// Guards against the same by large bodies of unknown length.
BOOST_AUTO_TEST_CASE(large_chunked_bodies_that_stop_short)
{
    const std::string chunk = "1e8480\r\n" + std::string(2000000, 'b') + "\r\n";
    CrowdedFleet fleet(smallHost);
    fleet.add(300,
              {sharedText(chunkedHead()), sharedText(chunk), 1,
               sharedText(chunk.substr(0, chunk.size() - 3))});
    fleet.playAndCheck();
}

// Guards against the same by what is sent behind slow requests.
BOOST_AUTO_TEST_CASE(much_behind_a_slow_request)
{
    CrowdedFleet fleet(smallHost, answerOthers);
    fleet.add(3000, {sharedText(lengthHead(4) + "body"), sharedText(std::string(80000, 'x')), 1});
    fleet.playAndCheck();
}

BOOST_AUTO_TEST_SUITE_END()
