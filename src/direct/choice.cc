#include "applehatch/direct/choice.h"

#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <functional>
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

namespace {

// Fetching a context from another engine takes about half of the time of reading it.
constexpr double fetchShare = 0.5;
// Added to what an engine has to read that is not among the context's candidates, as a share of the
// context: routers that do not know yet where it is held look for it there.
constexpr double strayShare = 0.25;
// A running request delays the next one's first event about as long as reading this many tokens.
constexpr double tokensPerRequest = 50;

// What is read again delays others, the more the busier all engines are with reading: its weight
// grows by one for each of these tokens that an engine has to read on average.
constexpr double tokensPerRereadWeight = 500;

auto contains(const std::vector<UpstreamId> &list, UpstreamId id) -> bool
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

auto rereadWeight(const std::vector<UpstreamView> &usable) -> double
{
    auto unread = 0.0;
    for (const auto &view : usable)
        unread += static_cast<double>(view.unreadTokens);
    const auto mean = usable.empty() ? 0 : unread / static_cast<double>(usable.size());
    return 1 + mean / tokensPerRereadWeight;
}

auto readingCost(const PromptDemand &demand, const UpstreamView &view, bool isCandidate,
                 double weight) -> double
{
    auto missing = 0.0;
    if (!contains(demand.holders, view.upstream->id)) {
        const auto mayFetch = demand.canFetch && !demand.holders.empty();
        missing = demand.contextTokens * (mayFetch ? fetchShare : 1.0);
        if (!isCandidate)
            missing += demand.contextTokens * strayShare;
        if (view.memoryShare >= fullContextShare)
            missing += demand.contextTokens;
    }
    const auto slowness = view.slowness > slownessTolerance ? view.slowness : 1.0;
    const auto toRead = static_cast<double>(view.unreadTokens) + demand.ownTokens + missing;
    return toRead * std::max(slowness, view.slowdown) + weight * missing
        + tokensPerRequest * view.load;
}

} // namespace

auto chooseSoonestRead(const PromptDemand &demand, const std::vector<UpstreamView> &usable,
                       LoadBound bound, double serviceMean) -> const Upstream *
{
    auto engines = scoreEngines(demand.context, bestTier(usable));
    const auto candidates = topCandidates(engines);
    const auto isCandidate = [&](const UpstreamView &view) {
        return std::any_of(candidates.begin(), candidates.end(),
                           [&](const ScoredEngine &each) { return each.view == &view; });
    };
    const auto hasNoRoom = [&](const ScoredEngine &engine) {
        return !isBelowBound(*engine.view, serviceMean, bound);
    };
    if (!std::all_of(engines.begin(), engines.end(), hasNoRoom))
        std::erase_if(engines, hasNoRoom);
    const auto weight = rereadWeight(usable);
    const ScoredEngine *best = nullptr;
    auto least = std::numeric_limits<double>::max();
    for (const auto &engine : engines) {
        const auto cost = readingCost(demand, *engine.view, isCandidate(*engine.view), weight);
        const auto isLess =
            cost < least || (cost == least && best != nullptr && hasHigherScore(engine, *best));
        if (!isLess)
            continue;
        least = cost;
        best = &engine;
    }
    return best == nullptr ? nullptr : best->view->upstream;
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

namespace {

// Added to the cost of an upstream in another data centre, in shares of the work's usual time.
constexpr double otherDataCenterCost = 0.1;

// Share of the load that counts although slots are free: others may have sent requests there that
// are not known here yet.
constexpr double unseenLoadShare = 0.5;

using Cost = std::function<double(const UpstreamView &)>;

// Returns the cheapest upstream of the best tier.
auto cheapest(const std::vector<UpstreamView> &usable, std::string_view ownDataCenter,
              std::uint64_t draw, const Cost &cost) -> const Upstream *
{
    const UpstreamView *best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    for (const auto *view : bestTier(usable)) {
        const auto away = view->upstream->dataCenter == ownDataCenter ? 0.0 : otherDataCenterCost;
        const auto tie = static_cast<double>((draw ^ view->upstream->id) % 97) * 1e-4;
        const auto score = cost(*view) + away + tie;
        if (score < bestScore) {
            bestScore = score;
            best = view;
        }
    }
    return best == nullptr ? nullptr : best->upstream;
}

auto relativeTimeToAnswer(const UpstreamView &view) -> double
{
    const auto slots = std::max(1U, view.upstream->slots);
    const auto busy = static_cast<double>(view.load) / slots;
    const auto queued = std::max(0.0, (view.load + 1.0 - slots) / slots);
    return view.slowdown * (1 + queued + busy * unseenLoadShare);
}

} // namespace

auto chooseService(const std::vector<UpstreamView> &usable, std::string_view ownDataCenter,
                   std::uint64_t draw) -> const Upstream *
{
    return cheapest(usable, ownDataCenter, draw, [](const UpstreamView &view) {
        return view.slowness * view.load / std::max(1U, view.upstream->slots);
    });
}

auto chooseSoonest(const std::vector<UpstreamView> &usable, std::string_view ownDataCenter,
                   std::uint64_t draw) -> const Upstream *
{
    return cheapest(usable, ownDataCenter, draw, relativeTimeToAnswer);
}

} // namespace applehatch::direct
