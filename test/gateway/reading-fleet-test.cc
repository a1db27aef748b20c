// Who reads the registry for a fleet of any size, and what the others believe of it.
#include "registry-fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;
using namespace std::chrono_literals;

struct FleetSize
{
    std::size_t routers;
    Duration changeWithin;
};

/// What the users run and ask for: two seconds on small sites, four with dozens of routers, 18 at
/// the size to design for.
constexpr std::array fleets{FleetSize{5, 2s}, FleetSize{30, 2s}, FleetSize{68, 4s},
                            FleetSize{390, 18s}};
constexpr std::size_t largest = 390;
constexpr Duration tooShort = 500ms;
constexpr Duration settling = 5s;

/// The first routers read, and all pass on whom they know to read.
class FixedReaders
{
public:
    FixedReaders(std::size_t size, std::uint32_t seed)
        : fleet(size, seed,
                {[this](std::size_t router, PeerDigest &digest) { fill(router, digest); }})
    { }

    /// Whether every other router knows of all readers.
    auto isKnownToAll() -> bool
    {
        for (std::size_t i = direct::RegistryReaders::wanted; i < fleet.size(); ++i) {
            const auto known = fleet.table(i).readerBook().readers(fleet.now).size();
            if (known < direct::RegistryReaders::wanted)
                return false;
        }
        return true;
    }

    /// Whether any other router still believes in a reader.
    auto isBelieved() -> bool
    {
        for (std::size_t i = direct::RegistryReaders::wanted; i < fleet.size(); ++i) {
            if (!fleet.table(i).readerBook().readers(fleet.now).empty())
                return true;
        }
        return false;
    }

    PeerFleet fleet;

private:
    auto fill(std::size_t router, PeerDigest &digest) -> void
    {
        auto &book = fleet.table(router).readerBook();
        std::optional<direct::ReaderWord> own;
        if (router < direct::RegistryReaders::wanted) {
            book.beat(fleet.now);
            own = book.ownWord(1, fleet.now);
        }
        digest.readers = book.told(own, fleet.now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(reading_fleet)

// Guards against a word about a reader that is gone and is made young again on its way through
// others, so that nobody takes its place.
BOOST_AUTO_TEST_CASE(word_of_a_reader_that_is_gone_ends_in_time)
{
    // What the last word may lose of its age by the way, over all hops of the fastest path.
    constexpr Duration transit = 200ms;
    for (const std::size_t size : {5U, 68U, 390U}) {
        FixedReaders routers(size, 17);
        auto &fleet = routers.fleet;
        fleet.runFor(2s);
        BOOST_TEST(routers.isBelieved());
        for (std::size_t i = 0; i < direct::RegistryReaders::wanted; ++i)
            fleet.silence(i);
        const auto gone = fleet.now;
        while (routers.isBelieved() && fleet.now - gone < 10s)
            fleet.runFor(10ms);
        const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - gone);
        BOOST_TEST_MESSAGE(size << " routers: believed for " << lasted.count() << " ms");
        BOOST_TEST((lasted <= direct::ReaderBook::trustedFor + transit));
    }
}

// Guards against routers that all send to the same few at a time: a word then reaches the last of
// them after a whole round.
BOOST_AUTO_TEST_CASE(a_word_reaches_a_large_fleet_within_a_few_digests)
{
    for (const std::size_t size : {30U, 68U, 390U}) {
        FixedReaders routers(size, 19);
        auto &fleet = routers.fleet;
        while (!routers.isKnownToAll() && fleet.now - fleetStart < 10s)
            fleet.runFor(10ms);
        const auto took =
            std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - fleetStart);
        BOOST_TEST_MESSAGE(size << " routers: known to all after " << took.count() << " ms");
        BOOST_TEST((took <= 5 * digestPeriod));
    }
}

// Guards against readers that are cut off in silence and are believed to read: a change is then
// known to nobody.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_though_all_readers_are_cut_off)
{
    for (const auto &[size, bound] : fleets) {
        for (const auto after : {0ms, 700ms, 1400ms}) {
            if (size == largest && after > 0ms)
                continue; // The first is the longest wait, and this size takes seconds to play.
            RegistryFleet routers(size, 23, bound);
            routers.fleet.runFor(settling);
            const auto readers = routers.readers();
            BOOST_TEST(readers.size() == direct::RegistryReaders::wanted);
            for (const auto reader : readers)
                routers.cut(reader);
            routers.fleet.runFor(after);
            const auto took = routers.changeTakes(10s);
            BOOST_TEST_MESSAGE(size << " routers, a change " << after.count()
                                    << " ms after the cut: in force after " << took.count()
                                    << " ms");
            BOOST_TEST((took <= bound));
        }
    }
}

// Guards against the same where readers are cut off one after the other.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_though_readers_are_cut_off_in_turn)
{
    for (const auto &[size, bound] : fleets) {
        if (size == largest)
            continue;
        RegistryFleet routers(size, 29, bound);
        routers.fleet.runFor(settling);
        for (const auto reader : routers.readers()) {
            routers.cut(reader);
            const auto took = routers.changeTakes(10s);
            BOOST_TEST_MESSAGE(size << " routers: in force after " << took.count() << " ms");
            BOOST_TEST((took <= bound));
            routers.fleet.runFor(300ms);
        }
    }
}

// Guards against readers that freeze: they say no more, and their last word is still passed on.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_though_all_readers_freeze)
{
    for (const auto &[size, bound] : fleets) {
        if (size == largest)
            continue;
        RegistryFleet routers(size, 31, bound);
        routers.fleet.runFor(settling);
        for (const auto reader : routers.readers())
            routers.fleet.silence(reader);
        const auto took = routers.changeTakes(10s);
        BOOST_TEST_MESSAGE(size << " routers: in force after " << took.count() << " ms");
        BOOST_TEST((took <= bound));
    }
}

// Guards against routers that take each other's late words for a quiet registry, and call it.
BOOST_AUTO_TEST_CASE(three_idle_watches_serve_a_fleet)
{
    constexpr Duration idle = 10s;
    auto bounds = std::vector<FleetSize>(fleets.begin(), fleets.end());
    bounds.push_back({30, tooShort});
    for (const auto &[size, bound] : bounds) {
        RegistryFleet routers(size, 37, bound);
        routers.fleet.runFor(settling);
        const auto start = routers.calls;
        routers.fleet.runFor(idle);
        const auto calls = routers.calls - start;
        const auto watches =
            direct::RegistryReaders::wanted * (idle / direct::ReaderBook::watchPeriod);
        BOOST_TEST_MESSAGE(size << " routers: " << start << " calls at the start, then " << calls
                                << " for " << watches << " watches");
        BOOST_TEST(calls <= watches);
    }
}

BOOST_AUTO_TEST_SUITE_END()
