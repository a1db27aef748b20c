#include "applehatch/core/log-line.h"

#include <boost/test/unit_test.hpp>

using applehatch::core::LogLine;

BOOST_AUTO_TEST_SUITE(log_line)

// A caller puts a newline and a forged event into a header that is logged. The value must be
// escaped, so that the log still holds one line for it.
BOOST_AUTO_TEST_CASE(values_cannot_forge_a_line)
{
    const auto line = LogLine("route").add("chat", "a\nevent=drained reason=\"x\"").text();
    BOOST_TEST(line == R"(event=route chat="a\x0aevent=drained reason=\"x\"")");
}

BOOST_AUTO_TEST_CASE(plain_values_stay_unquoted)
{
    BOOST_TEST(LogLine("route").add("load", 7).add("empty", "").text()
               == "event=route load=7 empty=\"\"");
}

BOOST_AUTO_TEST_SUITE_END()
