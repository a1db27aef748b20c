// What fleets of several sizes know of streams after some of their routers ended, in virtual time.
#include "peer-fleet.h"

#include "applehatch/direct/keepers.h"
#include "applehatch/direct/stream-versions.h"
#include "applehatch/gateway/keeper-outbox.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;
using namespace std::chrono_literals;

/// Streams that one router begins in a second.
constexpr std::size_t streamsPerSecond = 20;
/// Notes are collected for this long.
constexpr Duration outboxDelay = 10ms;

/// Routers that tell the keepers of their streams, and ask them.
class StreamFleet
{
public:
    explicit StreamFleet(std::size_t size)
        : peers_(size, 1,
                 {[](std::size_t, PeerDigest &) {},
                  [this](std::size_t router, const PeerDigest &digest) {
                      for (const auto &report : digest.streams)
                          known_[router].notePeer(report, peers_.now);
                  }})
        , known_(size)
    {
        direct::UpstreamList list(2);
        list[0].service = list[1].service = "pool";
        list[0].version = "v1";
        list[1].version = "v2";
        for (auto &router : known_)
            router.setUpstreams(list, peers_.now);
    }

    /// Each router begins streams for a second. Returns the bytes that one sent for them.
    auto beginStreams() -> std::size_t
    {
        std::size_t bytes = 0;
        for (std::size_t each = 0; each < streamsPerSecond; ++each) {
            for (std::size_t router = 0; router < known_.size(); ++router) {
                const auto stream = static_cast<direct::StreamKey>(streams_.size() + 1);
                const direct::StreamOrigin origin{"pool", stream % 2 == 0 ? "v1" : "v2"};
                BOOST_TEST(known_[router].noteSent(stream, origin, peers_.now));
                streams_.push_back({stream, origin, router});
                KeeperOutbox outbox;
                outbox.add(direct::StreamReport{stream, origin, 0ms}, peers_.now);
                for (const auto &notes : outbox.take(peers_.othersThan(router), peers_.now))
                    peers_.tell(router, notes.to, [&](PeerDigest &digest) {
                        digest.streams = notes.streams;
                        bytes += encodeDigest(digest).size();
                    });
            }
            peers_.runFor(outboxDelay);
        }
        peers_.runFor(1s);
        return bytes / known_.size();
    }

    /// Ends a share of the routers. The callers of their streams take them up at others, which ask
    /// the keepers that are left. Returns the share of these streams whose version is found.
    auto foundAfterLosing(double share) -> double
    {
        std::vector<bool> ended(known_.size());
        std::minstd_rand random(1);
        const auto size = static_cast<double>(ended.size());
        const auto count = std::max<std::size_t>(1, static_cast<std::size_t>(share * size));
        std::fill_n(ended.begin(), count, true);
        std::shuffle(ended.begin(), ended.end(), random);
        std::size_t asked = 0;
        std::size_t found = 0;
        for (const auto &stream : streams_) {
            if (!ended[stream.router])
                continue;
            ++asked;
            found += isFound(stream, ended) ? 1 : 0;
        }
        return static_cast<double>(found) / static_cast<double>(asked);
    }

private:
    struct Stream
    {
        direct::StreamKey key;
        direct::StreamOrigin origin;
        std::size_t router;
    };

    auto isFound(const Stream &stream, const std::vector<bool> &ended) const -> bool
    {
        std::vector<Address> left;
        for (std::size_t router = 0; router < ended.size(); ++router) {
            if (!ended[router])
                left.push_back(routerAt(router));
        }
        for (const auto &keeper : direct::keepersOf(stream.key, left, direct::keeperCount + 2)) {
            for (std::size_t router = 0; router < ended.size(); ++router) {
                const auto *known = routerAt(router) == keeper
                    ? known_[router].find(stream.key, peers_.now)
                    : nullptr;
                if (known == nullptr)
                    continue;
                BOOST_TEST((known->origin == stream.origin));
                return true;
            }
        }
        return false;
    }

    PeerFleet peers_;
    std::vector<direct::StreamVersions> known_;
    std::vector<Stream> streams_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_fleet)

// Guards against losing what began a stream with the router that served it.
BOOST_AUTO_TEST_CASE(streams_of_routers_that_end_are_found_at_others)
{
    // One datagram in fifty is lost.
    constexpr double nearlyAll = 0.99;
    for (const std::size_t size : {3, 30, 390}) {
        StreamFleet fleet(size);
        const auto bytes = fleet.beginStreams();
        const auto one = fleet.foundAfterLosing(0);
        const auto third = fleet.foundAfterLosing(0.34);
        const auto most = fleet.foundAfterLosing(0.6);
        BOOST_TEST_MESSAGE("routers " << size << ", bytes a second " << bytes
                                      << ", found after one " << one << ", a third " << third
                                      << ", 0.6 ended " << most);
        BOOST_TEST(one >= nearlyAll);
        BOOST_TEST(third >= 0.9);
        // Half of the streams taken up must go on.
        BOOST_TEST(most >= 0.6);
    }
}

BOOST_AUTO_TEST_SUITE_END()
