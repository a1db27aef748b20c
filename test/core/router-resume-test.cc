#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

constexpr std::string_view fullBody = "data: 1\n\ndata: 2\n\n";

auto resumeAt(const RequestId &id, const Position &position, const std::string &customer = "east")
    -> CallerResume
{
    return {id, formatPosition(position), "ledger", customer};
}

auto beginStream(Bench &bench) -> UpstreamId
{
    auto request = chatRequest("r1", 5);
    request.call.stream = true;
    bench.feed(request);
    const auto upstream = bench.openRequestedLink();
    bench.from(upstream, streamHead("r1"));
    bench.from(upstream, Chunk{"r1", 0, std::string(fullBody.substr(0, 9))});
    return upstream;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_resume)

// A caller in a tunnel loses its connection and reconnects through another router. It must get the
// rest of the same answer and not the beginning again.
BOOST_AUTO_TEST_CASE(another_router_gives_the_rest_of_a_stream)
{
    Bench bench;
    const auto upstream = bench.engines()[1].id;
    bench.feed(resumeAt("x1", {upstream, "r1", 9}));
    BOOST_TEST(bench.openRequestedLink() == upstream);
    const auto resume = Bench::sent<Resume>(bench.last).at(0);
    BOOST_TEST(resume.request == "r1");
    BOOST_TEST(resume.offset == 9U);
    BOOST_TEST(resume.customer == "ledger/east");
    bench.from(upstream, streamHead("r1", 3));
    BOOST_TEST(Bench::of<AnswerHead>(bench.last).at(0).request == "x1");
    bench.from(upstream, Chunk{"r1", 0, std::string(fullBody)});
    const auto chunk = Bench::of<AnswerChunk>(bench.last).at(0);
    BOOST_TEST(chunk.data == "data: 2\n\n");
    BOOST_TEST(chunk.offset == 9U);
    BOOST_TEST(chunk.position == formatPosition({upstream, "r1", 18}));
    bench.from(upstream, End{"r1", fullBody.size(), stableHash(fullBody), {}});
    BOOST_TEST(Bench::of<AnswerEnd>(bench.last).at(0).request == "x1");
    bench.feed(CallerConsumed{"x1", fullBody.size()});
    BOOST_TEST(bench.node.counts().inFlight == 0U);
    bench.feed(DrainRequested{});
    BOOST_TEST(Bench::sent<Acknowledge>(bench.last).at(0).request == "r1");
}

BOOST_AUTO_TEST_CASE(a_resume_that_is_not_possible_fails_at_once)
{
    struct Row
    {
        CallerResume event;
        ErrorKind kind;
    };
    Bench bench;
    const auto upstream = beginStream(bench);
    const std::vector<Row> rows = {
        {{"x1", "gibberish", "ledger", "east"}, ErrorKind::BadRequest},
        {resumeAt("x2", {99, "r1", 9}), ErrorKind::AnswerLost},
        {resumeAt("x3", {upstream, "r1", 9}, "west"), ErrorKind::AnswerLost},
    };
    for (const auto &row : rows) {
        bench.feed(row.event);
        BOOST_TEST((Bench::of<AnswerFailure>(bench.last).at(0).failure.kind == row.kind));
    }
    // The attempt of another customer to resume the stream did not affect it.
    bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
    BOOST_TEST(bench.body("r1") == fullBody);
}

// The caller reconnects to the same router, either before or after the router notices that the old
// connection is closed.
BOOST_AUTO_TEST_CASE(a_resume_at_the_same_router_takes_the_stream_over)
{
    for (const auto disconnectedFirst : {false, true}) {
        Bench bench;
        const auto upstream = beginStream(bench);
        if (disconnectedFirst)
            BOOST_TEST(bench.feed(CallerDisconnected{"r1"}).empty());
        bench.feed(resumeAt("x1", {upstream, "r1", 9}));
        BOOST_TEST(Bench::sent<Revoke>(bench.last).empty());
        BOOST_TEST(Bench::sent<Resume>(bench.last).size() == 1U);
        BOOST_TEST(bench.failures().size() == (disconnectedFirst ? 0U : 1U));
        bench.feed(CallerDisconnected{"r1"});
        bench.from(upstream, streamHead("r1"));
        bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
        BOOST_TEST(bench.body("x1") == "data: 2\n\n");
        BOOST_TEST(bench.body("r1") == "data: 1\n\n");
        BOOST_TEST(Bench::sent<Revoke>(bench.all).empty());
    }
}

// If a run were stopped as soon as its caller's connection breaks, a caller that reconnects through
// another router would lose the rest of its answer. If it were never stopped, an engine would stay
// busy for an answer that nobody reads.
BOOST_AUTO_TEST_CASE(an_abandoned_stream_is_stopped_unless_it_moved_to_another_router)
{
    for (const auto stillSending : {false, true}) {
        Bench bench;
        const auto upstream = beginStream(bench);
        bench.feed(CallerDisconnected{"r1"});
        BOOST_TEST(Bench::sent<Revoke>(bench.last).empty());
        for (auto second = 0; second < 11; ++second) {
            if (stillSending)
                bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
            bench.advance(1s, {upstream});
        }
        BOOST_TEST(Bench::sent<Revoke>(bench.all).size() == (stillSending ? 1U : 0U));
        BOOST_TEST(bench.body("r1") == "data: 1\n\n");
        BOOST_TEST(bench.node.counts().inFlight == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
