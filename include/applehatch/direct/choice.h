/// Which upstream a request goes to.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>
#include <vector>

namespace applehatch::direct {

/// One part of a prompt; requests share parts, and an engine reads a part it holds only once.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator==(const PromptPart &) const -> bool = default;
};

using Prompt = std::vector<PromptPart>;

/// Hash of the parts that others may share: all but the last. Of the only part, where there is one.
[[nodiscard]] auto sharedContext(const Prompt &prompt) -> std::uint64_t;

/// One upstream as a choice sees it.
struct ChoiceView
{
    const Upstream *upstream = nullptr;
    std::uint32_t load = 0;  ///< Requests of the whole fleet there.
    double failureShare = 0; ///< Of its latest answers.
    double slowness = 1;     ///< Its first events against the service's median; 1 is usual.
    bool paused = false;     ///< Could not be reached a moment ago.
};

/// A context that was sent to an upstream.
struct ContextPlace
{
    std::uint64_t context = 0;
    UpstreamId upstream = 0;

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

    auto noteSent(std::uint64_t context, UpstreamId upstream, Instant now) -> void;
    auto notePeer(const std::vector<ContextPlace> &places, Instant now) -> void;
    /// The upstream used last comes first.
    [[nodiscard]] auto places(std::uint64_t context, Instant now) const -> std::vector<UpstreamId>;
    /// Own uses of the last moment, each once; of `within`, where peers are told less often.
    [[nodiscard]] auto recentUses(Instant now, Duration within = toldFor)
        -> std::vector<ContextPlace>;

private:
    struct Use
    {
        ContextPlace place;
        Instant at;
    };

    auto put(const ContextPlace &place, Instant now) -> void;

    core::ExpiringMap<std::vector<UpstreamId>> places_{capacity};
    std::deque<Use> uses_;
};

/// How far an engine's load may rise above the mean of its service: `factor` x mean + `slack`.
struct LoadBound
{
    double factor = 1.9;
    double slack = 2.5;
};

/// Picks an engine for a prompt: one that holds its context, else the less loaded of its homes by
/// rendezvous hashing, while their load keeps to the bound; else the least loaded of all.
///
/// Reading a context anew takes an engine an eighth of a second for 10,000 tokens and delays the
/// tokens of all that run beside it. Every router finds the same homes without asking anyone. Null
/// when nothing is usable.
[[nodiscard]] auto chooseEngine(std::uint64_t context, const std::vector<UpstreamId> &holders,
                                const std::vector<ChoiceView> &usable, LoadBound bound)
    -> const Upstream *;

/// Homes of a context that its first use chooses from. Two keep the load far more even than one;
/// a third gains little and lets routers that see different loads disagree more often.
inline constexpr std::size_t homesEach = 2;

/// Picks an upstream of a plain service: the least loaded for its slots, of those that do not fail
/// more than others; within one data centre where that makes no difference. `draw` breaks ties.
[[nodiscard]] auto chooseService(const std::vector<ChoiceView> &usable,
                                 std::string_view ownDataCenter, std::uint64_t draw)
    -> const Upstream *;

} // namespace applehatch::direct
