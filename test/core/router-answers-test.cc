#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

} // namespace

BOOST_AUTO_TEST_SUITE(router_answers)

BOOST_AUTO_TEST_CASE(a_request_goes_to_one_sidecar_and_its_answer_back_whole)
{
    Bench bench;
    auto request = chatRequest("r1", 11);
    request.call.stream = true;
    bench.feed(request);
    const auto upstream = bench.openAsked();
    const auto submits = Bench::sent<Submit>(bench.last);
    BOOST_REQUIRE(submits.size() == 1U);
    BOOST_TEST(submits[0].attempt == 1U);
    BOOST_TEST(submits[0].target == life);
    BOOST_TEST((submits[0].notAfter == start + clockOffset + 120s));

    bench.from(upstream, Head{"r1", 1, 200, {{"Content-Type", "text/event-stream"}}, false, true});
    const auto heads = Bench::of<AnswerHead>(bench.last);
    BOOST_REQUIRE(heads.size() == 1U);
    const auto &headers = heads[0].headers;
    const auto has = [&](const std::string &name, const std::string &value) {
        return std::find(headers.begin(), headers.end(), std::pair(name, value)) != headers.end();
    };
    BOOST_TEST(has("Applehatch-Context", formatContext({upstream, life})));
    BOOST_TEST(has("Applehatch-Cache", "warm"));
    BOOST_TEST(has("Applehatch-Request", "r1"));

    const std::string body = "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n";
    bench.from(upstream, Chunk{"r1", 0, body.substr(0, 12)});
    bench.from(upstream, Chunk{"r1", 12, body.substr(12)});
    const auto chunks = Bench::of<AnswerChunk>(bench.all);
    BOOST_REQUIRE(chunks.size() == 3U);
    BOOST_TEST(chunks[1].data == "data: b\r\n\r\n");
    BOOST_TEST(chunks[1].position == formatPosition({upstream, "r1", 20}));

    bench.from(upstream, End{"r1", body.size(), stableHash(body), {}});
    BOOST_TEST(Bench::of<AnswerEnd>(bench.last).size() == 1U);
    BOOST_TEST(bench.body("r1") == body);
    BOOST_TEST(bench.node.counts().warm == 1U);

    bench.feed(CallerConsumed{"r1", body.size()});
    const auto acknowledged = Bench::sent<Acknowledge>(bench.last);
    BOOST_REQUIRE(acknowledged.size() == 1U);
    BOOST_TEST(acknowledged[0].finished);
    BOOST_TEST(bench.node.counts().inFlight == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
