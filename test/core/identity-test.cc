#include "applehatch/core/identity.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

BOOST_AUTO_TEST_SUITE(identity)

// A sidecar records refused attempts by a hash of the request id and the attempt number. If two
// hashes collide, it reports a running request as "not run", and the caller sends it again.
BOOST_AUTO_TEST_CASE(short_inputs_under_small_seeds_do_not_collide)
{
    std::set<std::uint64_t> hashes;
    constexpr auto requests = 1000;
    constexpr auto attempts = 5;
    for (auto request = 0; request < requests; ++request) {
        for (std::uint64_t attempt = 1; attempt <= attempts; ++attempt)
            hashes.insert(applehatch::core::stableHash('r' + std::to_string(request), attempt));
    }
    BOOST_TEST(hashes.size() == static_cast<std::size_t>(requests * attempts));
}

BOOST_AUTO_TEST_SUITE_END()
