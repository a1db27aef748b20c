// What callers see of the end of a gateway's process, while they go on using it.
#include "process-fleet.h"
#include "returning-callers.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <random>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// From SIGTERM until the platform kills the process.
constexpr auto grace = 8s;
/// What was sent longer before its end may not go without an answer.
constexpr auto lossSlack = 200ms;
/// Until the answers of a kind are known.
constexpr auto learningTime = 3s;

/// An engine whose answers take as long as it is told.
class TimedEngine
{
public:
    TimedEngine(asio::io_context &loop, std::function<std::chrono::milliseconds()> timeOf)
        : upstream(loop, "timed",
                   [this, &loop](auto &connection, const auto &request) {
                       answer(loop, connection, request);
                   })
        , timeOf_(std::move(timeOf))
    { }

    [[nodiscard]] auto entry() const -> std::string
    {
        return R"({"service":"pool","addr":"127.0.0.1:)"
            + std::to_string(upstream.entry("pool").address.port)
            + R"(","zone":"here","slots":200,"state":"ready"})";
    }

    ScriptedUpstream upstream;

private:
    auto answer(asio::io_context &loop, ScriptedConnection &connection, const std::string &request)
        -> void
    {
        const auto isStream = request.starts_with("POST /stream/");
        const auto common = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
            + "\r\nX-Response-Seal: seal\r\n";
        if (isStream)
            connection.send(common
                            + "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                            + eventChunk(1));
        const auto last = isStream ? eventChunk(2) + std::string(lastChunk)
                                   : common + "Content-Length: 4\r\n\r\ndone";
        const auto timer = std::make_shared<asio::steady_timer>(loop, timeOf_());
        timer->async_wait([timer, last, self = connection.shared_from_this()](auto) {
            if (!self->ended)
                self->send(last);
        });
    }

    std::function<std::chrono::milliseconds()> timeOf_;
};

/// Gateways of which the first is stopped while callers go on using it.
class StopFleet : public ProcessFleet
{
public:
    StopFleet(std::size_t size, std::function<std::chrono::milliseconds()> timeOf)
        : ProcessFleet(size)
        , engine_(loop, std::move(timeOf))
    {
        store.put("servers/timed", engine_.entry());
        store.put("op/config",
                  R"({"version":2,"routes":[)" + route("stream", "streaming", 12000) + ','
                      + route("once", "unsafe", 4000) + R"(],"services":[{"name":"pool"}]})");
        awaitLog("event=configuration version=2", "");
    }
    ~StopFleet()
    {
        for (const auto &caller : callers_)
            caller->stop();
    }
    StopFleet(const StopFleet &) = delete;
    auto operator=(const StopFleet &) -> StopFleet & = delete;

    /// Lets callers come to the first gateway, one request of `path` after another.
    auto addCallers(std::size_t count, const std::string &path,
                    const std::function<std::chrono::milliseconds()> &pause) -> void
    {
        for (std::size_t i = 0; i < count; ++i) {
            callers_.push_back(std::make_shared<ReturningCaller>(
                loop,
                ReturningCaller::Plan{stopping().callers,
                                      [path](std::size_t number) { return text(path, number); },
                                      pause},
                tries));
            callers_.back()->start();
        }
    }

    /// Stops the first gateway once its answers are known, and waits until its process is gone.
    /// It stands still from `heldUpAt` on for `heldUpFor`.
    auto stopFirst(std::chrono::milliseconds heldUpAt = 0ms,
                   std::chrono::milliseconds heldUpFor = 0ms) -> void
    {
        runFor(loop, learningTime);
        stoppedAt = Clock::now();
        stopping().signal(SIGTERM);
        if (heldUpFor > 0ms) {
            runFor(loop, heldUpAt);
            stopping().pause();
            runFor(loop, heldUpFor);
            stopping().resume();
        }
        BOOST_TEST(runUntil(loop, [this] { return !stopping().isRunning(); }));
        goneAt = Clock::now();
        runFor(loop, 100ms);
    }

    auto stopping() -> GatewayProcess & { return *gateways.front(); }

    /// Counts the requests sent later than `after` SIGTERM for which this holds.
    template <typename Condition>
    [[nodiscard]] auto count(std::chrono::milliseconds after, Condition condition) const
        -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(tries.begin(), tries.end(), [&](const Try &each) {
                return each.isConnected && each.sentAt > stoppedAt + after && condition(each);
            }));
    }

    /// Requests that a gateway had for longer than the slack and that have no whole answer.
    [[nodiscard]] auto lost() const -> std::size_t
    {
        return count(-learningTime, [](const Try &each) {
            return !each.isWhole
                && (!each.answer.empty() || each.endedAt - each.sentAt > lossSlack);
        });
    }

    std::vector<Try> tries;
    Clock::time_point stoppedAt;
    Clock::time_point goneAt;

private:
    static auto route(const std::string &name, const std::string &type, int timeoutMs)
        -> std::string
    {
        return R"({"name":")" + name + R"(","host":"api.example","path-prefix":"/)" + name
            + R"(/","type":")" + type + R"(","timeout-ms":)" + std::to_string(timeoutMs)
            + R"(,"slo-ms":2000,"itl-target-ms":4000,"service":"pool","attempts":1})";
    }

    static auto text(const std::string &path, std::size_t number) -> std::string
    {
        return "POST " + path + " HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: try-"
            + std::to_string(number)
            + "\r\nX-Model: m\r\nX-Token-Usage: 100,20\r\nContent-Length: 4\r\n\r\nbody";
    }

    TimedEngine engine_;
    std::vector<std::shared_ptr<ReturningCaller>> callers_;
};

auto always(std::chrono::milliseconds time) -> std::function<std::chrono::milliseconds()>
{
    return [time] { return time; };
}

auto between(std::chrono::milliseconds least, std::chrono::milliseconds most)
    -> std::function<std::chrono::milliseconds()>
{
    return [random = std::make_shared<std::mt19937>(20261206U),
            spread = std::uniform_int_distribution<std::int64_t>(least.count(),
                                                                 most.count())]() mutable {
        return std::chrono::milliseconds(spread(*random));
    };
}

/// Whether a stream came in part: its caller has to begin anew.
auto isCut(const Try &each) -> bool
{
    return !each.isWhole && !each.answer.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(stops)

// Guards against streams of few tokens that are taken late, since few tokens look quick, and cut at
// the end of the process.
BOOST_AUTO_TEST_CASE(no_stream_of_few_tokens_that_takes_long_is_taken_late_and_cut)
{
    StopFleet fleet(1, between(200ms, 3800ms));
    fleet.addCallers(60, "/stream/x", always(20ms));
    fleet.stopFirst();
    BOOST_TEST(fleet.count(0ms, isCut) == 0U);
    BOOST_TEST(fleet.lost() == 0U);
}

// Guards against streams that are taken by how quick they were before they turned slow.
BOOST_AUTO_TEST_CASE(no_stream_is_cut_that_turns_slower_during_the_stop)
{
    std::function<bool()> isSlow = [] { return false; };
    StopFleet fleet(1, [&] { return isSlow() ? 1600ms : 400ms; });
    isSlow = [&] {
        return fleet.stoppedAt + 2s < Clock::now() && fleet.stoppedAt != Clock::time_point();
    };
    fleet.addCallers(60, "/stream/x", between(10ms, 400ms));
    fleet.stopFirst();
    BOOST_TEST(fleet.count(0ms, isCut) == 0U);
    BOOST_TEST(fleet.lost() == 0U);
    // What fits is taken all the same: nobody else is ready.
    BOOST_TEST(fleet.count(2600ms, [](const Try &each) { return each.hasStatus("200"); }) > 40U);
}

// Guards against requests that lie unread in the sockets of a process that ends as it comes to
// itself.
BOOST_AUTO_TEST_CASE(what_lies_unread_as_a_held_up_process_may_end_is_answered)
{
    for (const std::string path : {"/once/x", "/stream/x"}) {
        StopFleet fleet(2, always(20ms));
        fleet.addCallers(60, path, always(100ms));
        fleet.stopFirst(3200ms, 300ms);
        BOOST_TEST_CONTEXT(path)
        BOOST_TEST(fleet.lost() == 0U);
    }
}

// Guards against the same as the time of a process runs out.
BOOST_AUTO_TEST_CASE(what_lies_unread_as_time_runs_out_is_answered)
{
    StopFleet fleet(1, always(20ms));
    fleet.addCallers(60, "/once/x", between(1ms, 40ms));
    fleet.stopFirst(7500ms, 300ms);
    BOOST_TEST(fleet.lost() == 0U);
    const auto &gateway = fleet.stopping();
    BOOST_TEST((gateway.timeOf("stopped") - gateway.timeOf("stopping") < grace));
#ifndef __SANITIZE_ADDRESS__ // Which looks for leaks for a while after the program's end.
    BOOST_TEST((fleet.goneAt - fleet.stoppedAt < grace));
#endif
}

// Guards against a process that waits for its time to run out though nobody needs it.
BOOST_AUTO_TEST_CASE(a_gateway_ends_soon_when_another_is_ready)
{
    StopFleet fleet(2, always(20ms));
    fleet.addCallers(1, "/once/x", always(300ms));
    fleet.stopFirst();
    BOOST_TEST((fleet.goneAt - fleet.stoppedAt < 5s));
    BOOST_TEST(fleet.lost() == 0U);
}

// Guards against a gateway that a reload or a stop ends by the signal, since it listens before it
// can take signals.
BOOST_AUTO_TEST_CASE(a_signal_that_comes_as_the_gateway_begins_to_listen_does_not_end_it)
{
    ProcessFleet fleet(1);
    auto &gateway = *fleet.gateways.front();
    constexpr int starts = 30;
    for (const int signal : {SIGHUP, SIGTERM}) {
        for (int i = 0; i < starts; ++i) {
            gateway.kill();
            gateway.start();
            const tcp::endpoint ready(asio::ip::make_address(gateway.callers.ip), 8220);
            boost::system::error_code error;
            do {
                tcp::socket probe(fleet.loop);
                probe.connect(ready, error);
            } while (error);
            gateway.signal(signal);
            runFor(fleet.loop, 30ms);
            const auto ended = gateway.exitStatus();
            BOOST_TEST((!ended || !ended->signalled), i);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
