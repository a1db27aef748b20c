#include "applehatch/direct/registry-readers.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

/// A fleet in which every router immediately hears which others read, unless it is down.
class Fleet
{
public:
    explicit Fleet(std::size_t routers)
    {
        for (std::uint64_t rank = 0; rank < routers; ++rank)
            routers_.emplace_back(rank, start);
        down_.resize(routers);
    }

    auto step(Instant now) -> void
    {
        const auto reading = readers();
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            PeerRanks heard;
            for (std::uint64_t rank = 0; rank < routers_.size(); ++rank) {
                if (rank != i && !down_[rank])
                    heard.alive.push_back(rank);
            }
            heard.reading = reading;
            std::erase(heard.reading, i);
            routers_[i].decide(heard, now);
        }
    }

    auto runFor(Duration time, Instant &now) -> void
    {
        const auto end = now + time;
        for (; now < end; now += 100ms)
            step(now);
    }

    [[nodiscard]] auto readers() const -> std::vector<std::uint64_t>
    {
        std::vector<std::uint64_t> reading;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (routers_[i].reads() && !down_[i])
                reading.push_back(i);
        }
        return reading;
    }

    auto setDown(std::size_t router, bool down) -> void { down_[router] = down; }

private:
    std::vector<RegistryReaders> routers_;
    std::vector<bool> down_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(registry_readers)

// With one watch per router, 390 routers make 156 calls a second, and as many again for each
// change. Three watches serve a fleet of any size.
BOOST_AUTO_TEST_CASE(three_routers_read_for_a_fleet_of_any_size)
{
    for (const std::size_t routers : {1U, 3U, 5U, 30U, 390U}) {
        Fleet fleet(routers);
        auto now = start;
        fleet.runFor(5s, now);
        BOOST_TEST(fleet.readers().size() == std::min(routers, RegistryReaders::targetReaders));
    }
}

// All readers of a fleet die at the same moment. The next three read at once, because a change that
// is accepted now must be in force everywhere within two seconds. The others do not begin to read.
BOOST_AUTO_TEST_CASE(readers_that_die_are_replaced_at_once)
{
    Fleet fleet(30);
    auto now = start;
    fleet.runFor(5s, now);
    for (const auto reader : fleet.readers())
        fleet.setDown(reader, true);
    fleet.step(now);
    BOOST_TEST(fleet.readers().size() == RegistryReaders::targetReaders);
    fleet.runFor(5s, now);
    BOOST_TEST(fleet.readers().size() == RegistryReaders::targetReaders);
}

// The registry refuses all routers but one, which has the highest rank. The refused routers are
// alive and never read successfully; the one that could must not wait for them for long, because a
// change must be in force within two seconds.
BOOST_AUTO_TEST_CASE(the_last_in_rank_reads_in_time)
{
    RegistryReaders last(1000, start);
    PeerRanks heard;
    for (std::uint64_t rank = 0; rank < 389; ++rank)
        heard.alive.push_back(rank);
    heard.reading = {0, 1, 2};
    BOOST_TEST(!last.decide(heard, start));
    heard.reading.clear();
    BOOST_TEST(!last.decide(heard, start + 10s));
    BOOST_TEST(last.decide(heard, start + 10s + RegistryReaders::maxTakeoverDelay));
}

// A reader that repeatedly appears and disappears must not make others start and stop with it; each
// start or stop costs a call.
BOOST_AUTO_TEST_CASE(an_intermittent_reader_stops_no_other)
{
    Fleet fleet(4);
    auto now = start;
    fleet.runFor(5s, now);
    fleet.setDown(0, true);
    fleet.step(now);
    BOOST_TEST(fleet.readers().size() == 3);
    for (int turn = 0; turn < 5; ++turn) {
        fleet.setDown(0, false);
        fleet.runFor(RegistryReaders::stopDelay - 100ms, now);
        BOOST_TEST(fleet.readers().size() == 4);
        fleet.setDown(0, true);
        fleet.runFor(1s, now);
        BOOST_TEST(fleet.readers().size() == 3);
    }
}

BOOST_AUTO_TEST_SUITE_END()
