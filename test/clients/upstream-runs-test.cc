#include "applehatch/clients/upstream-runs.h"

#include "applehatch/experiment/socket.h"
#include "clients/one-run.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

namespace {

using namespace applehatch;
using namespace std::chrono_literals;

constexpr auto ip = "127.0.43.1";
constexpr auto silence = 5s;
constexpr auto lookPeriod = 5 * kj::MILLISECONDS;
constexpr auto patience = 20s;

const std::string streamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string eventChunk = "a\r\ndata: {}\n\n\r\n";
const std::string lastChunk = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

auto startRun(core::RunId run) -> core::StartRun
{
    core::StartRun start;
    start.run = run;
    start.request = "r-" + std::to_string(run);
    start.remaining = 60s;
    start.call.method = "POST";
    start.call.path = "/v1/chat/completions";
    start.call.body = std::make_shared<const std::string>("{}");
    start.call.stream = true;
    return start;
}

/// Runs the loop until `condition` holds; false when it does not hold in time.
template <typename Condition>
auto runUntil(kj::AsyncIoContext &io, Condition condition) -> bool
{
    const auto end = experiment::Clock::now() + patience;
    while (!condition() && experiment::Clock::now() < end)
        io.provider->getTimer().afterDelay(lookPeriod).wait(io.waitScope);
    return condition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_runs)

// Guards against a sidecar that cannot catch up because each pending token costs it a report.
BOOST_AUTO_TEST_CASE(events_that_lie_ready_are_reported_as_few)
{
    constexpr auto events = 1000;
    std::string answer = streamHead;
    for (auto number = 0; number < events; ++number)
        answer += eventChunk;
    const experiment::RawServer upstream(ip, [&](experiment::Socket &socket) {
        (void)socket.receive();
        (void)socket.sendAll(answer + lastChunk);
        (void)socket.receive();
    });
    std::size_t reports = 0;
    std::size_t bytes = 0;
    clients::CallHooks hooks;
    hooks.onHead = [](int, const core::Headers &, bool) {};
    hooks.onData = [&](const std::string &data) {
        ++reports;
        bytes += data.size();
    };
    const std::atomic<bool> never{false};
    BOOST_TEST(clients::runOne(upstream.address(), silence, startRun(1), hooks, never).whole);
    BOOST_TEST(bytes == events * 10U + 14U);
    BOOST_TEST(reports < events / 10U);
}

// Guards against a continuously readable answer keeping new streams from their first event.
BOOST_AUTO_TEST_CASE(an_answer_that_always_has_more_does_not_hold_up_the_others)
{
    std::string block;
    while (block.size() < 4000000)
        block += eventChunk;
    std::atomic<int> callers{0};
    std::atomic<bool> over{false};
    const experiment::RawServer upstream(ip, [&](experiment::Socket &socket) {
        (void)socket.receive();
        (void)socket.sendAll(streamHead + eventChunk);
        const auto isFirst = callers++ == 0;
        while (isFirst && !over && socket.sendAll(block)) { }
        (void)socket.receive();
    });
    auto io = kj::setupAsyncIo();
    std::unordered_map<core::RunId, std::size_t> bytes;
    clients::UpstreamRuns runs(io, upstream.address(), silence, [&](core::SidecarEvent event) {
        if (const auto *chunk = std::get_if<core::RunChunk>(&event))
            bytes[chunk->run] += chunk->data.size();
    });
    runs.start(startRun(1));
    BOOST_REQUIRE(runUntil(io, [&] { return bytes[1] > block.size() / 2; }));
    for (core::RunId run = 2; run <= 20; ++run)
        runs.start(startRun(run));
    const auto whileFirstRuns = bytes[1];
    BOOST_TEST(runUntil(io, [&] { return bytes.size() == 20U; }));
    BOOST_TEST_MESSAGE(bytes[1] - whileFirstRuns << " bytes of the first meanwhile");
    over = true;
}

// Guards against blaming an engine for silence while its sidecar was stalled and did not read.
BOOST_AUTO_TEST_CASE(an_own_hold_up_makes_no_run_silent)
{
    const experiment::RawServer upstream(ip, [&](experiment::Socket &socket) {
        (void)socket.receive();
        (void)socket.sendAll(streamHead + eventChunk);
        std::this_thread::sleep_for(900ms);
        (void)socket.sendAll(lastChunk);
        (void)socket.receive();
    });
    auto io = kj::setupAsyncIo();
    std::size_t bytes = 0;
    std::optional<core::SidecarEvent> outcome;
    clients::UpstreamRuns runs(io, upstream.address(), 500ms, [&](core::SidecarEvent event) {
        if (const auto *chunk = std::get_if<core::RunChunk>(&event))
            bytes += chunk->data.size();
        else if (!std::holds_alternative<core::RunHead>(event))
            outcome = std::move(event);
    });
    runs.start(startRun(1));
    BOOST_REQUIRE(runUntil(io, [&] { return bytes > 0; }));
    std::this_thread::sleep_for(1500ms);
    BOOST_REQUIRE(runUntil(io, [&] { return outcome.has_value(); }));
    BOOST_TEST(std::holds_alternative<core::RunEnd>(*outcome));
}

// Guards against a status that no message carries: its router drops the head of such an answer.
BOOST_DATA_TEST_CASE(an_invalid_status_is_no_answer,
                     boost::unit_test::data::make({"000", "099", "600", "999"}), status)
{
    const experiment::RawServer upstream(ip, [&](experiment::Socket &socket) {
        (void)socket.receive();
        (void)socket.sendAll(std::string("HTTP/1.1 ") + status
                             + " Odd\r\nContent-Length: 4\r\n\r\nbody");
        (void)socket.receive();
    });
    auto heads = 0;
    clients::CallHooks hooks;
    hooks.onHead = [&](int, const core::Headers &, bool) { ++heads; };
    hooks.onData = [](const std::string &) {};
    const std::atomic<bool> never{false};
    BOOST_TEST(!clients::runOne(upstream.address(), silence, startRun(1), hooks, never).whole);
    BOOST_TEST(heads == 0);
}

// Guards against a part of an answer that looks whole since its upstream closed in order while it
// was still being sent the request.
BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_cut_if_its_request_was_not_read)
{
    constexpr std::size_t uploadBytes = 4000000; // Far more than sockets hold.
    const experiment::RawServer upstream(ip, [&](experiment::Socket &socket) {
        (void)socket.receive();
        (void)socket.sendAll("HTTP/1.1 200 OK\r\n\r\npart");
    });
    clients::CallHooks hooks;
    hooks.onHead = [](int, const core::Headers &, bool) {};
    hooks.onData = [](const std::string &) {};
    const std::atomic<bool> never{false};
    auto start = startRun(1);
    start.call.stream = false;
    start.call.body = std::make_shared<const std::string>(uploadBytes, 'x');
    BOOST_TEST(!clients::runOne(upstream.address(), silence, start, hooks, never).whole);
}

BOOST_AUTO_TEST_SUITE_END()
