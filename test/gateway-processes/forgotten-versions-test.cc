// Streams that are taken up after all gateways, real processes, ended at once.
#include "process-fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::gateway::testing;
namespace data = boost::unit_test::data;

/// Gateways of the fleets.
constexpr std::size_t sizes[] = {3, 12};

/// Streams run at engines of v1 when those of v2 come.
class ReleaseFleet : public ProcessFleet
{
public:
    explicit ReleaseFleet(std::size_t size)
        : ProcessFleet(size)
    {
        addEngine("v1");
        addEngine("v1");
        store.forget();
        awaitServing();
        beginStreams();
        addEngine("v2");
        addEngine("v2");
        awaitLog("event=several-versions");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(forgotten_versions)

// Guards against taking the version that is left, when all gateways ended, for the only one.
BOOST_DATA_TEST_CASE(no_stream_goes_on_at_the_version_that_is_left, data::make(sizes), size)
{
    ReleaseFleet fleet(size);
    fleet.removeVersion("v1");
    fleet.restartAllBut(0);
    BOOST_TEST(fleet.takeUpStreams() == 0U);
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against a new gateway that believes its list before a peer that knows more is heard.
BOOST_DATA_TEST_CASE(no_stream_changes_its_version_where_one_gateway_lives_on, data::make(sizes),
                     size)
{
    ReleaseFleet fleet(size);
    fleet.removeVersion("v1");
    fleet.restartAllBut(1);
    fleet.takeUpStreams();
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against joined streams while both versions serve.
BOOST_DATA_TEST_CASE(no_stream_changes_its_version_while_both_serve, data::make(sizes), size)
{
    ReleaseFleet fleet(size);
    fleet.restartAllBut(0);
    fleet.takeUpStreams();
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against refusing the streams of a fleet that never had another version.
BOOST_DATA_TEST_CASE(every_stream_goes_on_where_one_version_served_throughout, data::make(sizes),
                     size)
{
    ProcessFleet fleet(size);
    fleet.addEngine("v1");
    fleet.addEngine("v1");
    fleet.store.forget();
    fleet.awaitServing();
    fleet.beginStreams();
    fleet.restartAllBut(0);
    BOOST_TEST(fleet.takeUpStreams() == size);
}

BOOST_AUTO_TEST_SUITE_END()
