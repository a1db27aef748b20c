#include "applehatch/clients/upstream-client.h"

#include "applehatch/emulator/engine.h"
#include "applehatch/experiment/socket.h"

#include "clients/one-run.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <sstream>

namespace {

using namespace applehatch;
using namespace std::chrono_literals;
using clients::CallOutcome;
using core::RunBreak;
using experiment::eventually;

constexpr auto ip = "127.0.41.1";
constexpr auto silence = 300ms;

/// The result of one call.
struct Result
{
    int status = 0;
    std::string body;
    CallOutcome outcome;
    std::chrono::milliseconds took{0};
};

auto startRun(const std::string &body) -> core::StartRun
{
    core::StartRun start;
    start.request = "r-1";
    start.remaining = 10s;
    start.call.method = "POST";
    start.call.path = "/v1/chat/completions";
    start.call.headers = {{"Content-Type", "application/json"}};
    start.call.body = std::make_shared<const std::string>(body);
    start.call.stream = true;
    return start;
}

auto runCall(const core::Address &upstream, const core::StartRun &start,
             const std::atomic<bool> &cancelled = false) -> Result
{
    Result result;
    clients::CallHooks hooks;
    hooks.onHead = [&](int status, const core::Headers &, bool) { result.status = status; };
    hooks.onData = [&](const std::string &data) { result.body += data; };
    const auto begin = experiment::Clock::now();
    result.outcome = clients::runOne(upstream, silence, start, hooks, cancelled);
    result.took =
        std::chrono::duration_cast<std::chrono::milliseconds>(experiment::Clock::now() - begin);
    return result;
}

/// Reads the request to the end of its body, so that closing afterwards sends no reset.
auto readRequest(experiment::Socket &socket) -> void
{
    std::string text;
    while (text.find('}') == std::string::npos) {
        const auto part = socket.receive();
        if (!part || part->empty()) {
            return;
        }
        text += *part;
    }
}

auto chunk(const std::string &data) -> std::string
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string eventHead =
    okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string event = "data: {}\n\n";
const std::string done = "data: [DONE]\n\n";
const std::string lastChunk = "0\r\n\r\n";

enum class After {
    Close,
    Reset,
    Wait, ///< Keeps the connection open without sending a byte.
};

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_client)

// Guards against wrong outcomes when an upstream breaks the connection, which can happen at any
// byte and can look like an orderly close. The caller would get half an answer as a complete one,
// or "not run" for a call that ran.
BOOST_AUTO_TEST_CASE(broken_answers_are_told_apart)
{
    struct Row
    {
        const char *name;
        std::string answer;
        After after;
        std::optional<RunBreak> how; ///< None when the answer is whole.
    };
    const std::string big(200000, 'x');
    const auto rows = {
        Row{"closes before the head", "", After::Close, RunBreak::Lost},
        Row{"resets before the head", "", After::Reset, RunBreak::Lost},
        Row{"closes within the head", "HTTP/1.1 200 O", After::Close, RunBreak::Lost},
        Row{"garbage head", "\x01\x02 nonsense\r\n\r\n", After::Wait, RunBreak::Lost},
        Row{"huge head", okHead + "X-Big: " + big + "\r\n\r\n", After::Wait, RunBreak::Lost},
        Row{"head beyond our bound",
            okHead + "X-Big: " + big.substr(0, 40000) + "\r\nContent-Length: 0\r\n\r\n",
            After::Wait, RunBreak::Lost},
        Row{"silent before the head", "", After::Wait, RunBreak::Silent},
        Row{"silent after the head", eventHead, After::Wait, RunBreak::Silent},
        Row{"silent mid-stream", eventHead + chunk(event), After::Wait, RunBreak::Silent},
        Row{"closes mid-stream", eventHead + chunk(event), After::Close, RunBreak::EndedEarly},
        Row{"resets mid-stream", eventHead + chunk(event), After::Reset, RunBreak::EndedEarly},
        Row{"ends in order without the marker", eventHead + chunk(event) + lastChunk, After::Wait,
            RunBreak::EndedEarly},
        Row{"closes within the marker", eventHead + chunk("data: [DO"), After::Close,
            RunBreak::EndedEarly},
        Row{"marker inside an event", eventHead + chunk("data: \"" + done) + lastChunk, After::Wait,
            RunBreak::EndedEarly},
        Row{"garbage chunk length", eventHead + chunk(event) + "zz\r\n", After::Wait,
            RunBreak::EndedEarly},
        Row{"length cut short", okHead + "Content-Length: 9\r\n\r\nfour", After::Close,
            RunBreak::EndedEarly},
        Row{"no length and no chunks", okHead + "\r\nfour", After::Close, RunBreak::EndedEarly},
        Row{"chunks cut short", chunkedHead + chunk("four"), After::Close, RunBreak::EndedEarly},
        Row{"marker in one chunk", eventHead + chunk(event) + chunk(done), After::Wait, {}},
        Row{"marker in two chunks",
            eventHead + chunk(event + "data: [D") + chunk("ONE]\n\n"),
            After::Wait,
            {}},
        Row{"marker with carriage returns",
            eventHead + chunk("data: [DONE]\r\n\r\n"),
            After::Wait,
            {}},
        Row{"length kept", okHead + "Content-Length: 4\r\n\r\nfour", After::Wait, {}},
        Row{"chunks kept", chunkedHead + chunk("four") + lastChunk, After::Wait, {}},
        Row{"error document", "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}", After::Wait, {}},
    };
    for (const auto &row : rows) {
        const experiment::RawServer upstream(ip, [&row](experiment::Socket &socket) {
            readRequest(socket);
            (void)socket.sendAll(row.answer);
            if (row.after == After::Reset) {
                socket.reset();
            } else if (row.after == After::Wait) {
                (void)socket.receive();
            }
        });
        const auto result = runCall(upstream.address(), startRun("{}"));
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(upstream.accepted() == 1U);
            BOOST_TEST(result.outcome.whole == !row.how.has_value());
            BOOST_TEST((result.outcome.whole || result.outcome.how == row.how));
            BOOST_TEST(result.took.count() < 2000);
        }
    }
}

// Guards against a false "not run". It is reported only when nothing of the call can have arrived:
// no connection was made, or the call cannot be written as HTTP without changing its meaning.
BOOST_AUTO_TEST_CASE(calls_that_were_never_sent)
{
    const experiment::RawServer upstream(
        ip, [](experiment::Socket &socket) { (void)socket.receive(); });
    const core::Address nobody{ip, experiment::freePort(ip)};
    struct Row
    {
        const char *name;
        core::Address upstream;
        std::function<void(core::StartRun &)> change;
    };
    const auto rows = {
        Row{"refused connection", nobody, [](auto &) {}},
        Row{"newline in a header", upstream.address(),
            [](auto &run) {
                run.call.headers = {{"A", "b\r\nX-Forged: 1"}};
            }},
        Row{"newline in a header's name", upstream.address(),
            [](auto &run) {
                run.call.headers = {{"A\r\nB", "c"}};
            }},
        Row{"newline in the path", upstream.address(),
            [](auto &run) { run.call.path = "/a HTTP/1.1\r\nX-Forged: 1"; }},
        Row{"newline in the request's id", upstream.address(),
            [](auto &run) { run.request = "r\r\nX-Forged: 1"; }},
        Row{"unknown method", upstream.address(), [](auto &run) { run.call.method = "DANCE"; }},
    };
    for (const auto &row : rows) {
        auto start = startRun("{}");
        row.change(start);
        const auto result = runCall(row.upstream, start);
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(!result.outcome.whole);
            BOOST_TEST((result.outcome.how == RunBreak::NeverSent));
        }
    }
    BOOST_TEST(upstream.accepted() == 0U);
}

// Guards against a disconnected caller occupying an engine's slot. The sidecar sets the flag from
// another thread while this one waits for bytes that may never arrive.
BOOST_AUTO_TEST_CASE(cancelling_ends_a_call_within_a_tenth_of_a_second)
{
    for (const auto &answer : {std::string(), eventHead + chunk(event)}) {
        std::atomic<bool> sent{false};
        const experiment::RawServer upstream(ip, [&](experiment::Socket &socket) {
            readRequest(socket);
            (void)socket.sendAll(answer);
            sent = true;
            (void)socket.receive();
        });
        std::atomic<bool> cancelled{false};
        auto call = std::async(std::launch::async, [&] {
            const auto result = runCall(upstream.address(), startRun("{}"), cancelled);
            return std::pair(result.outcome, experiment::Clock::now());
        });
        BOOST_REQUIRE(eventually([&] { return sent.load(); }));
        const auto cancelledAt = experiment::Clock::now();
        cancelled = true;
        const auto [outcome, endedAt] = call.get();
        BOOST_TEST(!outcome.whole);
        BOOST_TEST((outcome.how == RunBreak::Lost));
        BOOST_TEST((endedAt - cancelledAt < 150ms));
    }
}

BOOST_AUTO_TEST_CASE(state_of_an_upstream)
{
    struct Row
    {
        const char *name;
        std::string answer;
        bool reachable;
    };
    const auto json = [](const std::string &body) {
        return okHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    const auto rows = {
        Row{"as documented",
            json(R"({"epoch":"e","running":3,"waiting":1,"models":["m"],"fence":7})"), true},
        Row{"unknown types", json(R"({"epoch":"e","running":-3,"models":[1],"fence":"x"})"), true},
        Row{"models of another type", json(R"({"epoch":"e","models":{"a":1}})"), true},
        Row{"no epoch", json(R"({"running":3})"), false},
        Row{"not JSON", json("nonsense"), false},
        Row{"cut short", okHead + "Content-Length: 90\r\n\r\n{\"epoch\":\"e\"", false},
        Row{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false},
        Row{"silent", "", false},
    };
    for (const auto &row : rows) {
        const experiment::RawServer upstream(ip, [&row](experiment::Socket &socket) {
            (void)socket.receive();
            (void)socket.sendAll(row.answer);
            (void)socket.receive(row.answer.empty() ? 2000ms : 1ms);
        });
        const clients::UpstreamClient client(upstream.address());
        const auto begin = experiment::Clock::now();
        const auto report = client.state(200ms);
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(report.reachable == row.reachable);
            BOOST_TEST((experiment::Clock::now() - begin < 1s));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
