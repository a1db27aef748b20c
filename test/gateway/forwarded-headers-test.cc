// Which headers go on to an upstream.
#include "forwarded-message.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace applehatch::gateway;

} // namespace

BOOST_AUTO_TEST_SUITE(forwarded_headers)

// Guards against a header that goes on since its name is written in another way.
BOOST_AUTO_TEST_CASE(dropped_names_are_found_in_any_case_and_order)
{
    HeaderList headers;
    for (const auto *name : {"Keep", "x-b", "X-A", "Z", "x-ab", "KEEP-too"})
        headers.add(name, "value");
    const auto remaining = headersWithout(headers, {"z", "X-B", "x-a", "none"});
    BOOST_REQUIRE(remaining.fields().size() == 3U);
    BOOST_TEST(remaining.fields()[0].name == "Keep");
    BOOST_TEST(remaining.fields()[1].name == "x-ab");
    BOOST_TEST(remaining.fields()[2].name == "KEEP-too");
}

BOOST_AUTO_TEST_SUITE_END()
