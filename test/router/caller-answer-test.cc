#include "caller-answer.h"

#include "applehatch/clients/http.h"

#include <boost/test/unit_test.hpp>
#include <future>

namespace applehatch::router {

namespace {

using core::AnswerChunk;
using core::AnswerEnd;
using core::AnswerFailure;
using core::AnswerHead;

struct Served
{
    clients::HttpResponse response;
    AnswerOutcome outcome = AnswerOutcome::CallerDisconnected;
    std::uint64_t consumed = 0;
};

// Serves one exchange over loopback, with `items` as its answer.
auto serve(const std::vector<CallerItem> &items, std::size_t answerMemory = 4 * maxBufferedAnswer)
    -> Served
{
    Served served;
    core::Address bound;
    std::promise<void> answered;
    {
        process::HttpServer server;
        process::HttpServerOptions options;
        options.address = {"127.0.0.1", 0};
        options.answerMemory = answerMemory;
        const auto handler = [&](process::HttpExchange &exchange) {
            CallerQueue queue(2 * maxBufferedAnswer,
                              [&](std::size_t bytes) { return exchange.answer()->keep(bytes); });
            for (const auto &item : items)
                queue.push(item);
            CallerAnswer answer(exchange, "r1",
                                [&](std::uint64_t offset) { served.consumed = offset; });
            served.outcome = answer.serve(queue);
            answered.set_value();
        };
        BOOST_REQUIRE(!server.start(options, handler, bound));
        clients::HttpRequest request;
        request.server = bound;
        request.path = "/";
        request.maxBodyBytes = 2 * maxBufferedAnswer;
        BOOST_REQUIRE(!clients::exchange(request, served.response));
        // The client can read the complete answer before the thread that wrote it sets the outcome.
        answered.get_future().wait();
    }
    return served;
}

auto head(const std::string &type) -> AnswerHead
{
    return {"r1", 200, {{"Content-Type", type}, {"Content-Length", "3"}}};
}

auto failure() -> AnswerFailure
{
    return {"r1",
            {core::ErrorKind::Overloaded, core::Run::NotRun, "caf\xe9",
             std::chrono::milliseconds(1200)}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_answer)

BOOST_AUTO_TEST_CASE(a_stream_gives_the_resume_position_of_each_event)
{
    const auto served = serve({head("text/event-stream"), AnswerChunk{"r1", 0, "data: a\n\n", "p1"},
                               AnswerChunk{"r1", 9, "data: b\n\n", "p2"}, AnswerEnd{"r1"}});
    BOOST_TEST(served.response.status == 200);
    BOOST_TEST(served.response.body == "id: p1\ndata: a\n\nid: p2\ndata: b\n\n");
    BOOST_TEST((served.outcome == AnswerOutcome::Sent));
    BOOST_TEST(served.consumed == 18U);
}

BOOST_AUTO_TEST_CASE(a_whole_answer_is_sent_with_its_own_length)
{
    const auto served = serve({head("application/json"), AnswerChunk{"r1", 0, "{\"a\":", "p"},
                               AnswerChunk{"r1", 5, "1}", "p"}, AnswerEnd{"r1"}});
    BOOST_TEST(served.response.body == "{\"a\":1}");
    BOOST_TEST(served.response.header("content-length") == "7");
}

// The upstream fails before or after the first byte of an answer. If the stream simply ended, the
// caller would take it for complete and present half a report.
BOOST_AUTO_TEST_CASE(a_failure_is_reported_before_and_inside_an_answer)
{
    const auto before = serve({failure()});
    BOOST_TEST(before.response.status == 503);
    BOOST_TEST(before.response.header("content-type") == "application/problem+json");
    BOOST_TEST(before.response.header("retry-after") == "2");
    const std::string document =
        R"("kind":"overloaded","run":"not-run","detail":"caf�","request":"r1"})";
    BOOST_TEST(before.response.body.find(document) != std::string::npos, before.response.body);

    const auto buffered = serve({head("text/plain"), AnswerChunk{"r1", 0, "ab", "p"}, failure()});
    BOOST_TEST(buffered.response.status == 503);

    const auto inside =
        serve({head("text/event-stream"), AnswerChunk{"r1", 0, "data: a\n\n", "p1"}, failure()});
    BOOST_TEST(inside.response.status == 200);
    const auto event = inside.response.body.find("\n\nevent: error\ndata: {");
    BOOST_TEST(event != std::string::npos, inside.response.body);
    BOOST_TEST(inside.response.body.find(document) > event);
}

// An upstream's answer never ends, or a caller reads a stream slower than it arrives. Buffered
// without a bound, such answers would exhaust the router's memory and fail every other caller's
// request.
BOOST_AUTO_TEST_CASE(memory_for_one_caller_is_bounded)
{
    const std::string part(1U << 20U, 'x');
    std::vector<CallerItem> items{head("text/plain")};
    for (std::size_t offset = 0; offset <= maxBufferedAnswer; offset += part.size())
        items.emplace_back(AnswerChunk{"r1", offset, part, "p"});
    const auto served = serve(items);
    BOOST_TEST((served.outcome == AnswerOutcome::TooLarge));
    BOOST_TEST(served.response.status == 502);

    CallerQueue queue(2 * part.size());
    for (int count = 0; count < 3; ++count)
        queue.push(AnswerChunk{"r1", 0, part, "p"});
    BOOST_TEST(!queue.take({}));
}

// Guards against an answer that is dropped for want of memory and whose caller is told nothing.
BOOST_AUTO_TEST_CASE(a_buffered_answer_that_gave_way_is_told_as_run)
{
    const std::string part(1000, 'x');
    const auto served =
        serve({head("text/plain"), AnswerChunk{"r1", 0, part, "p"}, AnswerEnd{"r1"}}, part.size());
    BOOST_TEST((served.outcome == AnswerOutcome::GaveWay));
    BOOST_TEST(served.response.status == 502);
    BOOST_TEST(served.response.body.find(R"("run":"ran")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::router
