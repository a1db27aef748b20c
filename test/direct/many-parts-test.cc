// Prompts of thousands of parts under which upstreams crash.
#include "applehatch/direct/part-suspects.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <ctime>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr auto start = Instant(1000s);
constexpr PartKey guilty = 1;

/// Returns the processor time that this thread has used.
auto processorTime() -> std::chrono::nanoseconds
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Chats whose prompts share one part, and hold many of their own.
class LongChats
{
public:
    LongChats(std::size_t chats, std::size_t parts)
    {
        PartKey next = guilty;
        for (std::size_t chat = 0; chat < chats; ++chat) {
            chats_.emplace_back(1, guilty);
            for (std::size_t i = 0; i < parts; ++i)
                chats_.back().push_back(++next);
        }
    }

    /// An upstream crashes under a request of each chat; whoever keeps these breaks is asked at
    /// each of them what has changed, as for each message of a peer.
    auto crashAll() -> void
    {
        now += 500ms;
        for (const auto &parts : chats_) {
            now += 200ms;
            ++upstream_;
            ++request_;
            for (const auto part : parts) {
                suspects.noteBreak(part, {upstream_, request_, now - 100ms, now}, now);
                changes += suspects.takeChanges(now).size();
            }
            (void)suspects.nextReports(now);
            (void)suspects.explains(upstream_, now);
        }
    }
    [[nodiscard]] auto isRefused(std::size_t chat) -> bool
    {
        return suspects.refuses(guilty, chats_[chat], now);
    }

    PartSuspects suspects;
    Instant now = start;
    std::size_t changes = 0;

private:
    std::vector<std::vector<PartKey>> chats_;
    UpstreamId upstream_ = 0;
    Fingerprint request_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(many_parts)

// Guards against a router that judges thousands of parts for each part of each broken request, and
// answers nobody meanwhile.
BOOST_AUTO_TEST_CASE(a_crash_under_many_parts_costs_little)
{
    LongChats chats(4, 2000);
    const auto begun = processorTime();
    for (int round = 0; round < 3; ++round)
        chats.crashAll();
    // With one judgement for each part it takes a hundred times as long.
    BOOST_TEST((processorTime() - begun < 2s));
    BOOST_TEST(chats.changes > 0U);
}

// Guards against a part that goes on to crash upstreams since it came among thousands.
BOOST_AUTO_TEST_CASE(the_guilty_part_is_found_among_many)
{
    LongChats chats(4, 2000);
    chats.crashAll();
    chats.now += PartSuspects::judgementShare * PartSuspects::capacity;
    for (std::size_t chat = 0; chat < 4; ++chat)
        BOOST_TEST(chats.isRefused(chat));
}

// Guards against work that grows with the square of the parts of a prompt, also of a sound one.
BOOST_AUTO_TEST_CASE(the_keys_of_many_parts_cost_little)
{
    Prompt prompt;
    for (std::uint64_t id = 1; id <= 2000; ++id)
        prompt.push_back({id, 1});
    constexpr int rounds = 200;
    const auto begun = processorTime();
    for (int i = 0; i < rounds; ++i)
        BOOST_REQUIRE_EQUAL(partKeys("pool", prompt).size(), 1999U);
    BOOST_TEST((processorTime() - begun < rounds * 5ms));
}

BOOST_AUTO_TEST_SUITE_END()
