/// Which engines hold which contexts.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace applehatch::direct {

/// A context that was sent to an upstream.
struct ContextPlace
{
    std::uint64_t context = 0;
    UpstreamId upstream = 0;
    std::uint32_t tokens = 0; ///< Of the context.

    auto operator==(const ContextPlace &) const -> bool = default;
};

/// Where shared contexts were sent lately, by this router and by its peers.
class ContextMap
{
public:
    /// An engine drops what it used longest ago; a place unused for this long may be gone.
    static constexpr Duration lifetime = std::chrono::seconds(30);
    /// About 100 bytes each: at most 2 MB.
    static constexpr std::size_t capacity = 20000;
    /// Upstreams remembered for one context.
    static constexpr std::size_t placesEach = 4;
    /// Peers are told of uses this young at the least: two or three digests carry each.
    static constexpr Duration toldFor = std::chrono::milliseconds(500);
    /// Uses in one digest; 64 of 16 bytes keep it within one datagram.
    static constexpr std::size_t mostTold = 64;

    auto noteSent(const ContextPlace &place, Instant now) -> void;
    auto notePeer(const std::vector<ContextPlace> &places, Instant now) -> void;
    /// The upstream used last comes first.
    [[nodiscard]] auto places(std::uint64_t context, Instant now) const -> std::vector<UpstreamId>;
    /// Tokens of the contexts that `upstream` used last, and that will come back to it.
    [[nodiscard]] auto tokensAt(UpstreamId upstream) const -> std::uint64_t;
    /// Forgets what has expired; to be called now and then.
    auto expire(Instant now) -> void;
    /// Own uses of the last moment, each once; of `within`, where peers are told less often.
    [[nodiscard]] auto recentUses(Instant now, Duration within = toldFor)
        -> std::vector<ContextPlace>;

private:
    /// Going through 20,000 contexts takes a millisecond or two.
    static constexpr Duration countsEach = std::chrono::seconds(1);

    struct Held
    {
        std::vector<UpstreamId> upstreams; // The one that used it last comes first.
        std::uint32_t tokens = 0;
    };

    struct Use
    {
        ContextPlace place;
        Instant at;
    };

    auto put(const ContextPlace &place, Instant now) -> void;

    core::ExpiringMap<Held> held_{capacity};
    std::unordered_map<UpstreamId, std::uint64_t> tokensAt_;
    Instant countedAt_;
    std::deque<Use> uses_;
};

} // namespace applehatch::direct
