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

// The connection to the engine goes silent half way through an answer while new ones work. The
// engine still holds the stream; its caller must get the rest and the engine must not run it again.
BOOST_AUTO_TEST_CASE(a_stream_goes_on_over_a_new_connection)
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

// The engine does not hold the stream any more, or every new connection goes silent too. The caller
// is told, and the tries have an end.
BOOST_AUTO_TEST_CASE(what_cannot_go_on_is_told)
{
    for (const auto held : {false, true}) {
        Sidecar sidecar(poolOf(1, 4));
        const auto run = sidecar.run(streamed(sidecar.request("r1")));
        sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "begin "});
        sidecar.give(RunBroken{run, RunBreak::Silent});
        BOOST_REQUIRE(sidecar.did<StartRun>().size() == 1U);
        if (held) {
            sidecar.give(RunBroken{run, RunBreak::Silent});
            sidecar.give(RunBroken{run, RunBreak::Silent});
        } else {
            sidecar.give(RunHead{run, 404, {}, false});
        }
        BOOST_TEST(told(sidecar.refusal()) == "upstream-failed/ran");
        BOOST_TEST(sidecar.node().counts().running == 0U);
    }
}

// A run-once call or a plain answer is not a stream that the upstream holds: it is told at once.
BOOST_AUTO_TEST_CASE(only_streams_of_engines_go_on)
{
    Sidecar sidecar(poolOf(1, 4));
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "begin "});
    sidecar.give(RunBroken{run, RunBreak::Silent});
    BOOST_TEST(sidecar.did<StartRun>().empty());
    BOOST_TEST(told(sidecar.refusal()) == "upstream-failed/ran");
}

// A caller in a tunnel loses its connection and goes on through another router. The first router
// gives the stream up when its 10 s are over; the caller must still get the rest.
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
