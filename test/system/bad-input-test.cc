#include "system/expect.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::call;
using experiment::CallerConnection;
using experiment::eventually;

auto smallFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 2;
    options.tokensPerSecond = 200;
    return options;
}

/// Bytes for every port between the processes.
auto garbage() -> std::vector<std::string>
{
    std::vector<std::string> list = {"",
                                     "x",
                                     std::string(3, '\0'),
                                     std::string(64, '\xff'),
                                     "GET / HTTP/1.1\r\n\r\n",
                                     std::string(1400, '\x7f')};
    // A frame that promises 4 GB in one segment, and one of 2^32 - 1 segments.
    list.emplace_back("\0\0\0\0\xff\xff\xff\x1f", 8);
    list.emplace_back("\xff\xff\xff\xff\x01\0\0\0", 8);
    return list;
}

auto stillWorks(Fleet &fleet, const std::string &mark) -> bool
{
    const auto request = fleet.chat(mark, 5);
    const auto answer = call(fleet.router().callers, request);
    BOOST_TEST_MESSAGE(mark << ": " << answer.status << " " << answer.problem().dump());
    return isWholeAndOwn(request, answer);
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_input)

// Callers and whatever stands between send requests that are cut short, forged or out of range. A
// caller must be told what is wrong with its own; nobody else may notice.
BOOST_AUTO_TEST_CASE(requests_that_cannot_be_served_are_told_why)
{
    Fleet fleet(smallFleet());
    const auto good = fleet.chat("good", 5);
    const auto withBody = [&](const std::string &body) {
        auto request = good;
        request.body = body;
        return request;
    };
    const auto withPath = [&](const std::string &path) {
        auto request = good;
        request.path = path;
        return request;
    };
    const auto from = [&](const std::string &customer) {
        auto request = good;
        request.headers = {{"Applehatch-Customer", customer}};
        return request;
    };
    struct Row
    {
        const char *name;
        CallerRequest request;
        int status;
        const char *kind;
    };
    const std::vector<Row> rows = {
        {"no JSON", withBody("{\"model\": "), 400, "bad-request"},
        {"JSON, but no object", withBody("[1,2]"), 400, "bad-request"},
        {"deeply nested JSON", withBody(std::string(100000, '[')), 400, "bad-request"},
        {"no body", withBody(""), 400, "bad-request"},
        {"model of another type", withBody(R"({"model":7})"), 400, "bad-request"},
        {"unknown model", withBody(R"({"model":"nobody"})"), 404, "unknown-model"},
        {"body too large", withBody(std::string(40U << 20U, ' ')), 413, "body-too-large"},
        {"unknown path", withPath("/nowhere"), 404, "unknown-path"},
        {"no customer", from(""), 400, "bad-request"},
        {"customer without a team", from("branch-east"), 400, "bad-request"},
        {"unknown team", from("nobody/branch-east"), 403, "unknown-customer"},
        {"unknown customer", from("ledgerworks/nobody"), 403, "unknown-customer"},
        {"negative deadline", with(good, "Applehatch-Deadline-Ms", "-5"), 400, "bad-request"},
        {"no deadline at all", with(good, "Applehatch-Deadline-Ms", "0"), 400, "bad-request"},
        {"absurd deadline", with(good, "Applehatch-Deadline-Ms", "99999999999999999999"), 400,
         "bad-request"},
        {"deadline beyond the pool's", with(good, "Applehatch-Deadline-Ms", "600001"), 400,
         "bad-request"},
        {"deadline in words", with(good, "Applehatch-Deadline-Ms", "soon"), 400, "bad-request"},
        {"priority out of range", with(good, "Applehatch-Priority", "10"), 400, "bad-request"},
        {"chat's name too long", with(good, "Applehatch-Chat", std::string(201, 'c')), 400,
         "bad-request"},
        {"key too long", with(good, "Idempotency-Key", std::string(201, 'k')), 400, "bad-request"},
        {"forged ticket", with(good, "Applehatch-Ticket", "t-forged"), 400, "bad-request"},
    };
    for (const auto &row : rows) {
        const auto answer = call(fleet.router().callers, row.request);
        BOOST_TEST_CONTEXT(row.name << ": " << answer.body)
        {
            BOOST_TEST(answer.status == row.status);
            BOOST_TEST(answer.problemKind() == row.kind);
            BOOST_TEST(answer.problem().value("run", "") == "not-run");
            BOOST_TEST(fleet.router().process->running());
        }
    }
    // A token is only a hint, so one that cannot be read must not fail the request.
    BOOST_TEST(isWholeAndOwn(
        good, call(fleet.router().callers, with(good, "Applehatch-Context", "forged"))));
    BOOST_TEST(fleet.runsOf(good).size() == 1U);
}

// A line break inside a header's value, were it passed on, would let a caller write headers of its
// own into what the engine and other callers see.
BOOST_AUTO_TEST_CASE(line_breaks_in_headers_reach_nobody)
{
    Fleet fleet(smallFleet());
    const auto body = fleet.chat("forged", 5).body;
    for (const std::string value : {"a\rX-Priority: 9", "a\nX-Priority: 9", "a\x01z"}) {
        const auto bytes = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                           "Connection: close\r\nApplehatch-Customer: ledgerworks/branch-east\r\n"
                           "Content-Type: application/json\r\nApplehatch-Chat: "
            + value + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        CallerConnection connection(fleet.router().callers, bytes);
        const auto &answer = connection.read();
        BOOST_TEST((answer.status == 200 || answer.status == 400));
        for (const auto &[name, content] : answer.headers) {
            BOOST_TEST(name != "X-Priority");
        }
    }
    BOOST_TEST(stillWorks(fleet, "after forged headers"));
}

// Connections break within a request, and things that speak no HTTP knock on the port.
BOOST_AUTO_TEST_CASE(broken_requests_leave_the_router_alive)
{
    Fleet fleet(smallFleet());
    const auto head = std::string("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                                  "Applehatch-Customer: ledgerworks/branch-east\r\n");
    const std::vector<std::string> broken = {
        "",
        "\x16\x03\x01\x02",
        "POST",
        head,
        head + "Content-Length: 1000\r\n\r\n{\"model\"",
        head + "Content-Length: -1\r\n\r\n",
        head + "Content-Length: 99999999999999999999\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"mod",
        head + "X-Big: " + std::string(100000, 'x') + "\r\n\r\n",
    };
    for (const auto &bytes : broken) {
        CallerConnection connection(fleet.router().callers, bytes);
        (void)connection.read({}, 200ms);
        connection.reset();
    }
    BOOST_TEST(fleet.router().process->running());
    BOOST_TEST(stillWorks(fleet, "after broken requests"));
}

// A stray datagram or a scanner's connection reaches the ports between the processes. Were it
// taken for a message, it could stop a process or change what it knows of load.
BOOST_AUTO_TEST_CASE(garbage_between_the_processes_is_dropped)
{
    Fleet fleet(smallFleet());
    auto &member = fleet.engine(0);
    for (const auto &bytes : garbage()) {
        experiment::sendDatagram(member.digest, bytes);
        auto link = experiment::Socket::connect(member.links);
        BOOST_REQUIRE(link.valid());
        (void)link.sendAll(bytes);
        (void)link.receive(50ms);
    }
    BOOST_TEST(member.sidecar->running());
    for (auto call = 0; call < 4; ++call) {
        BOOST_TEST(stillWorks(fleet, "after garbage " + std::to_string(call)));
    }
}

// A caller closes its laptop half way through an answer. Its engine must be told, or the slot is
// spent on tokens that nobody reads. A stream may be resumed, so it goes on for ten seconds first.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_cancelled_at_the_engine)
{
    Fleet fleet(smallFleet());
    const auto streamed = fleet.chat("leaves a stream", 4000);
    const auto plain = fleet.chat("leaves a plain answer", 4000, false);
    CallerConnection streaming(fleet.router().callers, streamed);
    CallerConnection waiting(fleet.router().callers, plain);
    streaming.read([](const CallerAnswer &answer) { return answer.events().size() > 3; });
    BOOST_REQUIRE(eventually([&] { return fleet.runsOf(plain).size() == 1; }));
    streaming.leave();
    waiting.leave();
    const auto cancelled = [&](const CallerRequest &request) {
        const auto runs = fleet.runs();
        const auto begun = fleet.runsOf(request);
        return std::any_of(runs.begin(), runs.end(), [&](const auto &run) {
            return run.outcome == "cancelled" && run.request == begun.front().request;
        });
    };
    BOOST_TEST(eventually([&] { return cancelled(plain); }, 5000ms));
    BOOST_TEST(eventually([&] { return cancelled(streamed); }, 15000ms));
    BOOST_TEST(stillWorks(fleet, "after one left"));
}

// A caller stops reading but keeps its connection. It must not hold up anybody else, nor may what
// is kept for it grow without end.
BOOST_AUTO_TEST_CASE(a_caller_that_stops_reading_holds_nobody_up)
{
    Fleet fleet(smallFleet());
    const auto request = fleet.chat("stopped reader", 100000);
    CallerConnection stopped(fleet.router().callers, request);
    stopped.socket().shrinkReceiveBuffer();
    stopped.read([](const CallerAnswer &answer) { return !answer.body.empty(); });
    for (auto call = 0; call < 5; ++call) {
        BOOST_TEST(stillWorks(fleet, "beside a stopped reader " + std::to_string(call)));
    }
    BOOST_TEST(fleet.router().process->running());
}

BOOST_AUTO_TEST_SUITE_END()
