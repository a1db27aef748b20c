// Many streams at once through one gateway: new ones beside them, a stop, a hold-up.
#include "gateway/gateway-fixture.h"
#include "support/log-setup.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <list>
#include <memory>
#include <optional>
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
/// What 300 streams take of the processor in one second.
constexpr auto maxOpeningTime = 500ms;
constexpr auto eventInterval = 25ms;
constexpr auto minStreamTime = 6s;
/// Number of the event that ends a stream.
constexpr int lastEvent = 1000000;

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

/// An engine that answers each request with a stream of one event every 25 ms. Streams last at
/// least 6 s, and until they may end.
class StreamingUpstream
{
public:
    StreamingUpstream(asio::io_context &loop, std::string name)
        : upstream_(loop, std::move(name),
                    [this](ScriptedConnection &connection, const std::string &request) {
                        connection.send(streamHead(request));
                        running_.push_back({connection.shared_from_this(), Clock::now(), 0});
                    })
        , timer_(loop)
    {
        tick();
    }

    /// Lets streams end once they have lasted long enough. Runs on the upstream's loop.
    auto letStreamsEnd() -> void { mayEnd_ = true; }

    [[nodiscard]] auto entry() const -> direct::Upstream
    {
        auto entry = upstream_.entry("pool");
        entry.slots = 2 * streams;
        return entry;
    }

private:
    struct Running
    {
        std::shared_ptr<ScriptedConnection> connection;
        Clock::time_point begun;
        int sent = 0;
    };

    auto tick() -> void
    {
        for (auto &stream : running_)
            sendDue(stream);
        running_.remove_if([](const Running &stream) { return stream.sent == lastEvent; });
        timer_.expires_after(5ms);
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                tick();
        });
    }

    auto sendDue(Running &stream) -> void
    {
        const auto lasted = Clock::now() - stream.begun;
        std::string text;
        while (stream.sent <= lasted / eventInterval)
            text += eventChunk(++stream.sent);
        if (mayEnd_ && lasted >= minStreamTime) {
            stream.sent = lastEvent;
            text += eventChunk(lastEvent) + std::string(lastChunk);
        }
        if (!text.empty())
            stream.connection->send(std::move(text));
    }

    ScriptedUpstream upstream_;
    std::list<Running> running_;
    asio::steady_timer timer_;
    bool mayEnd_ = false;
};

auto streamConfiguration(Duration eventPause) -> std::shared_ptr<direct::Configuration>
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
    route.maxEventGap = eventPause;
    route.attempts = 2;
    route.resumable = true;
    configuration->add(std::move(route));
    configuration->add({"acme", std::nullopt}, {"key-1"});
    return configuration;
}

/// Returns how long the threads of this process ran, together. While streams run it advances with
/// their events, and other processes that are busy do not advance it.
auto processorTime() -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(std::clock()) / CLOCKS_PER_SEC));
}

auto isInProgress(const std::unique_ptr<Caller> &caller) -> bool
{
    return !caller->received.ends_with(lastChunk) && !caller->ended;
}

/// One gateway in front of two upstreams. The gateway and the upstreams run on a thread each, the
/// callers on the test's thread.
class StreamWorld
{
public:
    /// `eventPause` is the longest time that the route expects between two events.
    explicit StreamWorld(Duration eventPause)
        : first_(upstreamLoop_, "one")
        , second_(upstreamLoop_, "other")
        , gateway(gatewayLoop_)
    {
        gateway.applyRegistry(streamConfiguration(eventPause), {first_.entry(), second_.entry()});
        upstreamThread_.emplace(upstreamLoop_);
        gatewayThread_.emplace(gatewayLoop_);
    }

    /// Opens a stream and returns the processor time that the process took until its first event.
    auto open() -> milliseconds
    {
        const auto begun = processorTime();
        request();
        BOOST_TEST(callers.back()->receives("piece-1\n"));
        return std::chrono::duration_cast<milliseconds>(processorTime() - begun);
    }

    /// Opens `count` streams and waits for the first event of each. So few come at once that none
    /// waits for long, however slow a turn of the loop is: a gateway closes connections unread that
    /// wait behind many others, and these callers do not come again.
    auto openStreams(std::size_t count) -> void
    {
        constexpr std::size_t atOnce = 5;
        while (callers.size() < count) {
            for (std::size_t number = 0; number < atOnce; ++number)
                request();
            for (auto caller = callers.end() - atOnce; caller != callers.end(); ++caller)
                BOOST_TEST((*caller)->receives("piece-1\n"));
        }
        BOOST_TEST(metrics().find("event=\"closed-unread\"") == std::string::npos);
    }

    auto onGateway(std::function<void()> task) -> void
    {
        asio::post(gatewayLoop_, std::move(task));
    }

    auto letStreamsEnd() -> void
    {
        asio::post(upstreamLoop_, [this] {
            first_.letStreamsEnd();
            second_.letStreamsEnd();
        });
    }

    /// Returns the metrics as an operator scrapes them.
    auto metrics() -> std::string { return scrape(loop_, gateway); }

    [[nodiscard]] auto inProgress() const -> std::ptrdiff_t
    {
        return std::count_if(callers.begin(), callers.end(), isInProgress);
    }

    /// Lets the streams end, reads each to its end and checks that it is complete.
    auto expectComplete() -> void
    {
        letStreamsEnd();
        std::size_t cut = 0;
        for (const auto &caller : callers) {
            runUntil(loop_, [&] { return !isInProgress(caller); });
            const auto last = "piece-" + std::to_string(lastEvent) + '\n';
            const auto whole = caller->received.find(last) != std::string::npos
                && caller->received.ends_with(lastChunk);
            cut += whole ? 0 : 1;
        }
        BOOST_TEST(cut == 0U);
    }

private:
    auto request() -> void
    {
        callers.push_back(std::make_unique<Caller>(loop_, gateway.settings.callers));
        const auto id = "r" + std::to_string(callers.size());
        callers.back()->send(testing::requestText("/stream/a", id));
    }

    asio::io_context upstreamLoop_{1};
    asio::io_context gatewayLoop_{1};
    asio::io_context loop_{1};
    StreamingUpstream first_;
    StreamingUpstream second_;

public:
    Gateway gateway;
    std::vector<std::unique_ptr<Caller>> callers;

private:
    std::optional<LoopThread> upstreamThread_;
    std::optional<LoopThread> gatewayThread_;
};

using applehatch::test_support::LogSetup;

} // namespace

BOOST_GLOBAL_FIXTURE(LogSetup);

BOOST_AUTO_TEST_SUITE(gateway_streams)

// Guards against new streams whose first event waits behind running streams, and against a stop
// that cuts running streams.
BOOST_AUTO_TEST_CASE(three_hundred_streams_delay_no_new_stream_and_survive_a_stop)
{
    StreamWorld world(5s);
    world.openStreams(streams);
    std::vector<milliseconds> times;
    for (std::size_t number = 0; number < openings; ++number)
        times.push_back(world.open());
    std::sort(times.begin(), times.end());
    world.onGateway([&] { world.gateway.host.stop(); });
    const auto inProgress = world.inProgress();
    BOOST_TEST_MESSAGE("first event after " << times[openings / 2].count()
                                            << " ms of processor time, at most "
                                            << times.back().count() << " ms; " << inProgress
                                            << " under way at the stop");
    BOOST_TEST(times.back().count() < maxOpeningTime.count());
    BOOST_TEST(inProgress == static_cast<std::ptrdiff_t>(streams + openings));
    world.expectComplete();
}

// Guards against a gateway that mistakes its own stall for silence of its upstreams.
BOOST_AUTO_TEST_CASE(a_gateway_that_was_held_up_blames_no_upstream)
{
    for (const auto stall : {1s, 4s}) {
        StreamWorld world(100ms);
        world.openStreams(streams);
        world.letStreamsEnd();
        world.onGateway([stall] { std::this_thread::sleep_for(stall); });
        world.expectComplete();
        BOOST_TEST(world.metrics().find("event=\"upstream-silent\"") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
