#include "world-impl.h"

namespace applehatch::schedule {

namespace {

using namespace std::chrono_literals;

constexpr auto longestPause = 6s;
constexpr auto longestPartition = 5s;
constexpr auto beforeResume = 300ms;
constexpr auto beforeDrainEnds = 2s;

} // namespace

auto World::scheduleFaults() -> void
{
    const auto &faults = shape_.faults;
    repeat(faults.perSecondCuts, [this] {
        if (links_.empty())
            return;
        ++history_.tried.linksCut;
        cut(std::next(links_.begin(), static_cast<std::ptrdiff_t>(below(links_.size())))->second,
            true, true);
    });
    repeat(faults.perSecondPauses, [this] {
        ++history_.tried.pauses;
        const auto until = now_ + core::Duration(below(core::Duration(longestPause).count()));
        if (chance(0.5))
            routers_[below(routers_.size())]->pausedUntil = until;
        else
            sidecars_.at(upstreams_[below(upstreams_.size())])->pausedUntil = until;
    });
    repeat(faults.perSecondSidecarRestarts,
           [this] { restartSidecar(*sidecars_.at(upstreams_[below(upstreams_.size())])); });
    repeat(faults.perSecondRouterRestarts,
           [this] { restartRouter(*routers_[below(routers_.size())]); });
    repeat(faults.perSecondEngineCrashes,
           [this] { crashEngine(*sidecars_.at(upstreams_[below(upstreams_.size())])); });
    repeat(faults.perSecondPartitions, [this] { beginPartition(); });
    repeat(faults.perSecondDrains, [this] {
        auto &sidecar = *sidecars_.at(upstreams_[below(upstreams_.size())]);
        if (sidecar.draining)
            return;
        ++history_.tried.drains;
        sidecar.draining = true;
        toSidecar(sidecar, core::DrainRequested{});
        after(beforeDrainEnds, [this, &sidecar, life = sidecar.identity.incarnation] {
            if (sidecar.identity.incarnation == life && sidecar.running.empty())
                restartSidecar(sidecar);
        });
    });
}

// Faults arrive as a Poisson process, so that two often fall together.
auto World::repeat(double perSecond, const std::function<void()> &fault) -> void
{
    if (perSecond <= 0)
        return;
    const auto start = core::Instant{2s};
    auto when = start;
    while (true) {
        const auto gap = std::exponential_distribution<double>(perSecond)(random_);
        when += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(gap));
        if (when > start + shape_.length)
            return;
        at(when, fault);
    }
}

auto World::beginPartition() -> void
{
    if (std::exchange(apart_, true))
        return;
    ++history_.tried.partitions;
    for (const auto &[id, link] : std::map(links_)) {
        if (isApart(*link->router, *link->sidecar))
            cut(link, true, true);
    }
    after(core::Duration(below(core::Duration(longestPartition).count())),
          [this] { apart_ = false; });
}

auto World::restartRouter(Router &router) -> void
{
    ++history_.tried.routerRestarts;
    for (const auto &[upstream, link] : std::map(router.links))
        cut(link, false, true);
    for (auto &[request, exchange] : exchanges_) {
        auto &answer = history_.answers[exchange.answer];
        if (exchange.router != &router || exchange.routerLife != router.life || answer.finals > 0)
            continue;
        answer.routerDied = true;
        if (!answer.position.empty())
            after(beforeResume, [this, number = exchange.answer] { resume(number); });
    }
    startRouter(router);
}

auto World::restartSidecar(Sidecar &sidecar) -> void
{
    ++history_.tried.sidecarRestarts;
    for (const auto &[id, link] : std::map(links_)) {
        if (link->sidecar == &sidecar)
            cut(link, true, false);
    }
    startSidecar(sidecar);
}

} // namespace applehatch::schedule
