/// Which routers there are, and what each told last.
#pragma once

#include "applehatch/core/listening-clock.h"
#include "applehatch/gateway/peer-digest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace applehatch::gateway {

using core::Duration;
using core::Instant;

/// A router that was heard.
struct PeerRow
{
    Address address;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    bool leaving = false;
    Instant heardAt;
    Instant listenedAt; ///< The same on the clock that stands still in hold-ups.
};

/// Finds routers from seeds and from what routers tell of each other; no clock, no I/O.
///
/// Seeds may be stale or down. Every router tells some addresses it knows, so one live seed, or one
/// router that knows of this one, is enough. A digest goes to `fanout` routers at a time, in turn:
/// to all at once, the fleet's traffic would grow with the square of its size. News of readers and
/// of the registry's revision travel with every digest, so that all know of them after two or
/// three.
///
/// Whether a router is gone is judged by the time in which this process listened: after a hold-up
/// everybody's digests lie unread, and all others would be believed gone together.
class PeerTable
{
public:
    /// Routers that one digest goes to. Up to so many hear each other at every digest.
    static constexpr std::size_t fanout = 10;
    /// A digest names so many members: 6 bytes each; all are named within a few digests.
    static constexpr std::size_t mostMembers = 8;
    /// A router not heard for this long, or for `aliveRounds` turns, is not asked for anything.
    static constexpr Duration aliveFor = std::chrono::milliseconds(1500);
    /// Lost datagrams in a row: at one in twenty, three are lost once in 8,000.
    static constexpr int maxMissedRounds = 3;
    /// A router not heard for this long, or for three times as long as one counts as alive, is not
    /// told of any more.
    static constexpr Duration memberLifetime = std::chrono::seconds(10);
    /// The retry share counts routers heard within this time: one that is cut off still spends.
    static constexpr Duration budgetShareLifetime = std::chrono::seconds(60);

    /// A digest is sent each `period`; `life` rises with each process at this address.
    PeerTable(Address self, Duration digestInterval, std::uint64_t incarnation);

    /// A router's rank among those that may read the registry; it stays the same for its address.
    [[nodiscard]] static auto rankOf(const Address &router) -> std::uint64_t;

    auto setSeeds(std::vector<Address> seeds) -> void { seeds_ = std::move(seeds); }
    /// False for a digest that is older than the last one of its sender, or this router's own.
    auto apply(const PeerDigest &digest, Instant now) -> bool;

    /// Whom the next digest goes to: routers and seeds in turn, at most `fanout`. Asked once each
    /// period, after what had arrived was read: later calls tell from it whether this process was
    /// held up.
    [[nodiscard]] auto nextTargets(Instant now) -> std::vector<Address>;
    /// As many, in a turn of their own: whom a brief digest goes to that is not for all.
    [[nodiscard]] auto nextTold(Instant now) -> std::vector<Address>;
    /// All known routers and the seeds.
    [[nodiscard]] auto targets(Instant now) const -> std::vector<Address>;
    /// Some known routers, in turn.
    [[nodiscard]] auto nextMembers(Instant now) -> std::vector<Address>;
    [[nodiscard]] auto alive(Instant now) const -> std::vector<PeerRow>;
    [[nodiscard]] auto readerBook() -> direct::ReaderBook & { return readerTracker_; }
    [[nodiscard]] auto readerBook() const -> const direct::ReaderBook & { return readerTracker_; }
    /// Routers that share the retry budget, this one included; at least the number of seeds.
    [[nodiscard]] auto routers(Instant now) const -> std::size_t;
    /// The time after which every known router has had a digest.
    [[nodiscard]] auto round(Instant now) const -> Duration;
    /// How long a router is believed without a further word.
    [[nodiscard]] auto believedFor(Instant now) const -> Duration;

private:
    struct AdvertisedPeer
    {
        Address address;
        Instant advertisedAt;
    };

    auto applyReaders(const PeerDigest &digest, Instant now) -> void;
    [[nodiscard]] auto members(Instant now) const -> std::vector<Address>;
    /// Whether the router was heard within `limit`, less this process's hold-ups.
    [[nodiscard]] auto wasHeardWithin(const PeerRow &row, Duration limit, Instant now) const
        -> bool;

    Address self_;
    Duration digestInterval_;
    std::vector<Address> seeds_;
    mutable core::ListeningClock listening_; ///< Its first reading starts it.
    std::map<std::string, PeerRow> peers_;
    std::map<std::string, AdvertisedPeer> advertised_; // Named by others, not heard yet.
    direct::ReaderBook readerTracker_;
    std::size_t targetOffset_;
    std::size_t briefTargetOffset_;
    std::size_t memberOffset_;
};

} // namespace applehatch::gateway
