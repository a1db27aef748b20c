#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto streamed(Submit submit) -> Submit
{
    submit.call.stream = true;
    return submit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_silence)

// The connection to the engine goes silent in mid-answer while new connections work. The engine
// still holds the stream: its caller must receive the rest, and the engine must not run it again.
BOOST_AUTO_TEST_CASE(a_stream_resumes_over_a_new_connection)
{
    Sidecar sidecar(poolOf(1, 4));
    const auto run = sidecar.run(streamed(sidecar.request("r1")));
    sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "begin "});
    sidecar.give(RunBroken{run, RunBreak::Silent});
    const auto again = sidecar.did<StartRun>();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].resumeFrom == 6U);
    BOOST_TEST(!again[0].call.body);
    BOOST_TEST(sidecar.node().counts().running == 1U);
    sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "rest"}).give(RunEnd{run});
    const auto ends = sidecar.sent<End>();
    BOOST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(ends[0].length == 10U);
    BOOST_TEST(ends[0].hash == stableHash("begin rest"));
}

// The engine no longer holds the stream, or every new connection goes silent too. The caller
// receives an error, and the number of tries is bounded.
BOOST_AUTO_TEST_CASE(a_stream_that_cannot_resume_is_reported)
{
    for (const auto holdsStream : {false, true}) {
        Sidecar sidecar(poolOf(1, 4));
        const auto run = sidecar.run(streamed(sidecar.request("r1")));
        sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "begin "});
        sidecar.give(RunBroken{run, RunBreak::Silent});
        BOOST_REQUIRE(sidecar.did<StartRun>().size() == 1U);
        if (holdsStream) {
            sidecar.give(RunBroken{run, RunBreak::Silent});
            sidecar.give(RunBroken{run, RunBreak::Silent});
        } else {
            sidecar.give(RunHead{run, 404, {}, false});
        }
        BOOST_TEST(outcomeOf(sidecar.refusal()) == "upstream-failed/ran");
        BOOST_TEST(sidecar.node().counts().running == 0U);
    }
}

// A run-once call or a plain answer is not a stream that the upstream holds, so its failure is
// reported at once.
BOOST_AUTO_TEST_CASE(only_streams_of_engines_resume)
{
    Sidecar sidecar(poolOf(1, 4));
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "begin "});
    sidecar.give(RunBroken{run, RunBreak::Silent});
    BOOST_TEST(sidecar.did<StartRun>().empty());
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "upstream-failed/ran");
}

// A caller in a tunnel loses its connection and resumes through another router. The first router
// gives the stream up after its 10 s; the caller must still receive the rest.
BOOST_AUTO_TEST_CASE(a_stream_resumed_at_another_router_outlives_the_first_ones_revoke)
{
    Sidecar sidecar(poolOf(1, 4));
    const auto run = sidecar.run(streamed(sidecar.request("r1")));
    sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "begin "});
    sidecar.give(PeerLinkUp{2}).from(Resume{"r1", "tai/c1", 6}, 2);
    sidecar.from(Revoke{"r1", 1, 7});
    BOOST_TEST(sidecar.did<CancelRun>().empty());
    sidecar.give(RunChunk{run, "rest"});
    BOOST_TEST(sidecar.sent<Chunk>().empty());
    BOOST_TEST(sidecar.sent<Chunk>(2).size() == 1U);
    sidecar.from(Revoke{"r1", 1, 7}, 2);
    BOOST_TEST(sidecar.did<CancelRun>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
