#include "applehatch/direct/stream-pace.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(stream_pace)

// A router that stops takes a stream which it expects to end in time. Callers allow for more tokens
// than most answers have: here nine in ten end at a fifth of what they may have. One that uses all
// of its 300 tokens takes 4.5 s at 15 ms each; expected at twice the mean pace, 3.5 s, it would be
// taken with 4.2 s left, and its caller would see it cut in the middle.
BOOST_AUTO_TEST_CASE(a_stream_that_uses_all_of_its_tokens_is_not_cut)
{
    StreamPace pace;
    for (int i = 0; i < 200; ++i)
        pace.noteStream(300, i % 10 == 0 ? Duration(4500ms) : Duration(900ms));
    BOOST_TEST(!pace.endsWithin(300, 4200ms));
    BOOST_TEST(pace.endsWithin(100, 4200ms));
}

// Engines that were crowded are quick again. Streams must not be refused for minutes after.
BOOST_AUTO_TEST_CASE(a_slow_moment_is_forgotten)
{
    StreamPace pace;
    pace.noteStream(300, 30s);
    for (int i = 0; i < 200; ++i)
        pace.noteStream(300, 1500ms);
    BOOST_TEST(pace.endsWithin(300, 4200ms));
}

// The first token's wait says nothing of the pace, and an answer of a few tokens little.
BOOST_AUTO_TEST_CASE(short_streams_do_not_count)
{
    StreamPace pace;
    for (int i = 0; i < 200; ++i)
        pace.noteStream(300, 1500ms);
    pace.noteStream(5, 1s);
    BOOST_TEST(pace.endsWithin(300, 4200ms));
}

BOOST_AUTO_TEST_SUITE_END()
