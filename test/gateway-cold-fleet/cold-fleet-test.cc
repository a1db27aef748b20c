// How many requests cold upstreams get from fleets of several sizes in which each router would send
// as many as it may.
#include "gateway/peer-fleet.h"

#include "applehatch/direct/cold-share.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;
namespace direct = applehatch::direct;
using namespace std::chrono_literals;

/// A deployment's routers and upstreams.
struct FleetSize
{
    std::size_t routers;
    std::size_t upstreams;
};

constexpr std::array fleets{FleetSize{3, 15}, FleetSize{26, 50}, FleetSize{68, 83},
                            FleetSize{390, 733}};
/// What a cold upstream bears in a second: 13 requests, half as many again, and five more.
constexpr double bound = 24.5;
constexpr std::size_t coldUpstreams = 20;
constexpr std::size_t seedCount = 3;
/// Share of the datagrams that are lost.
constexpr double usualLoss = 0.05;

/// Routers that discover each other from seeds, and send each cold upstream what their share
/// allows.
class ColdFleet
{
public:
    ColdFleet(FleetSize size, double lossRate)
        : size_(size)
        , lossRate_(lossRate)
        , parts_(size.routers, 0)
        , sent_(coldUpstreams)
        , greatest_(coldUpstreams, 0)
    {
        for (std::size_t i = 0; i < seedCount; ++i)
            seeds_.push_back(routerAt(i));
        routers_.resize(size.routers);
        for (std::size_t i = 0; i < size.routers; ++i)
            restart(i);
    }

    /// Replaces the router by one that knows only the seeds.
    auto restart(std::size_t router) -> void
    {
        auto &each = routers_[router];
        each.table = std::make_unique<PeerTable>(routerAt(router), digestInterval, ++incarnation_);
        each.table->setSeeds(seeds_);
        each.share = std::make_unique<direct::ColdShare>(PeerTable::rankOf(routerAt(router)), now);
        each.nextDigest = now + Duration(random_() % digestInterval.count());
        each.sequence = 0;
    }

    auto restartAll() -> void
    {
        for (std::size_t i = 0; i < routers_.size(); ++i)
            restart(i);
    }

    /// Cuts the fleet into this many parts, which do not hear each other.
    auto partition(std::size_t parts) -> void
    {
        for (std::size_t i = 0; i < parts_.size(); ++i)
            parts_[i] = i % parts;
    }

    /// Advances time; while `presses`, every router sends as many requests as it may.
    auto runFor(Duration time, bool presses) -> void
    {
        for (const auto end = now + time; now < end; now += step) {
            for (std::size_t i = 0; i < routers_.size(); ++i)
                advance(i, presses);
        }
    }

    /// The greatest number of requests that any cold upstream got in a second.
    [[nodiscard]] auto greatest() const -> std::size_t
    {
        return *std::max_element(greatest_.begin(), greatest_.end());
    }

    /// Requests that cold upstreams got on average.
    [[nodiscard]] auto meanRequests() const -> double
    {
        return static_cast<double>(total_) / coldUpstreams;
    }

    Instant now = fleetStart;

private:
    struct Router
    {
        std::unique_ptr<PeerTable> table;
        std::unique_ptr<direct::ColdShare> share;
        Instant nextDigest;
        std::uint64_t sequence = 0;
    };

    static constexpr Duration step = 100ms;

    auto advance(std::size_t router, bool presses) -> void
    {
        auto &each = routers_[router];
        if (each.nextDigest <= now) {
            each.nextDigest += digestInterval;
            sendDigest(router);
            const auto &table = *each.table;
            each.share->setFleet({table.others(now), table.isComplete(now),
                                  std::max(table.routers(now), size_.upstreams)});
        }
        for (std::size_t upstream = 0; presses && upstream < coldUpstreams; ++upstream) {
            while (each.share->hasLeft(upstream + 1, bound, now)) {
                each.share->noteSent(upstream + 1, now);
                note(upstream);
            }
        }
    }

    auto note(std::size_t upstream) -> void
    {
        ++total_;
        auto &times = sent_[upstream];
        times.push_back(now);
        while (now - times.front() > 1s)
            times.pop_front();
        greatest_[upstream] = std::max(greatest_[upstream], times.size());
    }

    auto sendDigest(std::size_t from) -> void
    {
        auto &each = routers_[from];
        PeerDigest digest;
        digest.sender = routerAt(from);
        digest.incarnation = incarnation_;
        digest.sequence = ++each.sequence;
        const auto targets = each.table->nextTargets(now);
        digest.members = each.table->nextMembers(now);
        for (const auto &target : targets) {
            const auto to = numberOf(target);
            const auto isLost = std::bernoulli_distribution(lossRate_)(random_);
            if (!isLost && parts_[to] == parts_[from])
                routers_[to].table->apply(digest, now);
        }
    }

    static auto numberOf(const Address &router) -> std::size_t
    {
        unsigned high = 0;
        unsigned low = 0;
        std::sscanf(router.ip.c_str(), "10.0.%u.%u", &high, &low);
        return high * 250 + low - 1;
    }

    FleetSize size_;
    double lossRate_;
    std::vector<std::size_t> parts_;
    std::vector<Address> seeds_;
    std::vector<Router> routers_;
    std::vector<std::deque<Instant>> sent_;
    std::vector<std::size_t> greatest_;
    std::size_t total_ = 0;
    std::uint64_t incarnation_ = 0;
    std::minstd_rand random_{20261203};
};

/// Plays a fleet of each size and checks that no cold upstream got more than it bears.
auto checkFleets(double lossRate, const std::function<void(ColdFleet &, FleetSize)> &play) -> void
{
    for (const auto size : fleets) {
        ColdFleet fleet(size, lossRate);
        play(fleet, size);
        BOOST_TEST_MESSAGE(size.routers << " routers: at most " << fleet.greatest()
                                        << " requests in a second");
        BOOST_TEST(static_cast<double>(fleet.greatest()) <= bound);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_fleet)

// Guards against a fleet that overruns a cold upstream although its routers know each other.
BOOST_AUTO_TEST_CASE(routers_that_know_each_other_share_a_cold_upstream)
{
    checkFleets(usualLoss, [](ColdFleet &fleet, FleetSize size) {
        // The largest fleet needs longer until each router has heard from all others.
        fleet.runFor(size.routers > 100 ? 60s : 15s, false);
        fleet.runFor(5s, true);
        // An upstream that bears 13 a second gets at least 9 a second.
        BOOST_TEST(fleet.meanRequests() >= 45);
    });
}

// Guards against a fleet that overruns cold upstreams while all its routers start and know nobody.
BOOST_AUTO_TEST_CASE(routers_that_start_together_share_a_cold_upstream)
{
    constexpr double heavyLoss = 0.2;
    checkFleets(heavyLoss, [](ColdFleet &fleet, FleetSize) {
        fleet.runFor(10s, true);
        BOOST_TEST(fleet.meanRequests() > 10);
    });
}

// Guards against counting only the routers on this side of a partition.
BOOST_AUTO_TEST_CASE(parts_of_a_fleet_share_a_cold_upstream)
{
    checkFleets(usualLoss, [](ColdFleet &fleet, FleetSize) {
        fleet.runFor(10s, false);
        fleet.partition(3);
        fleet.runFor(6s, true);
    });
}

// Guards against routers that start during a partition, and take their part of the fleet for all.
BOOST_AUTO_TEST_CASE(routers_started_in_a_partition_share_a_cold_upstream)
{
    checkFleets(usualLoss, [](ColdFleet &fleet, FleetSize) {
        fleet.partition(3);
        fleet.runFor(10s, true);
        fleet.partition(1);
        fleet.runFor(10s, true);
    });
}

// Guards against a restarted router that sends its share once more, beside routers that still count
// it.
BOOST_AUTO_TEST_CASE(restarted_routers_share_a_cold_upstream)
{
    checkFleets(usualLoss, [](ColdFleet &fleet, FleetSize size) {
        fleet.runFor(10s, false);
        for (std::size_t i = 0; i < size.routers; ++i) {
            if (i % 5 < 3)
                fleet.restart(i);
            if (i % (1 + size.routers / 30) == 0)
                fleet.runFor(100ms, true);
        }
        fleet.runFor(2s, true);
    });
}

// Guards against a fleet killed at once right after it spent its share.
BOOST_AUTO_TEST_CASE(a_fleet_killed_at_once_shares_a_cold_upstream)
{
    checkFleets(usualLoss, [](ColdFleet &fleet, FleetSize) {
        fleet.runFor(10s, false);
        fleet.runFor(1s, true);
        fleet.restartAll();
        fleet.runFor(3s, true);
    });
}

BOOST_AUTO_TEST_SUITE_END()
