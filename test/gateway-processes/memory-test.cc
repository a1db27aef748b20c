// The memory of a gateway's process while much comes at once.
#include "plain-fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// Begins a stream with an event that does not end, of nearly the length that an event may have.
auto sendUnfinishedEvent(ScriptedConnection &connection, const std::string &request) -> void
{
    constexpr std::size_t eventBytes = 1000000;
    connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
                    + "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\nFFFFFFF\r\nid: 1\ndata: "
                    + std::string(eventBytes, 'x'));
}

} // namespace

BOOST_AUTO_TEST_SUITE(memory)

// Guards against a process that is killed for its memory, with all that runs in it, when large
// requests come together.
BOOST_AUTO_TEST_CASE(forty_requests_of_four_megabytes_at_once_stay_within_the_memory_of_a_process)
{
    constexpr std::size_t most = 260 * mebibyte;
    constexpr std::size_t bodyBytes = 4000000;
    PlainFleet fleet;
    for (int number = 0; number < 40; ++number)
        fleet.addCaller(bodyBytes, "Connection: close\r\n");
    BOOST_TEST(runUntil(fleet.loop, [&] {
        return std::all_of(fleet.callers.begin(), fleet.callers.end(),
                           [](const auto &caller) { return caller.ended; });
    }));
    std::size_t served = 0;
    for (const auto &caller : fleet.callers) {
        const auto isServed = caller.received.starts_with("HTTP/1.1 200");
        BOOST_TEST((isServed || caller.received.starts_with("HTTP/1.1 503")), caller.received);
        served += isServed ? 1 : 0;
    }
    BOOST_TEST(served > 0U);
    const auto peak = memoryOf(fleet.gateway().id(), "VmHWM");
    BOOST_TEST_MESSAGE(served << " of 40 served, at most " << peak / mebibyte << " MiB");
    BOOST_TEST((!isFreedAtOnce || peak < most));
}

// Guards against a process that is killed for its memory, with all that runs in it, when many
// upstreams send events that do not end.
BOOST_AUTO_TEST_CASE(unfinished_events_of_many_streams_stay_within_the_memory_of_a_process)
{
    constexpr std::size_t streams = 150;
    constexpr std::size_t most = 64 * mebibyte;
    PlainFleet fleet(R"("memory-mb":64)", sendUnfinishedEvent);
    for (std::size_t number = 0; number < streams; ++number) {
        auto &caller = fleet.callers.emplace_back(fleet.loop, fleet.gateway().callers);
        caller.send("POST /stream/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: s"
                    + std::to_string(number) + "\r\nContent-Length: 0\r\n\r\n");
    }
    // A quarter of the memory is for answers.
    constexpr auto mostKept = most / 4 / 1000000 + 1;
    BOOST_TEST(runUntil(
        fleet.loop,
        [&] {
            const auto ended = std::count_if(fleet.callers.begin(), fleet.callers.end(),
                                             [](const auto &caller) { return caller.ended; });
            return static_cast<std::size_t>(ended) >= streams - mostKept;
        },
        std::chrono::seconds(10)));
    BOOST_TEST(fleet.gateway().logs("event=answer-given-up"));
    const auto peak = memoryOf(fleet.gateway().id(), "VmHWM");
    BOOST_TEST_MESSAGE("at most " << peak / mebibyte << " MiB");
    BOOST_TEST((!isFreedAtOnce || peak < most));
}

// Guards against kept connections that go on holding what they have carried.
BOOST_AUTO_TEST_CASE(a_thousand_idle_connections_hold_no_body)
{
    constexpr std::size_t connections = 1000;
    constexpr std::size_t bodyBytes = 200000;
    constexpr std::size_t mostEach = 16384;
    PlainFleet fleet;
    const auto isAnswered = [](const auto &caller) { return caller.received.ends_with("done"); };
    BOOST_TEST(runUntil(fleet.loop,
                        [&, &first = fleet.addCaller(bodyBytes)] { return isAnswered(first); }));
    const auto before = memoryOf(fleet.gateway().id(), "VmRSS");
    while (fleet.callers.size() < connections) {
        auto &caller = fleet.addCaller(bodyBytes);
        BOOST_REQUIRE(runUntil(fleet.loop, [&] { return isAnswered(caller); }));
    }
    const auto after = memoryOf(fleet.gateway().id(), "VmRSS");
    BOOST_TEST_MESSAGE("from " << before / 1024 << " to " << after / 1024 << " KiB");
    BOOST_TEST((!isFreedAtOnce || after < before + connections * mostEach));
}

BOOST_AUTO_TEST_SUITE_END()
