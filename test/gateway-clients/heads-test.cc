// Clients whose heads take memory, or that send much behind a request that is being answered.
#include "crowd.h"

#include <memory>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr std::size_t headBytes = 16000; // The limit is 16,384.

auto manyFields() -> std::string
{
    std::string fields;
    while (fields.size() < headBytes)
        fields += "a:b\r\n";
    return fields;
}

/// An engine that answers requests with the id `crowd` only when asked to, all others at once.
auto answerOthers(ScriptedConnection &connection, const std::string &request) -> void
{
    if (headerOf(request, "X-Attempt-Id") != "crowd")
        answerPlainly(connection, request);
}

} // namespace

BOOST_AUTO_TEST_SUITE(heads)

// Guards against heads that take many times what was sent.
BOOST_AUTO_TEST_CASE(heads_of_thousands_of_fields)
{
    CrowdedFleet fleet;
    fleet.add(400,
              {sharedText("POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: crowd\r\n"
                          "Content-Length: 2\r\n"
                          + manyFields() + "\r\nb")});
    fleet.playAndCheck();
}

// Guards against the same while such requests are being served.
BOOST_AUTO_TEST_CASE(heads_of_thousands_of_fields_in_flight)
{
    CrowdedFleet fleet({}, answerOthers);
    fleet.add(400,
              {sharedText("POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: crowd\r\n"
                          "Content-Length: 2\r\n"
                          + manyFields() + "\r\nbb")});
    fleet.playAndCheck();
}

// Guards against heads that do not end.
BOOST_AUTO_TEST_CASE(heads_that_stop_short)
{
    CrowdedFleet fleet;
    fleet.add(3500,
              {sharedText("POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-More: "
                          + std::string(headBytes, 'x'))});
    fleet.playAndCheck();
}

// Guards against what waits behind a request that is still being answered.
BOOST_AUTO_TEST_CASE(much_behind_a_slow_request)
{
    CrowdedFleet fleet({}, answerOthers);
    fleet.add(1200, {sharedText(lengthHead(4) + "body"), sharedText(std::string(80000, 'x')), 1});
    fleet.playAndCheck();
}

BOOST_AUTO_TEST_SUITE_END()
