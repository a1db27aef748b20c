#include "applehatch/direct/choice.h"

#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <iterator>
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

/// An upstream that may be chosen, and how good a home of the context it is.
struct Candidate
{
    const ChoiceView *view = nullptr;
    std::uint64_t home = 0;
};

auto withHomes(std::uint64_t context, const std::vector<const ChoiceView *> &views)
    -> std::vector<Candidate>
{
    std::vector<Candidate> candidates;
    candidates.reserve(views.size());
    for (const auto *view : views)
        candidates.push_back({view, core::rendezvousHash(context, view->upstream->id)});
    return candidates;
}

auto isBetterHome(const Candidate &a, const Candidate &b) -> bool
{
    return a.home > b.home;
}

auto weightOf(const ChoiceView &view) -> double
{
    return view.load * view.slowness / view.upstream->slots + memoryPressure(view);
}

// Of several with the least load the context's best home.
auto leastLoaded(const std::vector<Candidate> &candidates) -> const Upstream *
{
    const auto lighter = [](const Candidate &a, const Candidate &b) {
        const auto left = weightOf(*a.view);
        const auto right = weightOf(*b.view);
        return left != right ? left < right : isBetterHome(a, b);
    };
    const auto least = std::min_element(candidates.begin(), candidates.end(), lighter);
    return least == candidates.end() ? nullptr : least->view->upstream;
}

// The context's homes, the better one first.
auto bestHomes(const std::vector<Candidate> &candidates) -> std::vector<Candidate>
{
    std::vector<Candidate> homes(std::min(homesEach, candidates.size()));
    std::partial_sort_copy(candidates.begin(), candidates.end(), homes.begin(), homes.end(),
                           isBetterHome);
    return homes;
}

auto findHolder(const std::vector<const ChoiceView *> &views, UpstreamId holder)
    -> const ChoiceView *
{
    const auto found = std::find_if(views.begin(), views.end(), [holder](const auto *view) {
        return view->upstream->id == holder;
    });
    return found == views.end() ? nullptr : *found;
}

} // namespace

auto chooseEngine(std::uint64_t context, std::optional<UpstreamId> holder,
                  const std::vector<ChoiceView> &usable, LoadBound bound) -> const Upstream *
{
    const auto views = bestTier(usable);
    const auto mean = meanLoad(usable);
    const auto hasRoom = [&](const ChoiceView &view) { return isBelowBound(view, mean, bound); };
    const auto *held = holder ? findHolder(views, *holder) : nullptr;
    if (held != nullptr && hasRoom(*held))
        return held->upstream;
    const auto candidates = withHomes(context, views);
    auto homes = bestHomes(candidates);
    std::erase_if(homes, [&](const Candidate &home) {
        return !hasRoom(*home.view) || home.view->memoryShare >= fullOfContexts;
    });
    if (!homes.empty())
        return leastLoaded(homes);
    std::vector<Candidate> roomy;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(roomy),
                 [&](const Candidate &candidate) { return hasRoom(*candidate.view); });
    return leastLoaded(roomy.empty() ? candidates : roomy);
}

auto homesOf(std::uint64_t context, const std::vector<ChoiceView> &usable)
    -> std::vector<UpstreamId>
{
    std::vector<const ChoiceView *> views;
    views.reserve(usable.size());
    for (const auto &view : usable)
        views.push_back(&view);
    std::vector<UpstreamId> homes;
    for (const auto &home : bestHomes(withHomes(context, views)))
        homes.push_back(home.view->upstream->id);
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
