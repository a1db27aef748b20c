// What a gateway takes and ends in order after it was asked to stop.
#include "gateway-fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// A script that answers each request after the time that `delayOf` names.
auto answersAfter(asio::io_context &loop, std::function<std::chrono::milliseconds()> delayOf)
    -> ScriptedConnection::Script
{
    return [&loop, delayOf = std::move(delayOf)](ScriptedConnection &connection,
                                                 const std::string &request) {
        const auto timer = std::make_shared<asio::steady_timer>(loop, delayOf());
        timer->async_wait([timer, request, self = connection.shared_from_this()](auto) {
            self->send(plainAnswer(request, "served"));
        });
    };
}

/// Callers that come one after another, each with one request.
class CallerStream
{
public:
    CallerStream(asio::io_context &loop, Gateway &gateway, std::string path)
        : loop_(loop)
        , gateway_(gateway)
        , path_(std::move(path))
    { }

    auto add() -> void
    {
        try {
            callers_.emplace_back(loop_, gateway_.settings.callers);
        } catch (const boost::system::system_error &error) {
            BOOST_TEST((error.code() == asio::error::connection_refused));
            if (!turnedAwaySince_)
                turnedAwaySince_ = std::chrono::steady_clock::now();
            return;
        }
        callers_.back().send(testing::requestText(path_, "r" + std::to_string(callers_.size()),
                                                  "Connection: close\r\n"));
    }

    /// Adds callers until the process has ended. Those that come in its last moment, when it no
    /// longer listens, can connect to another one at once.
    auto addUntilEnd(std::chrono::milliseconds interval) -> void
    {
        constexpr auto lastMoment = 350ms;
        addUntil([this] { return loop_.stopped(); }, interval);
        const auto now = std::chrono::steady_clock::now();
        BOOST_TEST((now - turnedAwaySince_.value_or(now) < lastMoment));
    }

    /// Adds callers at this interval for as long as `condition` does not hold.
    template <typename Condition>
    auto addUntil(Condition condition, std::chrono::milliseconds interval) -> void
    {
        while (!runUntil(loop_, condition, interval))
            add();
    }

    [[nodiscard]] auto size() const -> std::size_t { return callers_.size(); }
    [[nodiscard]] auto all() const -> const std::list<Caller> & { return callers_; }

    /// Number of callers, from the given one on, whose answer begins with this text.
    [[nodiscard]] auto answered(const std::string &text, std::size_t from = 0) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            std::next(callers_.begin(), static_cast<std::ptrdiff_t>(from)), callers_.end(),
            [&](const Caller &caller) { return caller.received.starts_with(text); }));
    }

    /// Whether all answers with 503 say "not run", name a time and are true.
    [[nodiscard]] auto refusalsAreTrue(const ScriptedUpstream &upstream) const -> bool;

private:
    asio::io_context &loop_;
    Gateway &gateway_;
    std::string path_;
    std::list<Caller> callers_; // Those that could connect.
    std::optional<std::chrono::steady_clock::time_point> turnedAwaySince_;
};

/// A caller that reads an answer evenly over some time.
class SlowReader
{
public:
    SlowReader(asio::io_context &loop, std::size_t bytes, std::chrono::milliseconds time)
        : socket_(loop)
        , bytes_(bytes)
        , time_(time)
        , buffer_(std::size_t{64} * 1024, '\0')
    { }

    auto send(const applehatch::core::Address &to, const std::string &text) -> void
    {
        socket_.open(tcp::v4());
        socket_.set_option(asio::socket_base::receive_buffer_size(65536));
        socket_.connect({asio::ip::make_address(to.ip), to.port});
        socket_.non_blocking(true);
        asio::write(socket_, asio::buffer(text));
    }

    auto readWhatIsDue() -> void
    {
        const auto since = std::chrono::steady_clock::now() - begunAt_;
        while (!hasEnded() && since > received_ * time_ / bytes_) {
            const auto count = socket_.read_some(asio::buffer(buffer_), error_);
            received_ += count;
            if (count == 0)
                return;
        }
    }

    [[nodiscard]] auto received() const -> std::size_t { return received_; }
    [[nodiscard]] auto hasEnded() const -> bool
    {
        return error_ && error_ != asio::error::would_block;
    }
    [[nodiscard]] auto hasEndedInOrder() const -> bool { return error_ == asio::error::eof; }

private:
    tcp::socket socket_;
    std::size_t bytes_;
    std::chrono::milliseconds time_;
    std::string buffer_;
    std::size_t received_ = 0;
    boost::system::error_code error_;
    std::chrono::steady_clock::time_point begunAt_ = std::chrono::steady_clock::now();
};

/// Whether the upstream got the request with this header line.
auto hasReached(const ScriptedUpstream &upstream, const std::string &line) -> bool
{
    const auto requests = upstream.requests();
    return std::any_of(requests.begin(), requests.end(), [&](const std::string &request) {
        return request.find(line) != std::string::npos;
    });
}

auto CallerStream::refusalsAreTrue(const ScriptedUpstream &upstream) const -> bool
{
    std::size_t number = 0;
    return std::all_of(callers_.begin(), callers_.end(), [&](const Caller &caller) {
        const auto id = "Request-Id: r" + std::to_string(++number) + "\r\n";
        return !caller.received.starts_with("HTTP/1.1 503")
            || (!hasReached(upstream, id) && !headerOf(caller.received, "Retry-After").empty()
                && caller.received.find("\"run\":\"not-run\"") != std::string::npos);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_stop)

// The process is asked to stop while a stream runs. The stream completes, idle connections are
// closed, the load balancer sees 503 and sends no more callers, and then the loop ends by itself.
BOOST_AUTO_TEST_CASE(a_stop_cuts_nothing)
{
    asio::io_context loop(1);
    std::vector<std::shared_ptr<ScriptedConnection>> running;
    ScriptedUpstream upstream(loop, "one",
                              [&](ScriptedConnection &connection, const std::string &request) {
                                  connection.send(streamHead(request) + eventChunk(1));
                                  running.push_back(connection.shared_from_this());
                              });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    auto idle = gateway.caller();
    caller.send(testing::requestText("/stream/a", "r1"));
    BOOST_TEST(caller.receives("piece-1"));
    gateway.host.stop();
    BOOST_TEST(readinessStatus(loop, gateway) == "503");
    BOOST_TEST(idle.seesClose());
    BOOST_TEST(!caller.ended);
    running.at(0)->send(eventChunk(2) + std::string(lastChunk));
    BOOST_TEST(caller.receives("piece-2"));
    BOOST_TEST(caller.seesClose());
    BOOST_TEST(caller.received.ends_with(lastChunk));
    BOOST_TEST(runUntil(loop, [&] { return loop.stopped(); }));
}

// Guards against a close that its caller learns of only once the next request is on its way: the
// answer that runs as the stop begins was announced as one that keeps the connection.
BOOST_AUTO_TEST_CASE(a_connection_is_not_closed_behind_an_answer_that_did_not_say_so)
{
    asio::io_context loop(1);
    std::shared_ptr<ScriptedConnection> running;
    ScriptedUpstream upstream(loop, "one",
                              [&](ScriptedConnection &connection, const std::string &request) {
                                  if (request.starts_with("POST /once/"))
                                      return connection.send(plainAnswer(request, "served"));
                                  connection.send(streamHead(request) + eventChunk(1));
                                  running = connection.shared_from_this();
                              });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/stream/a", "r1"));
    BOOST_TEST(caller.receives("piece-1"));
    gateway.host.stop();
    running->send(std::string(lastChunk));
    BOOST_TEST(caller.receives(std::string(lastChunk)));
    caller.send(testing::requestText("/once/a", "r2"));
    BOOST_TEST(caller.receives("served"));
    BOOST_TEST(caller.received.find("Connection: close") != std::string::npos);
    BOOST_TEST(caller.seesClose());
}

// All routers are stopped in turn, faster than they restart. The load balancer finds none ready and
// sends callers to routers that are stopping. A short stream is served there; one that would be cut
// when the process ends is refused at once, and its caller is told that it did not run.
BOOST_AUTO_TEST_CASE(the_last_router_takes_what_it_can_finish)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(
        loop, "one", [](ScriptedConnection &connection, const std::string &request) {
            connection.send(streamHead(request) + eventChunk(1) + std::string(lastChunk));
        });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    gateway.host.stop();
    runFor(loop, 2600ms);
    auto shortStream = gateway.caller();
    shortStream.send(testing::requestText("/stream/a", "r1", "Token-Counts: 20\r\n"));
    BOOST_TEST(shortStream.receives("piece-1"));
    auto longStream = gateway.caller();
    longStream.send(testing::requestText("/stream/a", "r2", "Token-Counts: 2000\r\n"));
    BOOST_TEST(longStream.receives("HTTP/1.1 503"));
    BOOST_TEST(!headerOf(longStream.received, "Retry-After").empty());
    BOOST_TEST(upstream.requests().size() == 1);
}

// Guards against a plain request that a stopping process takes and breaks off when it ends, since
// callers keep coming until then.
BOOST_AUTO_TEST_CASE(a_process_that_ends_breaks_off_no_plain_request)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(
        loop, "one", [&loop](ScriptedConnection &connection, const std::string &request) {
            const auto timer = std::make_shared<asio::steady_timer>(loop, 300ms);
            timer->async_wait([timer, request, self = connection.shared_from_this()](auto) {
                self->send(plainAnswer(request, "served"));
            });
        });
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    gateway.setStopTimeout(4500ms);
    gateway.host.stop();
    CallerStream callers(loop, gateway, "/once/a");
    callers.addUntilEnd(20ms);
    std::size_t number = 0;
    std::size_t answered = 0;
    for (const auto &caller : callers.all()) {
        const auto id = "Request-Id: r" + std::to_string(++number) + "\r\n";
        answered += caller.received.starts_with("HTTP/1.1 200") ? 1 : 0;
        BOOST_TEST((!caller.received.empty() || !hasReached(upstream, id)), id);
    }
    BOOST_TEST(answered > callers.size() / 2);
}

// Guards against requests that a stopping process sends on although their service takes longer than
// the process has left.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_end_in_time_is_refused_at_once)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", answersAfter(loop, [] { return 1500ms; }));
    Gateway gateway(loop);
    auto entry = upstream.entry("pool");
    entry.slots = 200;
    gateway.applyRegistry(testConfiguration(), {entry});
    gateway.setStopTimeout(5000ms);
    CallerStream callers(loop, gateway, "/once/a");
    const auto begin = std::chrono::steady_clock::now();
    callers.addUntil([&] { return std::chrono::steady_clock::now() - begin > 2500ms; }, 50ms);
    const auto before = callers.size();
    gateway.host.stop();
    callers.addUntilEnd(50ms);
    const auto served = callers.answered("HTTP/1.1 200");
    const auto refused = callers.answered("HTTP/1.1 503");
    BOOST_TEST(served + refused == callers.size());
    BOOST_TEST(callers.answered("HTTP/1.1 200", before) > 20U);
    BOOST_TEST(callers.refusalsAreTrue(upstream));
}

// Guards against refusing, long before the process ends, what would have been answered easily.
BOOST_AUTO_TEST_CASE(a_quick_request_is_taken_until_just_before_the_end)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", answersAfter(loop, [] { return 20ms; }));
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    gateway.setStopTimeout(3000ms);
    CallerStream callers(loop, gateway, "/once/a");
    const auto begin = std::chrono::steady_clock::now();
    callers.addUntil([&] { return std::chrono::steady_clock::now() - begin > 500ms; }, 20ms);
    gateway.host.stop();
    const auto stop = std::chrono::steady_clock::now();
    callers.addUntil([&] { return std::chrono::steady_clock::now() - stop > 1900ms; }, 20ms);
    BOOST_TEST(callers.answered("HTTP/1.1 503") == 0U);
    callers.addUntilEnd(20ms);
    BOOST_TEST(callers.answered("HTTP/1.1 200") + callers.answered("HTTP/1.1 503")
               == callers.size());
    BOOST_TEST(callers.refusalsAreTrue(upstream));
}

// Guards against streams that a process takes as its stop begins and cuts at its end, although all
// their callers could be served elsewhere.
BOOST_AUTO_TEST_CASE(a_stream_that_would_be_cut_is_refused_as_the_stop_begins)
{
    for (const auto length : {20ms, 1500ms}) {
        asio::io_context loop(1);
        ScriptedUpstream upstream(
            loop, "one", [&](ScriptedConnection &connection, const std::string &request) {
                connection.send(streamHead(request) + eventChunk(1));
                const auto timer = std::make_shared<asio::steady_timer>(loop, length);
                timer->async_wait([timer, self = connection.shared_from_this()](auto) {
                    self->send(std::string(lastChunk));
                });
            });
        Gateway gateway(loop);
        auto entry = upstream.entry("pool");
        entry.slots = 200;
        gateway.applyRegistry(testConfiguration(), {entry});
        CallerStream callers(loop, gateway, "/stream/a");
        for (int i = 0; i < 12; ++i)
            callers.add();
        runFor(loop, 1900ms);
        gateway.setStopTimeout(1350ms);
        gateway.host.stop();
        const auto before = callers.size();
        callers.add();
        runFor(loop, 200ms);
        const auto *status = length == 20ms ? "HTTP/1.1 200" : "HTTP/1.1 503";
        BOOST_TEST(callers.answered(status, before) == 1U, length.count());
        BOOST_TEST(callers.refusalsAreTrue(upstream));
    }
}

// Guards against taking a service that answers most requests at once, and some late, for a quick
// one: what must not be repeated is refused, what may be is taken.
BOOST_AUTO_TEST_CASE(a_service_that_is_slow_at_times_gets_only_what_may_be_repeated)
{
    for (const std::string path : {"/once/a", "/safe/a"}) {
        asio::io_context loop(1);
        int requests = 0;
        ScriptedUpstream upstream(loop, "one", answersAfter(loop, [&requests] {
                                      return ++requests % 8 == 0 ? 1500ms : 20ms;
                                  }));
        Gateway gateway(loop);
        auto entry = upstream.entry("pool");
        entry.slots = 200;
        gateway.applyRegistry(testConfiguration(), {entry});
        gateway.setStopTimeout(2350ms);
        CallerStream callers(loop, gateway, path);
        const auto begin = std::chrono::steady_clock::now();
        callers.addUntil([&] { return std::chrono::steady_clock::now() - begin > 1500ms; }, 20ms);
        runFor(loop, 1600ms);
        gateway.host.stop();
        runFor(loop, 400ms);
        const auto before = callers.size();
        for (int i = 0; i < 10; ++i)
            callers.add();
        runFor(loop, 300ms);
        BOOST_TEST_CONTEXT(path)
        BOOST_TEST(callers.answered("HTTP/1.1 503", before) == (path == "/once/a" ? 10U : 0U));
    }
}

// Guards against a reset in place of an answer for requests that still run when the process ends.
BOOST_AUTO_TEST_CASE(a_request_that_runs_as_the_process_ends_is_told_so)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", [](ScriptedConnection &, const std::string &) {});
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    gateway.setStopTimeout(700ms);
    auto plain = gateway.caller();
    plain.send(testing::requestText("/once/a", "r1"));
    auto stream = gateway.caller();
    stream.send(testing::requestText("/stream/a", "r2"));
    BOOST_TEST(runUntil(loop, [&] { return upstream.requests().size() == 2; }));
    gateway.host.stop();
    BOOST_TEST(runUntil(loop, [&] { return loop.stopped(); }));
    for (auto *caller : {&plain, &stream}) {
        BOOST_TEST(caller->receives("\"run\":\"unknown\"}"));
        BOOST_TEST(caller->received.starts_with("HTTP/1.1 502"));
        BOOST_TEST(caller->seesClose());
    }
}

// Guards against a request that is read, waits for the first configuration and is cut by the stop.
BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_configuration_is_answered_at_the_stop)
{
    asio::io_context loop(1);
    auto gateway = std::make_unique<Gateway>(loop);
    gateway->setStopTimeout(400ms);
    auto caller = gateway->caller();
    caller.send(testing::requestText("/once/a", "r1"));
    runFor(loop, 50ms);
    gateway->host.stop();
    BOOST_TEST(runUntil(loop, [&] { return loop.stopped(); }));
    gateway.reset();
    BOOST_TEST(caller.receives("HTTP/1.1 503"));
}

// Guards against an answer that is cut because its caller reads it slowly while the process stops.
BOOST_AUTO_TEST_CASE(an_answer_that_is_not_sent_yet_holds_the_end_of_the_process)
{
    constexpr std::size_t bytes = std::size_t{14} * 1024 * 1024;
    asio::io_context callerLoop(1);
    SlowReader caller(callerLoop, bytes, 6s);
    {
        asio::io_context loop(1); // Ends as the process does.
        ScriptedUpstream upstream(loop, "one", answersWith(std::string(bytes, 'x')));
        Gateway gateway(loop);
        gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
        caller.send(gateway.settings.callers, testing::requestText("/once/a", "r1"));
        BOOST_TEST(runUntil(loop, [&] { return upstream.requests().size() == 1; }));
        gateway.host.stop();
        const auto hasStopped = [&] { return loop.stopped(); };
        while (!runUntil(loop, hasStopped, 2ms) && !caller.hasEnded())
            caller.readWhatIsDue();
    }
    while (!caller.hasEnded()) {
        caller.readWhatIsDue();
        std::this_thread::sleep_for(2ms);
    }
    BOOST_TEST(caller.received() > bytes);
    BOOST_TEST(caller.hasEndedInOrder());
}

// Guards against a refused request, whose caller keeps its end open, holding the end of the
// process.
BOOST_AUTO_TEST_CASE(a_refused_request_does_not_hold_the_end)
{
    asio::io_context loop(1);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {});
    gateway.host.stop();
    runFor(loop, 2800ms);
    auto caller = gateway.caller();
    caller.send("no request\r\n\r\n");
    BOOST_TEST(caller.receives("HTTP/1.1 400"));
    BOOST_TEST(runUntil(
        loop, [&] { return loop.stopped(); }, 1500ms));
}

// Guards against a closed connection that stays open for ever since its caller never closes it.
BOOST_AUTO_TEST_CASE(a_caller_that_never_closes_its_end_holds_no_connection)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", answersWith("served"));
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/once/a", "r1", "Connection: close\r\n"));
    BOOST_TEST(caller.seesClose());
    BOOST_TEST(caller.received.ends_with("served"));
    // The kernel resets a connection of which no process has the other end.
    BOOST_TEST(runUntil(loop, [&] { return !caller.canSend(); }));
}

BOOST_AUTO_TEST_SUITE_END()
