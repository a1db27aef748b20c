/// Which routers there are, and what each told last.
#pragma once

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
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    bool leaving = false;
    Instant heardAt;
};

/// Finds routers from seeds and from what routers tell of each other; no clock, no I/O.
///
/// Seeds may be stale or down. Every router tells the addresses it knows, so one live seed, or one
/// router that knows of this one, is enough.
class PeerTable
{
public:
    /// A router not heard for this long is not asked for anything.
    static constexpr Duration aliveFor = std::chrono::milliseconds(1500);
    /// A router not heard for this long is not told of any more.
    static constexpr Duration knownFor = std::chrono::seconds(10);
    /// The retry share counts routers heard within this time: one that is cut off still spends.
    static constexpr Duration countedFor = std::chrono::seconds(60);

    explicit PeerTable(Address self);

    auto setSeeds(std::vector<Address> seeds) -> void { seeds_ = std::move(seeds); }
    /// False for a digest that is older than the last one of its sender, or this router's own.
    auto apply(const PeerDigest &digest, Instant now) -> bool;

    /// Whom to send to: all known routers and the seeds.
    [[nodiscard]] auto targets(Instant now) const -> std::vector<Address>;
    [[nodiscard]] auto members(Instant now) const -> std::vector<Address>;
    [[nodiscard]] auto alive(Instant now) const -> std::vector<PeerRow>;
    /// Routers that share the retry budget, this one included; at least the number of seeds.
    [[nodiscard]] auto routers(Instant now) const -> std::size_t;

private:
    struct Told
    {
        Address address;
        Instant toldAt;
    };

    Address self_;
    std::vector<Address> seeds_;
    std::map<std::string, PeerRow> heard_;
    std::map<std::string, Told> told_; // Named by others, not heard yet.
};

} // namespace applehatch::gateway
