/// Known routers and the last state received from each.
#pragma once

#include "applehatch/core/stall-aware-clock.h"
#include "applehatch/gateway/peer-digest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace applehatch::gateway {

using core::Duration;
using core::Instant;

/// State of a router from which a digest was received.
struct PeerRow
{
    Address address;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    bool leaving = false;
    Instant heardAt;
    Instant listenedAt; ///< The same on `core::StallAwareClock`, which stops during stalls.
};

/// Gossip membership table: discovers routers from seeds and from the digests of other routers.
/// Reads no clock and does no I/O.
///
/// Seeds may be stale or down. Every router advertises some of the addresses it knows, so one live
/// seed, or one router that knows this one, is enough for discovery. A digest goes to `fanout`
/// routers at a time, in round-robin order: if it went to all of them, the fleet's traffic would
/// grow with the square of its size. Reports of registry readers and of the registry revision are
/// part of every digest, so all routers have them after two or three digests.
///
/// Silence is measured on a clock that stops while this process is stalled. After a stall the
/// digests of all peers are still unread, and by any other clock all peers would seem dead at once.
class PeerTable
{
public:
    /// Number of routers to which one digest is sent. In a fleet of up to this many peers, each
    /// router receives every digest.
    static constexpr std::size_t fanout = 10;
    /// Maximum number of members advertised in a digest, at 6 bytes each; all members are
    /// advertised within a few digests.
    static constexpr std::size_t maxMembersPerDigest = 8;
    /// A router is considered dead, and nothing is requested from it, when no digest of it arrived
    /// for this long and for `maxMissedRounds` rounds.
    static constexpr Duration aliveTimeout = std::chrono::milliseconds(1500);
    /// Number of consecutive digests that may be lost: at a loss rate of one in twenty, three in a
    /// row are lost once in 8,000.
    static constexpr int maxMissedRounds = 3;
    /// A router is no longer contacted or advertised when no digest of it arrived for this long and
    /// for three times the current alive timeout.
    static constexpr Duration memberLifetime = std::chrono::seconds(10);
    /// Routers heard within this time count towards sharing the retry budget: a router that is
    /// partitioned from this one still spends its share.
    static constexpr Duration budgetShareLifetime = std::chrono::seconds(60);
    /// A router that heard of nobody new for this long knows nearly all others.
    static constexpr Duration learningTime = std::chrono::seconds(5);

    /// A digest is sent every `digestInterval`. `incarnation` must increase with each process at
    /// this address.
    PeerTable(Address self, Duration digestInterval, std::uint64_t incarnation);

    /// Rank of a router among the candidates for reading the registry, derived from its address.
    [[nodiscard]] static auto rankOf(const Address &router) -> std::uint64_t;

    auto setSeeds(std::vector<Address> seeds) -> void { seeds_ = std::move(seeds); }
    /// Applies a digest. Returns false for one that is outdated or sent by this router itself.
    auto apply(const PeerDigest &digest, Instant now) -> bool;

    /// Targets of the next digest: at most `fanout` known routers and seeds, in round-robin order.
    /// Must be called once per digest interval, after all received datagrams were processed; later
    /// calls use the time of this call to detect stalls of this process.
    [[nodiscard]] auto nextTargets(Instant now) -> std::vector<Address>;
    /// Targets of a brief digest that is not sent to all routers; like `nextTargets`, with a
    /// round-robin position of its own.
    [[nodiscard]] auto nextBriefTargets(Instant now) -> std::vector<Address>;
    /// All known routers and the seeds, without this router.
    [[nodiscard]] auto targets(Instant now) const -> std::vector<Address>;
    /// Routers to advertise in the next digest, in round-robin order.
    [[nodiscard]] auto nextMembers(Instant now) -> std::vector<Address>;
    /// Routers heard within the current alive timeout.
    [[nodiscard]] auto alive(Instant now) const -> std::vector<PeerRow>;
    [[nodiscard]] auto readerTracker() -> direct::ReaderTracker & { return readerTracker_; }
    [[nodiscard]] auto readerTracker() const -> const direct::ReaderTracker &
    {
        return readerTracker_;
    }
    /// Number of routers that share the retry budget, including this one; at least the number of
    /// seeds.
    [[nodiscard]] auto routers(Instant now) const -> std::size_t;
    /// Other routers that were heard within `budgetShareLifetime`, by rank in ascending order.
    [[nodiscard]] auto others(Instant now) const -> std::vector<std::uint64_t>;
    /// Whether the known routers are likely all of the fleet: each seed was heard, of which there
    /// is one in each data centre, and nobody new for `learningTime`.
    [[nodiscard]] auto isComplete(Instant now) const -> bool;
    /// Time in which every known router is sent a digest once.
    [[nodiscard]] auto roundDuration(Instant now) const -> Duration;
    /// How long a router counts as alive after its last digest, given the size of the fleet.
    [[nodiscard]] auto currentAliveTimeout(Instant now) const -> Duration;

private:
    struct AdvertisedPeer
    {
        Address address;
        Instant advertisedAt;
    };

    auto applyReaders(const PeerDigest &digest, Instant now) -> void;
    [[nodiscard]] auto members(Instant now) const -> std::vector<Address>;
    /// Whether the router was heard within `limit`, not counting stalls of this process.
    [[nodiscard]] auto wasHeardWithin(const PeerRow &row, Duration limit, Instant now) const
        -> bool;

    Address self_;
    Duration digestInterval_;
    std::vector<Address> seeds_;
    Instant newestHeardAt_; // When a router was heard for the first time, or this one started.
    mutable core::StallAwareClock listening_; ///< Started by its first reading.
    std::map<std::string, PeerRow> peers_;
    std::map<std::string, AdvertisedPeer> advertised_; // Advertised by others, not heard yet.
    direct::ReaderTracker readerTracker_;
    std::size_t targetOffset_;
    std::size_t briefTargetOffset_;
    std::size_t memberOffset_;
};

} // namespace applehatch::gateway
