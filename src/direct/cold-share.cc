#include "applehatch/direct/cold-share.h"

#include "applehatch/core/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace applehatch::direct {

namespace {

// Number of requests in a second that all routers together send to one cold upstream.
auto fleetAllowance(double bound) -> std::uint32_t
{
    constexpr double most = 1e6;
    if (!(bound >= 1))
        return 0;
    return static_cast<std::uint32_t>(
        std::clamp(std::floor(bound * ColdShare::usedShare), 1.0, most));
}

// Returns the share of all hashes that are lower than the router's, 0 to 1.
auto hashShare(UpstreamId upstream, RouterId router) -> double
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(core::rendezvousHash(upstream, router)) / range;
}

} // namespace

auto ColdShare::setFleet(FleetView fleet) -> void
{
    if (fleet == fleet_)
        return;
    fleet_ = std::move(fleet);
    routersAhead_.clear();
}

auto ColdShare::perWindow(UpstreamId upstream, double bound) const -> std::uint32_t
{
    const auto allowance = fleetAllowance(bound);
    const auto known = fleet_.others.size() + 1;
    const auto routers = fleet_.isComplete ? known : std::max(known, fleet_.assumedRouters);
    if (routers <= allowance)
        return allowance / static_cast<std::uint32_t>(routers);
    const auto isHigh = fleet_.isComplete
        || hashShare(upstream, self_)
            >= 1 - static_cast<double>(allowance) / static_cast<double>(routers);
    return isHigh && routersAhead(upstream) < allowance ? 1 : 0;
}

auto ColdShare::routersAhead(UpstreamId upstream) const -> std::size_t
{
    const auto known = routersAhead_.find(upstream);
    if (known != routersAhead_.end())
        return known->second;
    const auto own = core::rendezvousHash(upstream, self_);
    const auto ahead =
        std::count_if(fleet_.others.begin(), fleet_.others.end(),
                      [&](RouterId other) { return core::rendezvousHash(upstream, other) > own; });
    return routersAhead_[upstream] = static_cast<std::size_t>(ahead);
}

auto ColdShare::forget(UpstreamId upstream) -> void
{
    sent_.erase(upstream);
    routersAhead_.erase(upstream);
}

auto ColdShare::hasLeft(UpstreamId upstream, double bound, Instant now) const -> bool
{
    const auto next = nextAt(upstream, bound, now);
    return next && *next <= now;
}

auto ColdShare::nextAt(UpstreamId upstream, double bound, Instant now) const
    -> std::optional<Instant>
{
    const auto allowed = perWindow(upstream, bound);
    if (allowed == 0)
        return std::nullopt;
    const auto sent = sent_.find(upstream);
    const auto earliest = std::max(now, quietUntil_);
    if (sent == sent_.end() || sent->second.size() < allowed)
        return earliest;
    return std::max(earliest, sent->second[sent->second.size() - allowed] + window);
}

auto ColdShare::noteSent(UpstreamId upstream, Instant now) -> void
{
    auto &sent = sent_[upstream];
    while (!sent.empty() && sent.front() + window <= now)
        sent.pop_front();
    sent.push_back(now);
}

} // namespace applehatch::direct
