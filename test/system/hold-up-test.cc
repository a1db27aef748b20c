#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;

constexpr std::size_t streams = 20;
constexpr std::size_t tokens = 400; // 10 s each.

auto smallFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 2;
    options.routers = 1;
    options.slots = 64;
    options.tokensPerSecond = 40;
    options.pool = {{"loadMultiple", 10.0}};
    return options;
}

/// Holds up `process` for `time` while streams go through it, and reads them to their ends.
auto expectWholeAfter(Fleet &fleet, experiment::Process &process, std::chrono::milliseconds time)
    -> void
{
    OpenStreams open(fleet, streams, tokens);
    process.pause();
    std::this_thread::sleep_for(time);
    process.resume();
    open.expectWhole();
}

auto logged(const experiment::Process &process, const std::string &event) -> bool
{
    return process.output().find("event=" + event + ' ') != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(hold_up)

// Guards against a router that was held up for less than a link's silence losing links or streams.
BOOST_AUTO_TEST_CASE(a_router_held_up_for_three_seconds_loses_no_link)
{
    Fleet fleet(smallFleet());
    expectWholeAfter(fleet, *fleet.router(0).process, 3s);
    BOOST_TEST(!logged(*fleet.router(0).process, "link-lost"));
}

// Guards against streams cut by a router that was held up for longer than a link's silence.
BOOST_AUTO_TEST_CASE(a_router_held_up_for_six_seconds_cuts_no_stream)
{
    Fleet fleet(smallFleet());
    expectWholeAfter(fleet, *fleet.router(0).process, 6s);
    BOOST_TEST(!logged(*fleet.router(0).process, "answer-failed"));
}

// Guards against a sidecar that takes its own hold-up for the silence of its router or its engine.
BOOST_AUTO_TEST_CASE(a_sidecar_held_up_for_longer_than_any_silence_blames_nobody)
{
    Fleet fleet(smallFleet());
    auto &sidecar = *fleet.engine(0).sidecar;
    expectWholeAfter(fleet, sidecar, 7s);
    BOOST_TEST_CONTEXT(sidecar.output())
    {
        BOOST_TEST(!logged(sidecar, "link-silent"));
        BOOST_TEST(!logged(sidecar, "reconnect"));
        BOOST_TEST(!logged(sidecar, "fail"));
    }
}

// Guards against streams cut by an engine that was held up for longer than it ever pauses.
BOOST_AUTO_TEST_CASE(an_engine_held_up_for_six_seconds_cuts_no_stream)
{
    Fleet fleet(smallFleet());
    expectWholeAfter(fleet, *fleet.engine(0).upstream, 6s);
    BOOST_TEST(!logged(*fleet.router(0).process, "answer-failed"));
}

BOOST_AUTO_TEST_SUITE_END()
