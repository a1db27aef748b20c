#include "peer-fleet.h"

#include "applehatch/direct/crash-suspects.h"
#include "applehatch/gateway/keeper-outbox.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;
using namespace std::chrono_literals;

constexpr direct::Fingerprint crashing = 7;
constexpr direct::UpstreamId firstUpstream = 1;
/// A router that is told of the third crash this late still sends at most three copies more.
constexpr Duration propagationLimit = 3s;
/// Requests that one crash breaks off at one router besides the one that caused it.
constexpr direct::Fingerprint bystanders = 60;

/// Routers that report crashes to one another.
class CrashFleet
{
public:
    explicit CrashFleet(std::size_t size, std::uint32_t seed)
        : suspects(size)
        , peers(size, seed,
                {[this](std::size_t router, PeerDigest &digest) {
                     if (!digest.brief)
                         digest.crashes = suspects[router].nextReports(peers.now);
                 },
                 [this](std::size_t router, const PeerDigest &digest) {
                     for (const auto &report : digest.crashes)
                         suspects[router].notePeer(report, peers.now);
                 }})
    { }

    /// `upstream` crashes under the request at `router`, which had other requests there.
    auto crash(std::size_t router, direct::UpstreamId upstream,
               direct::Fingerprint request = crashing) -> void
    {
        KeeperOutbox outbox;
        const auto noteBreak = [&](direct::Fingerprint broken) {
            suspects[router].noteBreak(broken, upstream, peers.now);
            outbox.add({broken, upstream, 0ms, 1}, peers.now);
        };
        noteBreak(request);
        for (direct::Fingerprint i = 0; i < bystanders; ++i)
            noteBreak(nextBystander_++);
        for (const auto &notes : outbox.take(peers.othersThan(router), peers.now))
            peers.tell(router, notes.to,
                       [&](PeerDigest &digest) { digest.crashes = notes.crashes; });
    }

    /// Returns the number of routers that refuse the request.
    [[nodiscard]] auto knowing(direct::Fingerprint request = crashing) const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto &router : suspects)
            count += router.isSuspect(request, peers.now) ? 1 : 0;
        return count;
    }

    std::vector<direct::CrashSuspects> suspects;
    PeerFleet peers;

private:
    direct::Fingerprint nextBystander_ = 1000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_fleet)

// Guards against a request that goes on to crash upstreams through routers that were not told.
BOOST_AUTO_TEST_CASE(every_router_knows_of_three_crashes_at_three_routers_in_time)
{
    for (const std::size_t size : {3, 5, 30, 68, 390}) {
        for (std::uint32_t seed = 1; seed <= (size > 100 ? 2U : 10U); ++seed) {
            CrashFleet fleet(size, seed);
            for (std::size_t i = 0; i < direct::CrashSuspects::crashLimit; ++i) {
                fleet.crash(i * (size - 1) / 2, firstUpstream + i);
                fleet.peers.runFor(300ms);
            }
            fleet.peers.runFor(propagationLimit - 300ms);
            BOOST_TEST(fleet.knowing() == size);
        }
    }
}

// Guards against a request that goes on to crash upstreams because reports of others come first.
BOOST_AUTO_TEST_CASE(every_router_knows_of_each_of_many_crashing_requests_in_time)
{
    constexpr direct::Fingerprint requests = 12;
    constexpr Duration betweenCrashes = 300ms;
    for (const std::size_t size : {3, 30, 390}) {
        CrashFleet fleet(size, 1);
        direct::UpstreamId upstream = firstUpstream;
        for (std::size_t round = 0; round < direct::CrashSuspects::crashLimit; ++round) {
            for (direct::Fingerprint request = 1; request <= requests; ++request) {
                fleet.crash((round + request) * (size / 3) % size, ++upstream, request);
                fleet.peers.runFor(betweenCrashes);
            }
        }
        fleet.peers.runFor(propagationLimit - betweenCrashes);
        for (direct::Fingerprint request = 1; request <= requests; ++request)
            BOOST_TEST(fleet.knowing(request) == size);
    }
}

// Guards against losing what is known of a request while routers are restarted one by one.
BOOST_AUTO_TEST_CASE(a_fleet_restarted_one_by_one_keeps_what_it_knows)
{
    CrashFleet fleet(5, 1);
    for (std::size_t i = 0; i < direct::CrashSuspects::crashLimit; ++i)
        fleet.crash(i, firstUpstream + i);
    fleet.peers.runFor(propagationLimit);
    for (auto &router : fleet.suspects) {
        router = direct::CrashSuspects();
        fleet.peers.runFor(1s);
    }
    BOOST_TEST(fleet.knowing() == fleet.suspects.size());
}

BOOST_AUTO_TEST_SUITE_END()
