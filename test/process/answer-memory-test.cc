// What a server keeps of answers whose callers do not take them.
#include "applehatch/process/answer-memory.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace applehatch::process {

namespace {

constexpr std::size_t limit = 1000;

struct CountedAnswer
{
    explicit CountedAnswer(const std::shared_ptr<AnswerMemory> &memory)
        : answer(memory, "caller")
    {
        answer.onGivenWay([this] { ++calls; });
    }

    AnswerMemory::Answer answer;
    int calls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(answer_memory)

BOOST_AUTO_TEST_CASE(answers_that_fit_are_kept)
{
    const auto memory = std::make_shared<AnswerMemory>(limit);
    CountedAnswer first(memory);
    CountedAnswer second(memory);
    BOOST_TEST(first.answer.keep(limit / 2));
    BOOST_TEST(second.answer.keep(limit / 2));
    BOOST_TEST(!first.answer.hasGivenWay());
    BOOST_TEST(memory->takeGivenWay() == 0U);
}

// Guards against a small answer that is refused because large ones came before.
BOOST_AUTO_TEST_CASE(the_largest_gives_way_when_none_stands_still)
{
    const auto memory = std::make_shared<AnswerMemory>(limit);
    CountedAnswer large(memory);
    CountedAnswer small(memory);
    BOOST_TEST(large.answer.keep(limit));
    BOOST_TEST(small.answer.keep(1));
    BOOST_TEST(large.answer.hasGivenWay());
    BOOST_TEST(large.calls == 1);
    BOOST_TEST(!large.answer.keep(1));
    BOOST_TEST(!small.answer.hasGivenWay());
    BOOST_TEST(memory->takeGivenWay() == 1U);
}

// Guards against memory that is counted after it was written, or after its answer ended.
BOOST_AUTO_TEST_CASE(what_is_released_is_room_for_others)
{
    const auto memory = std::make_shared<AnswerMemory>(limit);
    CountedAnswer first(memory);
    BOOST_TEST(first.answer.keep(limit));
    first.answer.release(limit);
    {
        CountedAnswer second(memory);
        BOOST_TEST(second.answer.keep(limit));
    }
    BOOST_TEST(first.answer.keep(limit));
    BOOST_TEST(memory->takeGivenWay() == 0U);
}

// Guards against a hook that refers to what is gone.
BOOST_AUTO_TEST_CASE(a_hook_that_was_taken_back_is_not_called)
{
    const auto memory = std::make_shared<AnswerMemory>(limit);
    CountedAnswer answer(memory);
    answer.answer.onGivenWay(nullptr);
    BOOST_TEST(!answer.answer.keep(limit + 1));
    BOOST_TEST(answer.calls == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::process
