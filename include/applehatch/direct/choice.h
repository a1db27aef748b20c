/// Selection of the upstream for a request.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace applehatch::direct {

/// The state of one upstream that its selection depends on.
struct UpstreamView
{
    const Upstream *upstream = nullptr;
    std::uint32_t load = 0;  ///< Requests that all routers of the fleet have at the upstream.
    double failureShare = 0; ///< Estimated share of failures among its recent answers.
    /// Ratio of its mean time to first event to the mean of all upstreams; 1 is usual.
    double slowness = 1;
    double slowdown = 1; ///< As the upstream reports it; 1 where reports do not count.
    bool paused = false; ///< Was unreachable recently and gets no requests for the time being.
    /// Prompt tokens that it still has to read; 0 where they do not count.
    std::uint64_t unreadTokens = 0;
    /// Share of its memory taken by contexts whose next request is expected there.
    double memoryShare = 0;
};

/// Upper bound on an engine's load relative to the mean of its service: `factor` x mean + `slack`.
struct LoadBound
{
    double factor = 1.9;
    double slack = 2.5;
};

/// Selects the engine for a prompt. `holder`, the engine that used the context last, is preferred,
/// then the less loaded of the context's candidates by rendezvous hashing, as long as their load is
/// within the bound; otherwise the least loaded engine of all is chosen.
///
/// Reading a context again takes an engine an eighth of a second per 10,000 tokens and delays the
/// tokens of all requests that run beside it. Rendezvous hashing gives every router the same
/// candidates without communication. A context that is always sent to the same engine takes the
/// memory of one engine only; copies would evict other contexts where memory is short. Returns null
/// if no upstream is usable. `serviceMean` is the mean load of the service, that of `usable` by
/// default; upstreams that may not be used now count towards it.
[[nodiscard]] auto chooseEngine(std::uint64_t context, std::optional<UpstreamId> holder,
                                const std::vector<UpstreamView> &usable, LoadBound bound,
                                std::optional<double> serviceMean = std::nullopt)
    -> const Upstream *;

/// A prompt for which an engine is sought.
struct PromptDemand
{
    std::uint64_t context = 0;
    std::uint32_t contextTokens = 0; ///< Read again by an engine that does not hold the context.
    std::uint32_t ownTokens = 0;     ///< Read by any engine.
    std::vector<UpstreamId> holders; ///< Engines that may hold the context.
    bool canFetch = false;           ///< Whether an engine can fetch the context from a holder.
};

/// Selects the engine that has read the prompt first, among those within the load bound.
///
/// All is counted in tokens: what the engine still has to read for others, what it would read of
/// this prompt, and once more what it would read again of the context, since that delays others and
/// takes memory. So a context has one holder while that is soon ready, and more as soon as waiting
/// for its holders takes longer than reading it once more: how many follows from how often it is
/// asked for. Short prompts avoid engines that read long ones.
[[nodiscard]] auto chooseSoonestRead(const PromptDemand &demand,
                                     const std::vector<UpstreamView> &usable, LoadBound bound,
                                     double serviceMean) -> const Upstream *;

/// Number of candidate engines among which the first use of a context chooses. Two keep the load
/// far more even than one; a third gains little and makes routers that see different loads disagree
/// more often.
inline constexpr std::size_t candidatesPerContext = 2;

/// Returns the context's candidates among `usable` in order of their rendezvous hash, its owner
/// first.
[[nodiscard]] auto contextCandidates(std::uint64_t context, const std::vector<UpstreamView> &usable)
    -> std::vector<UpstreamId>;

/// Selects an upstream of a service that is not a model: the one with the lowest load per slot
/// among those that do not fail more often than others, preferring the router's own data centre
/// when the loads are about equal. `draw` breaks ties.
[[nodiscard]] auto chooseService(const std::vector<UpstreamView> &usable,
                                 std::string_view ownDataCenter, std::uint64_t draw)
    -> const Upstream *;

/// The same by the time until the answer: the wait for a slot and the work, both at the pace that
/// the upstream reports. One at which work takes longer gets less, not nothing: its free slots are
/// used as soon as the others' queues are longer than that.
[[nodiscard]] auto chooseSoonest(const std::vector<UpstreamView> &usable,
                                 std::string_view ownDataCenter, std::uint64_t draw)
    -> const Upstream *;

} // namespace applehatch::direct
