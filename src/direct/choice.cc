#include "applehatch/direct/choice.h"

#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace applehatch::direct {

namespace {

// An upstream whose failure share exceeds the lowest of its service by more than this is avoided.
// Two failures in a row of an upstream that served before exceed it.
constexpr double failureTolerance = 0.25;
// The load limit of an engine that is slower than usual by more than this factor is reduced in
// proportion; smaller differences are random variation.
constexpr double slownessTolerance = 1.5;

auto tier(const UpstreamView &view, double minFailures) -> int
{
    auto worse = 0;
    if (view.upstream->state == UpstreamState::Doubtful)
        worse += 1;
    if (view.failureShare > minFailures + failureTolerance)
        worse += 2;
    if (view.paused)
        worse += 4;
    return worse;
}

auto minFailureShare(const std::vector<UpstreamView> &usable) -> double
{
    auto least = 1.0;
    for (const auto &view : usable)
        least = std::min(least, view.failureShare);
    return least;
}

// Returns the upstreams of the best tier that is not empty.
auto bestTier(const std::vector<UpstreamView> &usable) -> std::vector<const UpstreamView *>
{
    const auto least = minFailureShare(usable);
    auto best = std::numeric_limits<int>::max();
    for (const auto &view : usable)
        best = std::min(best, tier(view, least));
    std::vector<const UpstreamView *> chosen;
    for (const auto &view : usable) {
        if (tier(view, least) == best)
            chosen.push_back(&view);
    }
    return chosen;
}

auto meanLoad(const std::vector<UpstreamView> &usable) -> double
{
    auto total = 0.0;
    for (const auto &view : usable)
        total += view.load;
    return usable.empty() ? 0 : total / static_cast<double>(usable.size());
}

auto loadLimit(const UpstreamView &view, double mean, LoadBound bound) -> double
{
    const auto limit = bound.factor * mean + bound.slack;
    return view.slowness > slownessTolerance ? limit / view.slowness : limit;
}

auto isBelowBound(const UpstreamView &view, double mean, LoadBound bound) -> bool
{
    return view.load + 1.0 <= loadLimit(view, mean, bound) && view.load < view.upstream->slots;
}

// Share of an engine's memory that contexts may fill; the rest is for running requests.
constexpr double maxContextShare = 0.5;

// Above this share of memory, an additional context evicts others that will be requested again.
constexpr double fullContextShare = 0.8;

auto memoryPressure(const UpstreamView &view) -> double
{
    return std::max(0.0, view.memoryShare - maxContextShare);
}

/// An upstream that may be chosen and its rendezvous score for the context.
struct ScoredEngine
{
    const UpstreamView *view = nullptr;
    std::uint64_t score = 0;
};

auto scoreEngines(std::uint64_t context, const std::vector<const UpstreamView *> &views)
    -> std::vector<ScoredEngine>
{
    std::vector<ScoredEngine> engines;
    engines.reserve(views.size());
    for (const auto *view : views)
        engines.push_back({view, core::rendezvousHash(context, view->upstream->id)});
    return engines;
}

auto hasHigherScore(const ScoredEngine &a, const ScoredEngine &b) -> bool
{
    return a.score > b.score;
}

auto relativeLoad(const UpstreamView &view) -> double
{
    return view.load * view.slowness / view.upstream->slots + memoryPressure(view);
}

// Returns the least loaded engine; the one with the highest score if several have the same load.
auto leastLoaded(const std::vector<ScoredEngine> &engines) -> const Upstream *
{
    const auto isLessLoaded = [](const ScoredEngine &a, const ScoredEngine &b) {
        const auto left = relativeLoad(*a.view);
        const auto right = relativeLoad(*b.view);
        return left != right ? left < right : hasHigherScore(a, b);
    };
    const auto least = std::min_element(engines.begin(), engines.end(), isLessLoaded);
    return least == engines.end() ? nullptr : least->view->upstream;
}

// Returns the context's candidates in descending order of score.
auto topCandidates(const std::vector<ScoredEngine> &engines) -> std::vector<ScoredEngine>
{
    std::vector<ScoredEngine> candidates(std::min(candidatesPerContext, engines.size()));
    std::partial_sort_copy(engines.begin(), engines.end(), candidates.begin(), candidates.end(),
                           hasHigherScore);
    return candidates;
}

auto findHolder(const std::vector<const UpstreamView *> &views, UpstreamId holder)
    -> const UpstreamView *
{
    const auto found = std::find_if(views.begin(), views.end(), [holder](const auto *view) {
        return view->upstream->id == holder;
    });
    return found == views.end() ? nullptr : *found;
}

} // namespace

auto chooseEngine(std::uint64_t context, std::optional<UpstreamId> holder,
                  const std::vector<UpstreamView> &usable, LoadBound bound,
                  std::optional<double> serviceMean) -> const Upstream *
{
    const auto views = bestTier(usable);
    const auto mean = serviceMean ? *serviceMean : meanLoad(usable);
    const auto hasRoom = [&](const UpstreamView &view) { return isBelowBound(view, mean, bound); };
    const auto *holderView = holder ? findHolder(views, *holder) : nullptr;
    if (holderView != nullptr && hasRoom(*holderView))
        return holderView->upstream;
    const auto engines = scoreEngines(context, views);
    auto candidates = topCandidates(engines);
    std::erase_if(candidates, [&](const ScoredEngine &candidate) {
        return !hasRoom(*candidate.view) || candidate.view->memoryShare >= fullContextShare;
    });
    if (!candidates.empty())
        return leastLoaded(candidates);
    std::vector<ScoredEngine> withRoom;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(withRoom),
                 [&](const ScoredEngine &engine) { return hasRoom(*engine.view); });
    return leastLoaded(withRoom.empty() ? engines : withRoom);
}

auto contextCandidates(std::uint64_t context, const std::vector<UpstreamView> &usable)
    -> std::vector<UpstreamId>
{
    std::vector<const UpstreamView *> views;
    views.reserve(usable.size());
    for (const auto &view : usable)
        views.push_back(&view);
    std::vector<UpstreamId> candidates;
    for (const auto &candidate : topCandidates(scoreEngines(context, views)))
        candidates.push_back(candidate.view->upstream->id);
    return candidates;
}

auto chooseService(const std::vector<UpstreamView> &usable, std::string_view ownDataCenter,
                   std::uint64_t draw) -> const Upstream *
{
    const auto upstreams = bestTier(usable);
    const UpstreamView *best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    for (const auto *view : upstreams) {
        const auto busy = view->slowness * view->load / std::max(1U, view->upstream->slots);
        const auto away = view->upstream->dataCenter == ownDataCenter ? 0.0 : 0.1;
        const auto tie = static_cast<double>((draw ^ view->upstream->id) % 97) * 1e-4;
        const auto score = busy + away + tie;
        if (score < bestScore) {
            bestScore = score;
            best = view;
        }
    }
    return best == nullptr ? nullptr : best->upstream;
}

} // namespace applehatch::direct
