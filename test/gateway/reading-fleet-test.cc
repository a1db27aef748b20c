// Which routers read the registry in fleets of several sizes, and which readers the others trust.
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
    Duration changeBound;
};

/// Fleet sizes that users run and the time within which they need a change in force: 2 s on small
/// sites, 3 to 4 s with dozens of routers, 18 s at the largest size that the design supports, 5 s
/// there where data centres may be evacuated.
constexpr std::array fleets{FleetSize{3, 3s},   FleetSize{5, 2s},  FleetSize{26, 3s},
                            FleetSize{30, 2s},  FleetSize{68, 4s}, FleetSize{390, 5s},
                            FleetSize{390, 18s}};
constexpr std::size_t largestFleet = 390;
/// Within this time a data centre must be evacuated.
constexpr Duration evacuationBound = 5s;
constexpr Duration unreachableBound = 500ms;
constexpr Duration settlingTime = 5s;

/// A fleet in which the first routers always read, and all routers report the readers they know.
class FixedReaders
{
public:
    FixedReaders(std::size_t size, std::uint32_t seed)
        : fleet(size, seed,
                {[this](std::size_t router, PeerDigest &digest) { fill(router, digest); }})
    { }

    /// Whether every router that does not read knows all readers.
    auto allKnowReaders() -> bool
    {
        for (std::size_t i = direct::RegistryReaders::targetReaders; i < fleet.size(); ++i) {
            const auto known = fleet.table(i).readerTracker().readers(fleet.now).size();
            if (known < direct::RegistryReaders::targetReaders)
                return false;
        }
        return true;
    }

    /// Whether any router that does not read still trusts a reader.
    auto anyTrustsReader() -> bool
    {
        for (std::size_t i = direct::RegistryReaders::targetReaders; i < fleet.size(); ++i) {
            if (!fleet.table(i).readerTracker().readers(fleet.now).empty())
                return true;
        }
        return false;
    }

    PeerFleet fleet;

private:
    auto fill(std::size_t router, PeerDigest &digest) -> void
    {
        auto &tracker = fleet.table(router).readerTracker();
        std::optional<direct::ReaderStatus> own;
        if (router < direct::RegistryReaders::targetReaders) {
            tracker.noteAnswer(fleet.now);
            own = tracker.ownStatus(1, fleet.now);
        }
        digest.readers = tracker.reportedStatuses(own, fleet.now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(reading_fleet)

// Guards against a report about a dead reader whose age is lost while it is passed on by others, so
// that no router takes the reader's place.
BOOST_AUTO_TEST_CASE(word_of_a_reader_that_is_gone_ends_in_time)
{
    // How much of its age the last report may lose in transit, over all hops of the fastest path.
    constexpr Duration transit = 200ms;
    for (const std::size_t size : {5U, 68U, 390U}) {
        FixedReaders routers(size, 17);
        auto &fleet = routers.fleet;
        fleet.runFor(2s);
        BOOST_TEST(routers.anyTrustsReader());
        for (std::size_t i = 0; i < direct::RegistryReaders::targetReaders; ++i)
            fleet.silence(i);
        const auto silencedAt = fleet.now;
        while (routers.anyTrustsReader() && fleet.now - silencedAt < 10s)
            fleet.runFor(10ms);
        const auto lasted =
            std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - silencedAt);
        BOOST_TEST_MESSAGE(size << " routers: believed for " << lasted.count() << " ms");
        BOOST_TEST((lasted <= direct::ReaderTracker::statusLifetime + transit));
    }
}

// Guards against routers that all send to the same few peers at a time: a report then reaches the
// last router only after a whole round.
BOOST_AUTO_TEST_CASE(a_word_reaches_a_large_fleet_within_a_few_digests)
{
    for (const std::size_t size : {30U, 68U, 390U}) {
        FixedReaders routers(size, 19);
        auto &fleet = routers.fleet;
        while (!routers.allKnowReaders() && fleet.now - fleetStart < 10s)
            fleet.runFor(10ms);
        const auto took =
            std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - fleetStart);
        BOOST_TEST_MESSAGE(size << " routers: known to all after " << took.count() << " ms");
        BOOST_TEST((took <= 5 * digestInterval));
    }
}

// Guards against readers that are cut off from the registry without an error and are still trusted:
// no router then learns of a change.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_though_all_readers_are_cut_off)
{
    for (const auto &[size, bound] : fleets) {
        for (const auto after : {0ms, 700ms, 1400ms}) {
            if (size == largestFleet && after > 0ms)
                continue; // The first offset waits longest, and this size takes seconds.
            RegistryFleet routers(size, 23, bound);
            routers.fleet.runFor(settlingTime);
            const auto readers = routers.readers();
            BOOST_TEST(readers.size() == direct::RegistryReaders::targetReaders);
            for (const auto reader : readers)
                routers.cut(reader);
            routers.fleet.runFor(after);
            const auto took = routers.timeToApplyChange(10s);
            BOOST_TEST_MESSAGE(size << " routers, a change " << after.count()
                                    << " ms after the cut: in force after " << took.count()
                                    << " ms");
            BOOST_TEST((took <= bound));
        }
    }
}

// Guards against a change that stays unknown when readers are cut off one after the other.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_though_readers_are_cut_off_in_turn)
{
    for (const auto &[size, bound] : fleets) {
        if (size == largestFleet && bound > evacuationBound)
            continue; // Takes seconds, and is played within the shorter bound.
        RegistryFleet routers(size, 29, bound);
        routers.fleet.runFor(settlingTime);
        for (const auto reader : routers.readers()) {
            routers.cut(reader);
            const auto took = routers.timeToApplyChange(10s);
            BOOST_TEST_MESSAGE(size << " routers: in force after " << took.count() << " ms");
            BOOST_TEST((took <= bound));
            routers.fleet.runFor(300ms);
        }
    }
}

// Guards against a change that stays unknown when readers freeze: they send nothing more, and their
// last reports are still passed on.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_though_all_readers_freeze)
{
    for (const auto &[size, bound] : fleets) {
        if (size == largestFleet)
            continue;
        RegistryFleet routers(size, 31, bound);
        routers.fleet.runFor(settlingTime);
        for (const auto reader : routers.readers())
            routers.fleet.silence(reader);
        const auto took = routers.timeToApplyChange(10s);
        BOOST_TEST_MESSAGE(size << " routers: in force after " << took.count() << " ms");
        BOOST_TEST((took <= bound));
    }
}

// Guards against routers that mistake late reports of each other for a registry that does not
// answer, and therefore call it.
BOOST_AUTO_TEST_CASE(three_idle_watches_serve_a_fleet)
{
    constexpr Duration idle = 10s;
    auto bounds = std::vector<FleetSize>(fleets.begin(), fleets.end());
    bounds.push_back({30, unreachableBound});
    for (const auto &[size, bound] : bounds) {
        RegistryFleet routers(size, 37, bound);
        routers.fleet.runFor(settlingTime);
        const auto start = routers.calls;
        routers.fleet.runFor(idle);
        const auto calls = routers.calls - start;
        const auto watches =
            direct::RegistryReaders::targetReaders * (idle / direct::ReaderTracker::watchTimeout);
        BOOST_TEST_MESSAGE(size << " routers: " << start << " calls at the start, then " << calls
                                << " for " << watches << " watches");
        BOOST_TEST(calls <= watches);
    }
}

BOOST_AUTO_TEST_SUITE_END()
