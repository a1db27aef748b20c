#include "applehatch/direct/choice.h"

#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace applehatch::direct {

namespace {

// An upstream whose failure share lies this far above the least of its service is left alone: two
// failures in a row of one that served before.
constexpr double failureTolerance = 0.25;
// An engine this many times slower than usual gets proportionally less; below it is chance.
constexpr double slownessTolerance = 1.5;

auto tier(const ChoiceView &view, double leastFailures) -> int
{
    auto worse = 0;
    if (view.upstream->state == UpstreamState::Doubtful)
        worse += 1;
    if (view.failureShare > leastFailures + failureTolerance)
        worse += 2;
    if (view.paused)
        worse += 4;
    return worse;
}

auto leastFailureShare(const std::vector<ChoiceView> &usable) -> double
{
    auto least = 1.0;
    for (const auto &view : usable)
        least = std::min(least, view.failureShare);
    return least;
}

// The upstreams of the best tier that has any.
auto bestTier(const std::vector<ChoiceView> &usable) -> std::vector<const ChoiceView *>
{
    const auto least = leastFailureShare(usable);
    auto best = std::numeric_limits<int>::max();
    for (const auto &view : usable)
        best = std::min(best, tier(view, least));
    std::vector<const ChoiceView *> chosen;
    for (const auto &view : usable) {
        if (tier(view, least) == best)
            chosen.push_back(&view);
    }
    return chosen;
}

auto meanLoad(const std::vector<ChoiceView> &usable) -> double
{
    auto total = 0.0;
    for (const auto &view : usable)
        total += view.load;
    return usable.empty() ? 0 : total / static_cast<double>(usable.size());
}

auto limitOf(const ChoiceView &view, double mean, LoadBound bound) -> double
{
    const auto limit = bound.factor * mean + bound.slack;
    return view.slowness > slownessTolerance ? limit / view.slowness : limit;
}

auto isBelowBound(const ChoiceView &view, double mean, LoadBound bound) -> bool
{
    return view.load + 1.0 <= limitOf(view, mean, bound) && view.load < view.upstream->slots;
}

// What of an engine's memory contexts may fill; the rest is for requests that run.
constexpr double contextsMayFill = 0.5;

// Beyond it a further context pushes out others that will be asked for.
constexpr double fullOfContexts = 0.8;

auto memoryPressure(const ChoiceView &view) -> double
{
    return std::max(0.0, view.memoryShare - contextsMayFill);
}

auto leastLoaded(const std::vector<const ChoiceView *> &views) -> const Upstream *
{
    const auto lighter = [](const ChoiceView *a, const ChoiceView *b) {
        const auto left = a->load * a->slowness / a->upstream->slots;
        const auto right = b->load * b->slowness / b->upstream->slots;
        return left + memoryPressure(*a) < right + memoryPressure(*b);
    };
    // The first of several with the least load: the context's better home.
    const auto least = std::min_element(views.begin(), views.end(), lighter);
    return least == views.end() ? nullptr : (*least)->upstream;
}

// Best home of the context first.
auto sortByHome(std::uint64_t context, std::vector<const ChoiceView *> &views) -> void
{
    std::vector<std::pair<double, const ChoiceView *>> scored;
    scored.reserve(views.size());
    for (const auto *view : views)
        scored.emplace_back(core::rendezvousScore(context, view->upstream->id, 1), view);
    std::sort(scored.begin(), scored.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    for (std::size_t i = 0; i < views.size(); ++i)
        views[i] = scored[i].second;
}

// The context's homes among `sorted` that have room; all that have room when no home does.
auto roomyHomes(const std::vector<const ChoiceView *> &sorted,
                const std::vector<const ChoiceView *> &roomy) -> std::vector<const ChoiceView *>
{
    std::vector<const ChoiceView *> homes;
    for (std::size_t i = 0; i < std::min(homesEach, sorted.size()); ++i) {
        const auto hasRoom = std::find(roomy.begin(), roomy.end(), sorted[i]) != roomy.end();
        if (hasRoom && sorted[i]->memoryShare < fullOfContexts)
            homes.push_back(sorted[i]);
    }
    return homes.empty() ? roomy : homes;
}

} // namespace

auto chooseEngine(std::uint64_t context, std::optional<UpstreamId> holder,
                  const std::vector<ChoiceView> &usable, LoadBound bound) -> const Upstream *
{
    auto candidates = bestTier(usable);
    sortByHome(context, candidates);
    const auto mean = meanLoad(usable);
    std::vector<const ChoiceView *> roomy;
    for (const auto *view : candidates) {
        if (!isBelowBound(*view, mean, bound))
            continue;
        if (view->upstream->id == holder)
            return view->upstream;
        roomy.push_back(view);
    }
    if (roomy.empty())
        return leastLoaded(candidates);
    return leastLoaded(roomyHomes(candidates, roomy));
}

auto homesOf(std::uint64_t context, const std::vector<ChoiceView> &usable)
    -> std::vector<UpstreamId>
{
    std::vector<const ChoiceView *> sorted;
    sorted.reserve(usable.size());
    for (const auto &view : usable)
        sorted.push_back(&view);
    sortByHome(context, sorted);
    std::vector<UpstreamId> homes;
    for (std::size_t i = 0; i < std::min(homesEach, sorted.size()); ++i)
        homes.push_back(sorted[i]->upstream->id);
    return homes;
}

auto chooseService(const std::vector<ChoiceView> &usable, std::string_view ownDataCenter,
                   std::uint64_t draw) -> const Upstream *
{
    const auto candidates = bestTier(usable);
    const ChoiceView *best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    for (const auto *view : candidates) {
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
