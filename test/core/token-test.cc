#include "applehatch/core/token.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(token)

BOOST_AUTO_TEST_CASE(tokens_round_trip)
{
    const Ticket ticket{{7, 9}, "tai/jobs", 42, Instant{5s}};
    const auto parsedTicket = parseTicket(formatTicket(ticket));
    BOOST_REQUIRE(parsedTicket.has_value());
    BOOST_TEST(parsedTicket->pool == "tai/jobs");
    BOOST_TEST(parsedTicket->nonce == 42U);
    BOOST_TEST((parsedTicket->target == ticket.target));
    BOOST_TEST((parsedTicket->expires == ticket.expires));

    const auto position = parsePosition(formatPosition({7, "r1.x", 4096}));
    BOOST_REQUIRE(position.has_value());
    BOOST_TEST(position->request == "r1.x");
    BOOST_TEST(position->offset == 4096U);
}

// Tokens come back from callers, who may truncate or alter them.
BOOST_AUTO_TEST_CASE(malformed_tokens_are_refused)
{
    for (const auto *text : {"", ".", "zz.1", "1", "1.2.3.4.", "ffffffffffffffffff.1", "1. 2"}) {
        BOOST_TEST(!parseContext(text).has_value(), text);
        BOOST_TEST(!parseTicket(text).has_value(), text);
    }
    for (const auto *text : {"", "1.2.", "x.2.r", "1..r"})
        BOOST_TEST(!parsePosition(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
