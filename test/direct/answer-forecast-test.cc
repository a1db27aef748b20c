#include "applehatch/direct/answer-forecast.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr double tolerated = 0.01;

auto shortStream() -> AnswerKind
{
    return {"label", "pool", true, 20};
}

auto longStream() -> AnswerKind
{
    return {"label", "pool", true, 600};
}

/// Answers of one kind, one after another.
class Played
{
public:
    auto play(const AnswerKind &kind, Duration took, int times) -> void
    {
        for (int i = 0; i < times; ++i) {
            forecast.noteBegun(kind, now);
            now += took;
            forecast.noteEnded(kind, now - took, true, now);
        }
    }
    [[nodiscard]] auto fits(const AnswerKind &kind, Duration left) const -> bool
    {
        return !forecast.whyNotWithin(kind, left, tolerated, now);
    }

    AnswerForecast forecast;
    Instant now{1h};
};

} // namespace

BOOST_AUTO_TEST_SUITE(answer_forecast)

// Guards against streams of few tokens that are taken, whatever they took lately, since few tokens
// look quick.
BOOST_AUTO_TEST_CASE(a_stream_of_few_tokens_is_judged_by_how_long_its_like_took)
{
    Played played;
    played.play(shortStream(), 3s, 20);
    BOOST_TEST(!played.fits(shortStream(), 4s));
    BOOST_TEST(played.fits(shortStream(), 5s));
}

// Guards against refusing short streams because others of their route are long.
BOOST_AUTO_TEST_CASE(streams_of_other_lengths_are_another_kind)
{
    Played played;
    played.play(longStream(), 9s, 20);
    played.play(shortStream(), 100ms, 20);
    BOOST_TEST(played.fits(shortStream(), 1s));
    BOOST_TEST(!played.fits(longStream(), 10s));
}

// Guards against taking streams of a kind that is not known while those of its service take long.
BOOST_AUTO_TEST_CASE(an_unknown_kind_is_judged_by_its_service)
{
    Played played;
    played.play(longStream(), 9s, 20);
    BOOST_TEST(!played.fits(shortStream(), 5s));
}

// Guards against a slowdown that many quick answers of minutes ago hide.
BOOST_AUTO_TEST_CASE(a_kind_that_has_turned_slow_is_noticed_by_its_latest_answers)
{
    Played played;
    played.play(shortStream(), 100ms, 250);
    BOOST_TEST(played.fits(shortStream(), 2s));
    played.play(shortStream(), 1600ms, 2);
    BOOST_TEST(!played.fits(shortStream(), 2s));
}

// Guards against noticing a slowdown only once the first slow answers have ended.
BOOST_AUTO_TEST_CASE(answers_that_run_for_longer_already_count)
{
    Played played;
    played.play(shortStream(), 100ms, 250);
    for (int i = 0; i < 3; ++i)
        played.forecast.noteBegun(shortStream(), played.now);
    played.now += 1500ms;
    BOOST_TEST(!played.fits(shortStream(), 2s));
}

// Guards against refusing everything just after a start: few tokens are quick as far as is known.
BOOST_AUTO_TEST_CASE(tokens_decide_only_where_next_to_nothing_is_known)
{
    Played played;
    BOOST_TEST(played.fits(shortStream(), 4s));
    BOOST_TEST(!played.fits({"label", "pool", true, 2000}, 4s));
    BOOST_TEST(!played.fits({"label", "pool", true, 0}, 4s));
    BOOST_TEST(!played.fits({"save", "app", false, 0}, 4s));
    played.play(shortStream(), 3s, 1);
    BOOST_TEST(!played.fits(shortStream(), 4s));
}

BOOST_AUTO_TEST_SUITE_END()
