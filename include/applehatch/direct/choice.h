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
    bool paused = false; ///< Was unreachable recently and gets no requests for the time being.
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

} // namespace applehatch::direct
