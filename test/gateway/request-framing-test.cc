// What may frame a chunked body of a request.
#include "applehatch/gateway/http-message.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace applehatch::gateway;

constexpr std::size_t headerBytes = 16384;
constexpr std::size_t bodyBytes = 4194304;
constexpr auto *head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Feeds the text in pieces of this size, as a connection does, until it is done or fails.
auto feedInPieces(RequestReader &reader, const std::string &text, std::size_t piece) -> ReadState
{
    std::string unread;
    for (std::size_t at = 0; at < text.size(); at += piece) {
        unread += text.substr(at, piece);
        const auto state = reader.feed(unread);
        if (state != ReadState::NeedMore)
            return state;
    }
    return ReadState::NeedMore;
}

auto readAll(const std::string &framedBody, std::size_t piece = 4000) -> ReadState
{
    RequestReader reader(headerBytes, bodyBytes);
    return feedInPieces(reader, head + framedBody, piece);
}

auto repeated(const std::string &text, std::size_t times) -> std::string
{
    std::string all;
    while (times-- > 0)
        all += text;
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_framing)

// Guards against a bound that refuses what the limits allow.
BOOST_AUTO_TEST_CASE(framing_within_the_limit_of_a_head_is_read)
{
    BOOST_TEST(
        (readAll("1\r\nb\r\n0\r\nX: " + std::string(16000, 'x') + "\r\n\r\n") == ReadState::Done));
    BOOST_TEST((readAll("1;" + std::string(16000, 'x') + "\r\nb\r\n0\r\n\r\n") == ReadState::Done));
    BOOST_TEST((readAll(repeated("1\r\nb\r\n", 200000) + "0\r\n\r\n") == ReadState::Done));
    BOOST_TEST(
        (readAll(repeated("0000000000000001\r\nb\r\n", 50000) + "0\r\n\r\n") == ReadState::Done));
    BOOST_TEST((readAll("1\r\nb\r\n0\r\nX: y\r\n\r\n", 1) == ReadState::Done));
}

// Guards against framing that goes on in many small parts, each within its limit.
BOOST_AUTO_TEST_CASE(framing_is_bounded_in_sum)
{
    BOOST_TEST(
        (readAll(repeated("1;" + std::string(1000, 'x') + "\r\nb\r\n", 40)) == ReadState::Failed));
    BOOST_TEST((readAll(repeated("1;x\r\nb\r\n", 10) + "0\r\n" + repeated("a: b\r\n", 3000))
                == ReadState::Failed));
    RequestReader reader(headerBytes, bodyBytes);
    const auto endless = head + std::string("1;") + std::string(40000, 'x');
    BOOST_TEST((feedInPieces(reader, endless, 4000) == ReadState::Failed));
    BOOST_TEST((reader.fault() == RequestFault::HeaderTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()
