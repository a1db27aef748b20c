// Who reads the registry for a fleet of any size, and what the others believe of it.
#include "peer-fleet.h"

#include "applehatch/direct/registry-readers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;
using namespace std::chrono_literals;

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
        if (router < direct::RegistryReaders::wanted) {
            book.beat(fleet.now);
            digest.readers.push_back(*book.ownWord(1, fleet.now));
        }
        for (const auto &reader : book.readers(fleet.now))
            digest.readers.push_back(reader);
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

BOOST_AUTO_TEST_SUITE_END()
