#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

constexpr std::string_view whole = "data: 1\n\ndata: 2\n\n";

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
    const auto upstream = bench.openAsked();
    bench.from(upstream, streamHead("r1"));
    bench.from(upstream, Chunk{"r1", 0, std::string(whole.substr(0, 9))});
    return upstream;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_resume)

// A caller in a tunnel loses its connection and comes back through another router. It must get the
// rest of the very same answer and not the beginning again.
BOOST_AUTO_TEST_CASE(another_router_gives_the_rest_of_a_stream)
{
    Bench bench;
    const auto upstream = bench.engines()[1].id;
    bench.feed(resumeAt("x1", {upstream, "r1", 9}));
    BOOST_TEST(bench.openAsked() == upstream);
    const auto asked = Bench::sent<Resume>(bench.last).at(0);
    BOOST_TEST(asked.request == "r1");
    BOOST_TEST(asked.offset == 9U);
    BOOST_TEST(asked.customer == "ledger/east");
    bench.from(upstream, streamHead("r1", 3));
    BOOST_TEST(Bench::of<AnswerHead>(bench.last).at(0).request == "x1");
    bench.from(upstream, Chunk{"r1", 0, std::string(whole)});
    const auto chunk = Bench::of<AnswerChunk>(bench.last).at(0);
    BOOST_TEST(chunk.data == "data: 2\n\n");
    BOOST_TEST(chunk.offset == 9U);
    BOOST_TEST(chunk.position == formatPosition({upstream, "r1", 18}));
    bench.from(upstream, End{"r1", whole.size(), stableHash(whole), {}});
    BOOST_TEST(Bench::of<AnswerEnd>(bench.last).at(0).request == "x1");
    bench.feed(CallerConsumed{"x1", whole.size()});
    BOOST_TEST(bench.node.counts().inFlight == 0U);
    bench.feed(DrainRequested{});
    BOOST_TEST(Bench::sent<Acknowledge>(bench.last).at(0).request == "r1");
}

BOOST_AUTO_TEST_CASE(what_cannot_be_resumed_is_said_at_once)
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
    // The guess of another customer left the stream alone.
    bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
    BOOST_TEST(bench.body("r1") == whole);
}

// The caller is back before its old connection is known to be closed, or after it left.
BOOST_AUTO_TEST_CASE(a_resume_at_the_same_router_takes_the_stream_over)
{
    for (const auto leftFirst : {false, true}) {
        Bench bench;
        const auto upstream = beginStream(bench);
        if (leftFirst)
            BOOST_TEST(bench.feed(CallerGone{"r1"}).empty());
        bench.feed(resumeAt("x1", {upstream, "r1", 9}));
        BOOST_TEST(Bench::sent<Revoke>(bench.last).empty());
        BOOST_TEST(Bench::sent<Resume>(bench.last).size() == 1U);
        BOOST_TEST(bench.failures().size() == (leftFirst ? 0U : 1U));
        bench.feed(CallerGone{"r1"});
        bench.from(upstream, streamHead("r1"));
        bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
        BOOST_TEST(bench.body("x1") == "data: 2\n\n");
        BOOST_TEST(bench.body("r1") == "data: 1\n\n");
        BOOST_TEST(Bench::sent<Revoke>(bench.all).empty());
    }
}

// Stopping a run the moment its caller's connection breaks would cost a caller that comes back
// through another router the rest of its answer; never stopping it would keep an engine busy for
// nobody.
BOOST_AUTO_TEST_CASE(an_abandoned_stream_is_stopped_unless_it_went_to_another_router)
{
    for (const auto stillSending : {false, true}) {
        Bench bench;
        const auto upstream = beginStream(bench);
        bench.feed(CallerGone{"r1"});
        BOOST_TEST(Bench::sent<Revoke>(bench.last).empty());
        for (auto second = 0; second < 11; ++second) {
            if (stillSending)
                bench.from(upstream, Chunk{"r1", 9, "data: 2\n\n"});
            bench.pass(1s, {upstream});
        }
        BOOST_TEST(Bench::sent<Revoke>(bench.all).size() == (stillSending ? 1U : 0U));
        BOOST_TEST(bench.body("r1") == "data: 1\n\n");
        BOOST_TEST(bench.node.counts().inFlight == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
