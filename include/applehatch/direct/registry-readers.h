/// Which routers read the registry themselves.
#pragma once

#include "applehatch/core/identity.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace applehatch::direct {

using core::Duration;
using core::Instant;

/// Decides for one router whether it reads the registry or learns from the routers that do.
///
/// The registry takes a fixed number of calls a second from the whole fleet, and each change costs
/// every waiting router one. With a watch for each of 390 routers the registry would refuse most of
/// them. So `wanted` routers read, and tell the others. Each router decides for itself, by a rank
/// that is its own for life: it reads unless enough routers of lower rank were heard to read a
/// moment ago. A reader that dies, is cut off or is turned away stops being heard, and the next in
/// rank takes its place; a router that hears nobody reads.
class RegistryReaders
{
public:
    /// Two may fail at the same moment, one is left. Calls grow with it: 1.2 a second for three
    /// idle watches, whatever the fleet's size.
    static constexpr std::size_t wanted = 3;
    /// Enough readers of lower rank must be heard for this long before this router stops: readers
    /// come and go while hosts are replaced, and each change of mind costs a call.
    static constexpr Duration stopsAfter = std::chrono::seconds(2);
    /// A router that has just started stops as soon as it hears them: it has not begun to watch.
    static constexpr Duration startsWithin = std::chrono::seconds(1);

    RegistryReaders(std::uint64_t ownRank, Instant startedAt)
        : ownRank_(ownRank)
        , startedAt_(startedAt)
    { }

    /// Takes the ranks of the other routers that were heard to read a moment ago; true when this
    /// router should read.
    auto decide(const std::vector<std::uint64_t> &readers, Instant now) -> bool;
    [[nodiscard]] auto reads() const -> bool { return reads_; }

private:
    std::uint64_t ownRank_;
    Instant startedAt_;
    bool reads_ = true; // Nobody has been heard yet.
    std::optional<Instant> spareSince_;
};

} // namespace applehatch::direct
