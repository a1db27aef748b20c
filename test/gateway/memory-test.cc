// Messages that together are larger than the memory for them.
#include "endless-sender.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
/// A quarter each is for bodies of requests and for buffered answers.
constexpr std::size_t maxMemory = 16 * mebibyte;
constexpr std::size_t maxKept = maxMemory / 4;
/// One read of each of some 20 connections may come before the first waits.
constexpr std::size_t tolerance = std::size_t{20} * 64 * kibibyte;

/// A gateway with little memory, and the most that it has kept.
class SmallGateway : public Gateway
{
public:
    explicit SmallGateway(asio::io_context &loop)
        : Gateway(loop)
        , loop_(loop)
    {
        settings.maxMemory = maxMemory;
        host.reload(settings);
    }

    [[nodiscard]] auto kept() const -> std::size_t
    {
        const std::string name = "\napplehatch_kept_message_bytes ";
        const auto text = scrape(loop_, *this);
        const auto at = text.find(name);
        BOOST_REQUIRE(at != std::string::npos);
        return static_cast<std::size_t>(std::stod(text.substr(at + name.size())));
    }

    /// Runs until `condition` holds; returns the most bytes that were kept meanwhile.
    template <typename Condition>
    auto mostKeptUntil(Condition condition) -> std::size_t
    {
        std::size_t most = 0;
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            most = std::max(most, kept());
        BOOST_TEST(condition());
        return most;
    }

    /// Asks so many times at once; each caller leaves after its answer.
    [[nodiscard]] auto askTimes(std::size_t times, const std::string &path) -> std::list<Caller>
    {
        std::list<Caller> callers;
        for (std::size_t number = 0; number < times; ++number) {
            callers.emplace_back(loop_, settings.callers);
            callers.back().send(
                testing::requestText(path, "r" + std::to_string(number), "Connection: close\r\n"));
        }
        return callers;
    }

private:
    asio::io_context &loop_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_memory)

BOOST_AUTO_TEST_CASE(shares_that_move_or_end_are_counted_once)
{
    ByteBudget budget(mebibyte);
    {
        ByteShare first(budget);
        first.add(mebibyte / 2);
        ByteShare second = std::move(first);
        second.add(mebibyte / 4);
        BOOST_TEST(budget.kept() == mebibyte * 3 / 4);
        BOOST_TEST(second.mayAdd(mebibyte / 4));
        BOOST_TEST(!second.mayAdd(mebibyte / 2));
        ByteShare small(budget);
        BOOST_TEST(small.mayAdd(ByteBudget::smallBytes));
        small.add(kibibyte);
        BOOST_TEST(second.isLargest());
        BOOST_TEST(!small.isLargest());
        small = std::move(second);
        BOOST_TEST(budget.kept() == mebibyte * 3 / 4);
    }
    BOOST_TEST(budget.kept() == 0U);
}

// Guards against an upstream whose answers without end take the process over its memory, and
// against small answers that suffer from that.
BOOST_AUTO_TEST_CASE(answers_without_end_stay_within_the_memory_for_them)
{
    constexpr std::size_t askers = 16;
    asio::io_context loop{1};
    std::vector<std::shared_ptr<EndlessSender>> senders;
    ScriptedUpstream bad(loop, "bad", [&](auto &connection, const std::string &request) {
        connection.send("HTTP/1.1 500 Oh\r\nRequest-Id: " + headerOf(request, "Request-Id")
                        + "\r\n\r\n");
        senders.push_back(
            std::make_shared<EndlessSender>(loop, connection, std::string(64 * kibibyte, '#')));
        senders.back()->start();
    });
    SmallGateway gateway(loop);
    auto entry = bad.entry("pool");
    entry.slots = askers;
    gateway.applyRegistry(testConfiguration(), {entry});
    auto callers = gateway.askTimes(askers, "/once/a");
    BOOST_TEST(runUntil(loop, [&] { return senders.size() == askers; }));
    ScriptedUpstream sound(loop, "sound", answersWith("small"));
    gateway.applyRegistry(testConfiguration(2), {sound.entry("pool")});
    std::size_t served = 0;
    const auto most = gateway.mostKeptUntil([&] {
        Caller small(loop, gateway.settings.callers);
        small.send(testing::requestText("/once/b", "small", "Connection: close\r\n"));
        served += small.receives("small") && small.received.starts_with("HTTP/1.1 200") ? 1 : 0;
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto &caller) { return caller.ended; });
    });
    BOOST_TEST(most > maxKept / 2);
    BOOST_TEST(most < maxKept + tolerance);
    BOOST_TEST(served > 0U);
    for (const auto &caller : callers)
        BOOST_TEST(caller.received.starts_with("HTTP/1.1 502"), caller.received);
    BOOST_TEST(gateway.kept() == 0U);
}

// Guards against answers that wait until their time is over for the room of a larger one that
// stands still.
BOOST_AUTO_TEST_CASE(an_answer_that_stands_still_gives_way_as_the_largest)
{
    constexpr std::size_t askers = 3;
    constexpr std::size_t bodyBytes = 1200 * kibibyte;
    asio::io_context loop{1};
    const auto headOf = [](const std::string &request) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
            + "\r\nRan-By: proof\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    };
    ScriptedUpstream still(loop, "still", [&](auto &connection, const std::string &request) {
        connection.send(headOf(request) + std::string(bodyBytes - 1, 'x'));
    });
    SmallGateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {still.entry("pool")});
    auto callers = gateway.askTimes(askers, "/once/a");
    gateway.mostKeptUntil([&] { return gateway.kept() >= askers * (bodyBytes - 1); });
    ScriptedUpstream sound(loop, "sound", [&](auto &connection, const std::string &request) {
        connection.send(headOf(request) + std::string(bodyBytes - 1, 'y'));
        connection.send("z");
    });
    gateway.applyRegistry(testConfiguration(2), {sound.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/once/b", "sound", "Connection: close\r\n"));
    BOOST_TEST(caller.seesClose());
    BOOST_TEST(caller.received.starts_with("HTTP/1.1 200"), caller.received.substr(0, 100));
    BOOST_TEST(
        std::count_if(callers.begin(), callers.end(), [](const auto &each) { return each.ended; })
        == 1);
}

// Guards against events that never end and are counted nowhere, so that the process is ended for
// its memory, and against streams of small events that suffer from that.
BOOST_AUTO_TEST_CASE(events_without_end_stay_within_the_memory_for_answers)
{
    constexpr std::size_t askers = 16;
    asio::io_context loop{1};
    ScriptedUpstream bad(loop, "bad", [&](auto &connection, const std::string &request) {
        connection.send(streamHead(request) + "FFFFFFF\r\nid: 1\ndata: ");
        // Less than an event may have, so that no stream ends for its own length alone.
        connection.send(std::string(Exchange::maxEventBytes - 64 * kibibyte, 'x'));
    });
    SmallGateway gateway(loop);
    auto entry = bad.entry("pool");
    entry.slots = askers;
    gateway.applyRegistry(testConfiguration(), {entry});
    auto callers = gateway.askTimes(askers, "/stream/a");
    constexpr auto mostKept = maxKept / Exchange::maxEventBytes + 1;
    const auto ended = [&] {
        return std::count_if(callers.begin(), callers.end(),
                             [](const auto &caller) { return caller.ended; });
    };
    const auto most = gateway.mostKeptUntil(
        [&] { return static_cast<std::size_t>(ended()) >= askers - mostKept; });
    BOOST_TEST(most > maxKept / 2);
    BOOST_TEST(most < maxKept + tolerance);
    ScriptedUpstream sound(loop, "sound", [](auto &connection, const std::string &request) {
        connection.send(streamHead(request) + eventChunk(1) + std::string(lastChunk));
    });
    gateway.applyRegistry(testConfiguration(2), {sound.entry("pool")});
    auto small = gateway.caller();
    small.send(testing::requestText("/stream/b", "small", "Connection: close\r\n"));
    BOOST_TEST(small.seesClose());
    BOOST_TEST(small.received.ends_with(lastChunk), small.received);
}

// Guards against large requests that take the process over its memory when they come together.
BOOST_AUTO_TEST_CASE(large_requests_wait_for_room_and_all_are_answered)
{
    asio::io_context loop{1};
    ScriptedUpstream upstream(loop, "one", answersWith("taken"));
    SmallGateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    std::list<Caller> callers;
    for (int number = 0; number < 12; ++number) {
        callers.emplace_back(loop, gateway.settings.callers);
        callers.back().sendLarge(testing::requestText("/once/a", "r" + std::to_string(number),
                                                      "Connection: close\r\n",
                                                      std::string(mebibyte, 'b')));
    }
    const auto most = gateway.mostKeptUntil([&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto &caller) { return caller.ended; });
    });
    BOOST_TEST(most < maxKept + tolerance);
    for (const auto &caller : callers)
        BOOST_TEST(caller.received.find("taken") != std::string::npos, caller.received);
    BOOST_TEST(upstream.requests().size() == callers.size());
    BOOST_TEST(gateway.kept() == 0U);
}

// Guards against callers that announce large bodies, send nothing of them, and so keep others out.
BOOST_AUTO_TEST_CASE(requests_that_stand_still_give_way_to_large_and_small_ones_that_go_on)
{
    asio::io_context loop{1};
    ScriptedUpstream upstream(loop, "one", answersWith("taken"));
    SmallGateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    std::list<Caller> idle;
    for (std::size_t bytes = 0; bytes + 2 * mebibyte <= maxKept; bytes += 2 * mebibyte) {
        idle.emplace_back(loop, gateway.settings.callers);
        idle.back().send("POST /once/a HTTP/1.1\r\nHost: api.example\r\nContent-Length: "
                         + std::to_string(mebibyte) + "\r\n\r\n");
    }
    BOOST_TEST(runUntil(loop, [&] { return gateway.kept() == maxKept; }));
    auto large = gateway.caller();
    large.sendLarge(testing::requestText("/once/a", "large", {}, std::string(mebibyte, 'b')));
    auto small = gateway.caller();
    small.send(testing::requestText("/once/a", "small"));
    BOOST_TEST(small.receives("taken"));
    BOOST_TEST(runUntil(
        loop, [&] { return large.received.find("taken") != std::string::npos; }, 5000ms));
    BOOST_TEST(upstream.requests().size() == 2U);
    // Only as many as was needed, the first that came first.
    BOOST_TEST(idle.front().received.starts_with("HTTP/1.1 503"));
    BOOST_TEST(idle.back().received.empty());
    BOOST_TEST(runUntil(loop, [&] {
        return scrape(loop, gateway).find("event=\"request-gave-way\"") != std::string::npos;
    }));
}

// Guards against a request that waits for room until its caller has given up.
BOOST_AUTO_TEST_CASE(a_request_that_finds_no_room_is_refused_within_seconds)
{
    asio::io_context loop{1};
    ScriptedUpstream upstream(loop, "one", [](auto &connection, const std::string &request) {
        if (headerOf(request, "Request-Id") == "small")
            connection.send(plainAnswer(request, "taken"));
    });
    SmallGateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    // These are whole, and may be sent once more; the upstream takes its time.
    std::list<Caller> served;
    for (std::size_t bytes = 0; bytes + 2 * mebibyte <= maxKept; bytes += 2 * mebibyte) {
        served.emplace_back(loop, gateway.settings.callers);
        served.back().sendLarge(testing::requestText("/safe/a", "r" + std::to_string(bytes), {},
                                                     std::string(mebibyte, 'b')));
    }
    BOOST_TEST(runUntil(loop, [&] { return upstream.requests().size() == served.size(); }));
    auto large = gateway.caller();
    large.sendLarge(testing::requestText("/once/a", "large", {}, std::string(mebibyte, 'b')));
    auto small = gateway.caller();
    small.send(testing::requestText("/once/a", "small"));
    BOOST_TEST(small.receives("taken"));
    BOOST_TEST(runUntil(
        loop, [&] { return large.received.starts_with("HTTP/1.1 503"); }, 5000ms));
    BOOST_TEST(upstream.requests().size() == served.size() + 1);
}

// Guards against a request that waits for room that there will never be.
BOOST_AUTO_TEST_CASE(a_request_larger_than_the_memory_for_all_is_refused_at_once)
{
    asio::io_context loop{1};
    ScriptedUpstream upstream(loop, "one", answersWith("taken"));
    SmallGateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    const auto begun = std::chrono::steady_clock::now();
    caller.send("POST /once/a HTTP/1.1\r\nHost: api.example\r\nContent-Length: "
                + std::to_string(maxKept) + "\r\n\r\n");
    BOOST_TEST(caller.receives("HTTP/1.1 413"));
    BOOST_TEST((std::chrono::steady_clock::now() - begun < 500ms));
    BOOST_TEST(gateway.kept() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
