// How long requests took lately, for a process that is shutting down.
#include "applehatch/direct/answer-times.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

const Instant start{1h};

auto add(AnswerTimes &times, std::size_t count, Duration took, const std::string &route = "route",
         const std::string &service = "service") -> void
{
    for (std::size_t i = 0; i < count; ++i) {
        times.noteBegun(route, service, start - took);
        times.noteEnded(route, service, start - took, true, start);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_times)

// Guards against a service that mostly answers at once being taken for one that always does.
BOOST_AUTO_TEST_CASE(a_few_slow_answers_are_counted_among_many)
{
    AnswerTimes times;
    add(times, 90, 50ms);
    add(times, 10, 2s);
    const auto share = times.longerThan("route", "service", 1s, start + 1s);
    BOOST_TEST(share.longer == 10U);
    BOOST_TEST(share.known == 100U);
}

// Guards against missing a service that has just turned slow and answers nothing.
BOOST_AUTO_TEST_CASE(requests_that_still_run_count_once_they_have_run_for_longer)
{
    AnswerTimes times;
    add(times, 20, 50ms);
    for (int i = 0; i < 5; ++i)
        times.noteBegun("route", "service", start);
    BOOST_TEST(times.longerThan("route", "service", 1s, start + 900ms).longer == 0U);
    const auto share = times.longerThan("route", "service", 1s, start + 1100ms);
    BOOST_TEST(share.longer == 5U);
    BOOST_TEST(share.known == 25U);
}

// Guards against refusing requests of a new route although its service is known.
BOOST_AUTO_TEST_CASE(a_new_route_counts_as_its_service_does)
{
    AnswerTimes times;
    add(times, 30, 50ms);
    times.noteBegun("new", "service", start);
    BOOST_TEST(times.longerThan("new", "service", 1s, start).known == 30U);
    BOOST_TEST(times.longerThan("new", "other", 1s, start).known == 0U);
}

// Guards against a request whose caller left early making its service look fast.
BOOST_AUTO_TEST_CASE(a_request_that_did_not_run_to_its_end_says_nothing)
{
    AnswerTimes times;
    times.noteBegun("route", "service", start);
    times.noteEnded("route", "service", start, false, start + 10ms);
    BOOST_TEST(times.longerThan("route", "service", 1s, start + 2s).known == 0U);
}

// Guards against memory that grows with the time that a process runs.
BOOST_AUTO_TEST_CASE(what_is_kept_is_bounded)
{
    AnswerTimes times;
    add(times, 10 * AnswerTimes::maxKept, 50ms);
    BOOST_TEST(times.longerThan("route", "service", 1s, start).known == AnswerTimes::maxKept);
    const auto later = start + AnswerTimes::memory + 1s;
    times.expire(later);
    BOOST_TEST(times.longerThan("route", "service", 1s, later).known == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
