/// Tracks which engines hold which contexts.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace applehatch::direct {

/// A context and the upstream that a request with it was sent to.
struct ContextPlacement
{
    std::uint64_t context = 0;
    UpstreamId upstream = 0;
    std::uint32_t tokens = 0; ///< Size of the context in tokens.

    auto operator==(const ContextPlacement &) const -> bool = default;
};

/// Upstreams to which this router and its peers recently sent requests with shared contexts.
class ContextMap
{
public:
    /// Lifetime of an entry. Engines evict the least recently used contexts, so a context that was
    /// not used for this long may no longer be held.
    static constexpr Duration lifetime = std::chrono::seconds(30);
    /// Maximum number of contexts; at about 100 bytes per context this is at most 2 MB.
    static constexpr std::size_t capacity = 20000;
    /// Maximum number of upstreams stored per context.
    static constexpr std::size_t maxUpstreamsPerContext = 4;
    /// Uses are reported to peers until they are at least this old; two or three digests carry each
    /// use.
    static constexpr Duration reportWindow = std::chrono::milliseconds(500);
    /// Maximum number of uses in one digest; 64 uses of 16 bytes keep it within one datagram.
    static constexpr std::size_t maxReportedUses = 64;

    auto noteSent(const ContextPlacement &placement, Instant now) -> void;
    auto notePeer(const std::vector<ContextPlacement> &placements, Instant now) -> void;
    /// Returns the upstreams that may hold `context`, the most recently used first.
    [[nodiscard]] auto upstreamsOf(std::uint64_t context, Instant now) const
        -> std::vector<UpstreamId>;
    /// Returns the total tokens of the contexts that were used last at `upstream` and whose next
    /// requests are expected there.
    [[nodiscard]] auto tokensAt(UpstreamId upstream) const -> std::uint64_t;
    /// Removes expired entries; must be called periodically.
    auto expire(Instant now) -> void;
    /// Returns this router's own recent uses without duplicates. Where reports to peers are less
    /// frequent, `within` extends the period covered.
    [[nodiscard]] auto recentUses(Instant now, Duration within = reportWindow)
        -> std::vector<ContextPlacement>;

private:
    /// Minimum interval between recounts of the tokens; iterating over 20,000 contexts takes one to
    /// two milliseconds.
    static constexpr Duration recountInterval = std::chrono::seconds(1);

    struct Entry
    {
        std::vector<UpstreamId> upstreams; // Most recently used first.
        std::uint32_t tokens = 0;
    };

    struct Use
    {
        ContextPlacement placement;
        Instant at;
    };

    auto put(const ContextPlacement &placement, Instant now) -> void;

    core::ExpiringMap<Entry> entries_{capacity};
    std::unordered_map<UpstreamId, std::uint64_t> tokensAt_;
    Instant countedAt_;
    std::deque<Use> uses_;
};

} // namespace applehatch::direct
