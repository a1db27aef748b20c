// Cutting a stream into events, in whatever pieces it arrives.
#include "applehatch/gateway/event-splitter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace {

using applehatch::gateway::EventSplitter;

/// Returns where the complete events in `text` end, by a plain search from the front of each.
auto endOfEvents(std::string_view text) -> std::size_t
{
    std::size_t whole = 0;
    for (;;) {
        const auto plain = text.find("\n\n", whole);
        const auto withReturns = text.find("\r\n\r\n", whole);
        if (plain == std::string_view::npos && withReturns == std::string_view::npos)
            return whole;
        whole = plain < withReturns ? plain + 2 : withReturns + 4;
    }
}

/// Feeds `text` in pieces of the sizes in `pieces`, by turns; checks what comes out at each.
auto checkInPieces(const std::string &text, const std::vector<std::size_t> &pieces) -> void
{
    EventSplitter splitter;
    std::string out;
    std::size_t fed = 0;
    for (std::size_t i = 0; fed < text.size(); ++i) {
        const auto size = std::min(pieces[i % pieces.size()], text.size() - fed);
        out += splitter.feed(std::string_view(text).substr(fed, size));
        fed += size;
        const auto expected = endOfEvents(std::string_view(text).substr(0, fed));
        BOOST_REQUIRE_EQUAL(out, text.substr(0, expected));
        BOOST_REQUIRE_EQUAL(splitter.partial(), text.substr(expected, fed - expected));
    }
}

/// Returns the processor time that this thread has used.
auto processorTime() -> std::chrono::nanoseconds
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Returns the processor time of `reads` pieces behind an unfinished event of `kept` bytes.
auto timeOfReads(std::size_t kept, std::string_view piece, int reads) -> std::chrono::nanoseconds
{
    std::string event;
    while (event.size() < kept)
        event += ":\n";
    EventSplitter splitter;
    (void)splitter.feed(event);
    const auto begun = processorTime();
    for (int i = 0; i < reads; ++i)
        (void)splitter.feed(piece);
    return processorTime() - begun;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_event_splitter)

// Guards against an event that is cut or joined where a read ends inside of its blank line.
BOOST_AUTO_TEST_CASE(events_are_cut_alike_in_whatever_pieces_they_arrive)
{
    const std::vector<std::string> texts = {
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
        "data: a\n\r\ndata: b\r\n\ndata: c\n\r\n\r\n\n\n\r\n\r\nrest\r\n",
        "\n\n\n\n\r\n\r\n\n\r\n\r\n\r\r\n\n",
    };
    for (const auto &text : texts) {
        for (std::size_t first = 1; first <= text.size(); ++first) {
            for (std::size_t second = 1; second <= text.size(); ++second)
                checkInPieces(text, {first, second});
        }
    }
}

// Guards against a rare order of line ends that is cut in another place than the plain search does.
BOOST_AUTO_TEST_CASE(random_line_ends_are_cut_as_the_plain_search_does)
{
    constexpr int rounds = 2000;
    constexpr std::size_t length = 60;
    std::mt19937 random(20261207);
    for (int round = 0; round < rounds; ++round) {
        std::string text;
        while (text.size() < length)
            text += "\r\n\nx"[random() % 4];
        checkInPieces(text, {1 + random() % 7, 1 + random() % 7, 1 + random() % 7});
    }
}

// Guards against a process that answers nobody since each read searches all that is kept again.
BOOST_AUTO_TEST_CASE(a_read_costs_the_same_behind_a_long_unfinished_event)
{
    constexpr std::size_t manyBytes = 1000000;
    constexpr int reads = 400;
    // The search of all that is kept takes some hundred times as long.
    constexpr int margin = 20;
    const auto shortEvent = timeOfReads(1000, ":\n", reads);
    const auto longEvent = timeOfReads(manyBytes, ":\n", reads);
    BOOST_TEST(longEvent.count() < margin * shortEvent.count() + 1000000);
}

// Guards against small events that cost more the more of them one read brings.
BOOST_AUTO_TEST_CASE(small_events_in_one_read_cost_no_more_than_one_by_one)
{
    constexpr int events = 20000;
    constexpr int margin = 20;
    const std::string_view event = "id: 1\ndata: x\n\n";
    std::string together;
    for (int i = 0; i < events; ++i)
        together += event;
    const auto single = timeOfReads(2, event, events);
    const auto joined = timeOfReads(2, together, 1);
    BOOST_TEST(joined.count() < margin * single.count());
}

BOOST_AUTO_TEST_SUITE_END()
