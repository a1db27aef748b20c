#include "core/router-fleet.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;
using namespace applehatch::core::test::fleet;

constexpr std::uint64_t seed = 20261202;
constexpr std::uint64_t worlds = 40;

} // namespace

BOOST_AUTO_TEST_SUITE(router_fleet)

// Routers and sidecars together: links break or go silent, sidecars restart, upstreams break off,
// and callers lose their connections and come back through the other router. Each caller must get
// the whole of one answer, or a failure that is true.
BOOST_AUTO_TEST_CASE(callers_get_whole_answers_or_true_failures_from_both_nodes_together)
{
    BOOST_TEST_MESSAGE("seed " << seed << ", " << worlds << " worlds");
    Seen seen;
    for (std::uint64_t world = 0; world < worlds; ++world) {
        BOOST_TEST_CONTEXT("world " << world)
        {
            Fleet(seed + world, seen).run();
        }
    }
    BOOST_TEST_MESSAGE("links broken "
                       << seen.linksBroken << ", silent " << seen.linksSilent << ", restarts "
                       << seen.restarts << ", callers back " << seen.callersBack << "; whole "
                       << seen.wholeAnswers << " (" << seen.wholeAfterReturn
                       << " after a return), not run " << seen.notRun << ", other failures "
                       << seen.otherFailures);
    for (const auto count : {seen.linksBroken, seen.linksSilent, seen.restarts, seen.callersBack,
                             seen.wholeAnswers, seen.wholeAfterReturn, seen.otherFailures})
        BOOST_TEST(count > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
