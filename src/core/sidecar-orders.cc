#include "sidecar-state.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

// Reports lag by up to a second; a report after this delay shows the effect of the order.
constexpr Duration reportLag = std::chrono::milliseconds(1500);
constexpr Duration orderTimeout = std::chrono::minutes(5);
constexpr Duration firstBackoff = std::chrono::seconds(1);
constexpr std::uint32_t maxDoublings = 6;

// The first report after a pause may have been read before the pause.
constexpr std::uint32_t minReportsAfterPause = 2;

} // namespace

auto SidecarNode::State::on(const OrderAnswered &event) -> void
{
    if (outstandingOrder != event.fence)
        return;
    outstandingOrder.reset();
    log(LogLine("order-answered")
            .add("fence", static_cast<std::int64_t>(event.fence))
            .add("done", event.done ? 1 : 0)
            .add("detail", event.detail));
    if (event.done) {
        orderFailures = 0;
        reportWantedAfter = now + reportLag;
        return;
    }
    // The weight store limits its rate. If all engines of a rollout retried at the same time, they
    // would block each other, so the backoff is exponential with jitter.
    const auto wait = firstBackoff * (1U << std::min(orderFailures, maxDoublings));
    orderNotBefore = now + wait + Duration(static_cast<Duration::rep>(random() % wait.count()));
    ++orderFailures;
}

auto SidecarNode::State::mayOrder() const -> bool
{
    if (pool.kind != settings::PoolKind::Model || !report || !report->reachable || isLeaving())
        return false;
    // An engine that ignores fencing numbers would also obey a sidecar that was suspended.
    const auto hasReread =
        pool.fencing == settings::Fencing::Honored || reportsSincePause >= minReportsAfterPause;
    return hasReread && now >= orderNotBefore && reportAt >= reportWantedAfter;
}

auto SidecarNode::State::considerOrder() -> void
{
    if (outstandingOrder && now - orderGivenAt >= orderTimeout)
        outstandingOrder.reset();
    if (outstandingOrder || !mayOrder())
        return;
    const auto change = nextChange(pool.models, report->models);
    if (!change) {
        outForRollout = false;
        quietSince.reset();
        return;
    }
    if (!outForRollout && holdsAnyModel()) {
        if (!hasTurn())
            return;
        outForRollout = true;
        advertiseToSome();
    }
    // Unloading a model while a request runs would truncate its answer.
    const auto isIdle = running == 0 && queue.size() == 0;
    if (change->change == ModelChange::Load || isIdle)
        giveOrder(*change);
}

auto SidecarNode::State::hasTurn() -> bool
{
    RolloutView rollout;
    rollout.maxUnavailable = std::max(1U, pool.rolloutWidth);
    std::uint32_t doublings = 0;
    for (auto reach = pool.members.size(); reach > 1; reach /= 2)
        ++doublings;
    rollout.delayPerRank = limits.digestInterval * (1 + doublings);
    for (const auto &member : pool.members) {
        if (member.id == self)
            continue;
        rollout.rank += member.id < self ? 1 : 0;
        const auto entry = loads.find(member.id, now);
        const auto serves = entry && entry->state == UpstreamState::Serving;
        rollout.unavailable += !serves && !isUnlisted(member) ? 1 : 0;
    }
    if (rollout.unavailable >= rollout.maxUnavailable) {
        quietSince.reset();
        return false;
    }
    quietSince = quietSince.value_or(now);
    rollout.belowLimitFor = now - *quietSince;
    return mayBeginRollout(rollout);
}

// Returns true if the platform no longer lists the member's host. If such a member counted as out,
// it would block every rollout of its pool until it is removed from the settings.
auto SidecarNode::State::isUnlisted(const settings::Member &member) const -> bool
{
    const auto isIts = [&](const Host &host) { return host.ip == member.sidecar.ip; };
    return hostList && std::none_of(hostList->hosts.begin(), hostList->hosts.end(), isIts);
}

auto SidecarNode::State::giveOrder(const PlannedChange &change) -> void
{
    const auto fence = fencing.next(teamIndex);
    if (!fence)
        return;
    const auto isLoad = change.change == ModelChange::Load;
    outstandingOrder = *fence;
    orderGivenAt = now;
    out.emplace_back(
        GiveOrder{*fence, isLoad ? OrderKind::LoadModel : OrderKind::UnloadModel, change.model});
    log(LogLine("order")
            .add("kind", isLoad ? "load-model" : "unload-model")
            .add("model", change.model)
            .add("fence", static_cast<std::int64_t>(*fence)));
}

auto SidecarNode::State::holdsAnyModel() const -> bool
{
    if (pool.kind != settings::PoolKind::Model || pool.models.empty() || !report)
        return true;
    return std::any_of(pool.models.begin(), pool.models.end(), [this](const std::string &model) {
        return std::find(report->models.begin(), report->models.end(), model)
            != report->models.end();
    });
}

} // namespace applehatch::core
