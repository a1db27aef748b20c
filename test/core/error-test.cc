#include "applehatch/core/error.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace applehatch::core;

constexpr auto lastKind = static_cast<int>(ErrorKind::Internal);

} // namespace

BOOST_AUTO_TEST_SUITE(error)

BOOST_AUTO_TEST_CASE(every_kind_has_its_own_row)
{
    std::set<std::string_view> names;
    for (auto code = 1; code <= lastKind; ++code) {
        const auto kind = static_cast<ErrorKind>(code);
        const auto &answer = answerFor(kind);
        BOOST_TEST((answer.kind == kind), code);
        BOOST_TEST(names.insert(answer.name).second, answer.name);
        BOOST_TEST((answer.status >= 400 && answer.status < 600), answer.name);
        BOOST_TEST(make_error_code(kind).message() == answer.title);
    }
}

// Retrying a request that may already have run would run it twice. The table must not allow a retry
// at another upstream for the kinds that leave the outcome open.
BOOST_AUTO_TEST_CASE(open_outcomes_are_never_retried_elsewhere)
{
    for (const auto kind :
         {ErrorKind::OutcomeUnknown, ErrorKind::CrashSuspect, ErrorKind::KeyReused,
          ErrorKind::ResendWindow, ErrorKind::TicketExpired})
        BOOST_TEST(!answerFor(kind).retryElsewhere, answerFor(kind).name);
}

BOOST_AUTO_TEST_SUITE_END()
