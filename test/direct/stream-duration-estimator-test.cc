#include "applehatch/direct/stream-duration-estimator.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(stream_pace)

// A router that shuts down accepts a stream that it expects to end in time. Callers allow for more
// tokens than most answers have: here nine in ten end at a fifth of the allowed number. A stream
// that uses all of its 300 tokens takes 4.5 s at 15 ms each. An estimate of twice the mean time per
// token would be 3.5 s, so the stream would be accepted with 4.2 s left and cut off in the middle.
BOOST_AUTO_TEST_CASE(a_stream_that_uses_all_of_its_tokens_is_not_cut)
{
    StreamDurationEstimator pace;
    for (int i = 0; i < 200; ++i)
        pace.noteStream(300, i % 10 == 0 ? Duration(4500ms) : Duration(900ms));
    BOOST_TEST(!pace.endsWithin(300, 4200ms));
    BOOST_TEST(pace.endsWithin(100, 4200ms));
}

// Engines that were overloaded are fast again. Streams must not be refused for minutes afterwards.
BOOST_AUTO_TEST_CASE(a_slow_period_is_forgotten)
{
    StreamDurationEstimator pace;
    pace.noteStream(300, 30s);
    for (int i = 0; i < 200; ++i)
        pace.noteStream(300, 1500ms);
    BOOST_TEST(pace.endsWithin(300, 4200ms));
}

// The wait for the first token says nothing about the time per token, and an answer of a few tokens
// says little.
BOOST_AUTO_TEST_CASE(short_streams_do_not_count)
{
    StreamDurationEstimator pace;
    for (int i = 0; i < 200; ++i)
        pace.noteStream(300, 1500ms);
    pace.noteStream(5, 1s);
    BOOST_TEST(pace.endsWithin(300, 4200ms));
}

BOOST_AUTO_TEST_SUITE_END()
