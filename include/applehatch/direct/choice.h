/// Which upstream a request goes to.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"

#include <cstdint>
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
    std::uint32_t load = 0;   ///< Requests of the whole fleet there.
    double failureShare = 0;  ///< Of its latest answers.
    double slowness = 1;      ///< Its first events against the service's median; 1 is usual.
    bool paused = false;      ///< Could not be reached a moment ago.
};

/// Where shared contexts were sent lately.
class ContextMap
{
public:
    /// A context unused for this long costs the same to read anywhere; its place is forgotten.
    static constexpr Duration lifetime = std::chrono::seconds(20);
    /// About 100 bytes each: at most 2 MB.
    static constexpr std::size_t capacity = 20000;
    /// Upstreams remembered for one context.
    static constexpr std::size_t placesEach = 4;

    auto noteSent(std::uint64_t context, UpstreamId upstream, Instant now) -> void;
    [[nodiscard]] auto places(std::uint64_t context, Instant now) const -> std::vector<UpstreamId>;

private:
    core::ExpiringMap<std::vector<UpstreamId>> places_{capacity};
};

/// How far an engine's load may rise above the mean of its service: `factor` x mean + `slack`.
struct LoadBound
{
    double factor = 1.6;
    double slack = 2;
};

/// Picks an engine for a prompt: one that holds its context, else its home by rendezvous hashing,
/// while their load keeps to the bound.
///
/// Reading a context anew costs seconds of an engine's time a minute and delays the tokens of all
/// that run beside it. Every router finds the same home without asking anyone. Null when nothing
/// is usable.
[[nodiscard]] auto chooseEngine(std::uint64_t context, const std::vector<UpstreamId> &holders,
                                const std::vector<ChoiceView> &usable, LoadBound bound)
    -> const Upstream *;

/// Picks an upstream of a plain service: the least loaded for its slots, of those that do not fail
/// more than others; within one data centre where that makes no difference. `draw` breaks ties.
[[nodiscard]] auto chooseService(const std::vector<ChoiceView> &usable,
                                 std::string_view ownDataCenter, std::uint64_t draw)
    -> const Upstream *;

} // namespace applehatch::direct
