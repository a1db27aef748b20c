/// Which upstream a request goes to.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace applehatch::direct {

/// One upstream as a choice sees it.
struct ChoiceView
{
    const Upstream *upstream = nullptr;
    std::uint32_t load = 0;  ///< Requests of the whole fleet there.
    double failureShare = 0; ///< Of its latest answers.
    double slowness = 1;     ///< Its first events against the service's median; 1 is usual.
    bool paused = false;     ///< Could not be reached a moment ago.
    double memoryShare = 0;  ///< Of its memory, the contexts that come back to it.
};

/// How far an engine's load may rise above the mean of its service: `factor` x mean + `slack`.
struct LoadBound
{
    double factor = 1.9;
    double slack = 2.5;
};

/// Picks an engine for a prompt: the one that used its context last, else the less loaded of its
/// homes by rendezvous hashing, while their load keeps to the bound; else the least loaded of all.
///
/// Reading a context anew takes an engine an eighth of a second for 10,000 tokens and delays the
/// tokens of all that run beside it. Every router finds the same homes without asking anyone. A
/// context that comes back to one engine alone takes the memory of one: copies push other contexts
/// out where memory is short. Null when nothing is usable.
[[nodiscard]] auto chooseEngine(std::uint64_t context, std::optional<UpstreamId> holder,
                                const std::vector<ChoiceView> &usable, LoadBound bound)
    -> const Upstream *;

/// Homes of a context that its first use chooses from. Two keep the load far more even than one;
/// a third gains little and lets routers that see different loads disagree more often.
inline constexpr std::size_t homesEach = 2;

/// The context's homes among `usable`, the better one first.
[[nodiscard]] auto homesOf(std::uint64_t context, const std::vector<ChoiceView> &usable)
    -> std::vector<UpstreamId>;

/// Picks an upstream of a plain service: the least loaded for its slots, of those that do not fail
/// more than others; within one data centre where that makes no difference. `draw` breaks ties.
[[nodiscard]] auto chooseService(const std::vector<ChoiceView> &usable,
                                 std::string_view ownDataCenter, std::uint64_t draw)
    -> const Upstream *;

} // namespace applehatch::direct
