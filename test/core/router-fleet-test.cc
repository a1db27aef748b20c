#include "core/router-fleet.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;
using namespace applehatch::core::test::fleet;

constexpr std::uint64_t seed = 20261202;
constexpr std::uint64_t worlds = 40;

} // namespace

BOOST_AUTO_TEST_SUITE(router_fleet)

// Runs routers and sidecars together: links break or go silent, sidecars restart, upstreams abort
// runs, and callers lose their connections and reconnect through the other router. Each caller must
// get one complete answer or a failure that states the outcome correctly.
BOOST_AUTO_TEST_CASE(callers_get_whole_answers_or_true_failures_from_routers_and_sidecars_together)
{
    BOOST_TEST_MESSAGE("seed " << seed << ", " << worlds << " worlds");
    FleetCounts counts;
    for (std::uint64_t world = 0; world < worlds; ++world) {
        BOOST_TEST_CONTEXT("world " << world)
        {
            Fleet(seed + world, counts).run();
        }
    }
    BOOST_TEST_MESSAGE("links broken "
                       << counts.linksBroken << ", silent " << counts.linksSilent << ", restarts "
                       << counts.restarts << ", callers back " << counts.callersReconnected
                       << "; whole " << counts.wholeAnswers << " (" << counts.wholeAfterReconnect
                       << " after a return), not run " << counts.notRun << ", other failures "
                       << counts.otherFailures);
    for (const auto count :
         {counts.linksBroken, counts.linksSilent, counts.restarts, counts.callersReconnected,
          counts.wholeAnswers, counts.wholeAfterReconnect, counts.otherFailures})
        BOOST_TEST(count > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
