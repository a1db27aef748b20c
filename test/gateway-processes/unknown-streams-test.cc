// Streams that no gateway, real processes, knows any more, while two versions serve.
#include "process-fleet.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::gateway::testing;

constexpr std::size_t gatewayCount = 3;
constexpr std::size_t streamCount = 24;

/// A fleet that has run for long with these engines, as far as its store tells.
class LongRunningFleet : public ProcessFleet
{
public:
    explicit LongRunningFleet(const std::vector<std::string> &versions)
        : ProcessFleet(gatewayCount)
    {
        for (const auto &version : versions)
            addEngine(version);
        store.forget();
        awaitServing();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(unknown_streams)

// Guards against refusing all streams of a service with two versions once all gateways have ended.
BOOST_AUTO_TEST_CASE(streams_go_on_after_all_gateways_ended_while_two_versions_serve)
{
    LongRunningFleet fleet({"v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"});
    fleet.beginStreams(streamCount, gatewayCount);
    fleet.restartAllBut(0);
    BOOST_TEST(fleet.takeUpStreamsAt(0, streamCount) == streamCount);
    BOOST_TEST(fleet.joinedStreams() == 0U);
    BOOST_TEST(fleet.resumedAt("v1") > 0U);
    BOOST_TEST(fleet.resumedAt("v2") > 0U);
}

// Guards against refusing the streams of a gateway that ended just before a version joined.
BOOST_AUTO_TEST_CASE(streams_of_a_gateway_that_ended_before_a_release_go_on)
{
    LongRunningFleet fleet({"v1", "v1", "v1", "v1", "v1", "v1"});
    fleet.beginStreams(streamCount, 1);
    fleet.restart(0);
    fleet.addEngine("v2");
    fleet.addEngine("v2");
    fleet.awaitLog("event=several-versions");
    BOOST_TEST(fleet.takeUpStreamsAt(1, streamCount) > streamCount * 3 / 4);
    BOOST_TEST(fleet.joinedStreams() == 0U);
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
