#include "gateway-fixture.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t streams = 300;
constexpr std::size_t openings = 20;
constexpr int events = 240; // 6 s each.
constexpr auto eventPeriod = 25ms;

/// Runs a loop until it is destroyed.
class LoopThread
{
public:
    explicit LoopThread(asio::io_context &loop)
        : thread_([&loop](const std::stop_token &stopped) {
            while (!stopped.stop_requested()) {
                loop.restart();
                loop.run_for(10ms);
            }
        })
    { }

private:
    std::jthread thread_;
};

/// An engine that streams an event each 25 ms to whoever asks.
class StreamingUpstream
{
public:
    explicit StreamingUpstream(asio::io_context &loop)
        : upstream_(loop, "one",
                    [this](UpstreamSide &side, const std::string &request) {
                        side.send(streamHead(request));
                        running_.push_back({side.shared_from_this(), Clock::now(), 0});
                    })
        , timer_(loop)
    {
        tick();
    }

    [[nodiscard]] auto entry() const -> direct::Upstream
    {
        auto entry = upstream_.entry("pool");
        entry.slots = 2 * streams;
        return entry;
    }

private:
    struct Running
    {
        std::shared_ptr<UpstreamSide> side;
        Clock::time_point begun;
        int sent = 0;
    };

    auto tick() -> void
    {
        for (auto &stream : running_)
            sendDue(stream);
        running_.remove_if([](const Running &stream) { return stream.sent == events; });
        timer_.expires_after(5ms);
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                tick();
        });
    }

    static auto sendDue(Running &stream) -> void
    {
        const auto due = 1 + static_cast<int>((Clock::now() - stream.begun) / eventPeriod);
        std::string text;
        while (stream.sent < std::min(due, events)) {
            ++stream.sent;
            text += eventChunk(stream.sent);
        }
        if (stream.sent == events)
            text += lastChunk;
        if (!text.empty())
            stream.side->send(std::move(text));
    }

    ScriptedUpstream upstream_;
    std::list<Running> running_;
    asio::steady_timer timer_;
};

auto streamConfiguration() -> std::shared_ptr<direct::Configuration>
{
    auto configuration = std::make_shared<direct::Configuration>();
    configuration->version = 1;
    direct::Route route;
    route.name = "stream";
    route.host = "api.example";
    route.prefix = "/stream/";
    route.kind = direct::RouteKind::Stream;
    route.targets = {{"pool", 1}};
    route.timeout = 60s;
    route.objective = 1s;
    route.eventPause = 5s;
    route.attempts = 1;
    configuration->add(std::move(route));
    configuration->add({"acme", std::nullopt}, {"key-1"});
    return configuration;
}

auto isUnderWay(const std::unique_ptr<Caller> &caller) -> bool
{
    return !caller->received.ends_with(lastChunk) && !caller->ended;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_streams)

// Guards against new streams that wait for their first event behind running ones, and against a
// stop that cuts running ones.
BOOST_AUTO_TEST_CASE(three_hundred_streams_hold_up_no_new_one_and_are_not_cut_by_a_stop)
{
    asio::io_context upstreamLoop(1);
    asio::io_context gatewayLoop(1);
    asio::io_context loop(1);
    StreamingUpstream upstream(upstreamLoop);
    Gateway gateway(gatewayLoop);
    gateway.tell(streamConfiguration(), {upstream.entry()});
    const LoopThread runsUpstream(upstreamLoop);
    const LoopThread runsGateway(gatewayLoop);
    std::vector<std::unique_ptr<Caller>> callers;
    const auto open = [&] {
        callers.push_back(std::make_unique<Caller>(loop, gateway.settings.callers));
        const auto id = "r" + std::to_string(callers.size());
        callers.back()->send(testing::requestText("/stream/a", id));
    };
    for (std::size_t number = 0; number < streams; ++number)
        open();
    for (const auto &caller : callers)
        BOOST_TEST(caller->gets("piece-1\n"));
    std::vector<milliseconds> times;
    for (std::size_t number = 0; number < openings; ++number) {
        const auto begun = Clock::now();
        open();
        BOOST_TEST(callers.back()->gets("piece-1\n"));
        times.push_back(std::chrono::duration_cast<milliseconds>(Clock::now() - begun));
    }
    std::sort(times.begin(), times.end());
    asio::post(gatewayLoop, [&] { gateway.host.stop(); });
    const auto underWay = std::count_if(callers.begin(), callers.end(), isUnderWay);
    BOOST_TEST_MESSAGE("first event after " << times[openings / 2].count() << " ms, at most "
                                            << times.back().count() << " ms; " << underWay
                                            << " under way at the stop");
    BOOST_TEST(times.back().count() < 1000);
    BOOST_TEST(underWay > static_cast<std::ptrdiff_t>(streams / 2));
    for (const auto &caller : callers) {
        BOOST_TEST(caller->gets("piece-" + std::to_string(events) + '\n'));
        BOOST_TEST(runUntil(loop, [&] { return caller->received.ends_with(lastChunk); }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
