#include "applehatch/core/router-node.h"

#include "applehatch/core/placement.h"

#include "router-state.h"

#include <algorithm>
#include <utility>

namespace applehatch::core {

RouterNode::State::State(RouterIdentity self, Placement order)
    : identity_(std::move(self))
    , placement_(order ? std::move(order) : Placement(placeByContext))
    , random_(identity_.seed)
{ }

RouterNode::RouterNode(RouterIdentity identity)
    : RouterNode(std::move(identity), Placement())
{ }

RouterNode::RouterNode(RouterIdentity identity, Placement placement)
    : state_(std::make_unique<State>(std::move(identity), std::move(placement)))
{ }

RouterNode::~RouterNode() = default;

auto RouterNode::handle(RouterEvent event, Instant now) -> std::vector<RouterAction>
{
    state_->now_ = now;
    state_->listeningNow_ = state_->listeningClock_.at(now);
    state_->handleEvent(event);
    state_->reportDrained();
    return std::exchange(state_->actions_, {});
}

auto RouterNode::State::handleEvent(RouterEvent &event) -> void
{
    std::visit([this](auto &alternative) { on(alternative); }, event);
}

auto RouterNode::State::on(SettingsInForce &event) -> void
{
    settings_ = std::move(event.settings);
    views_.clear();
    collectConfiguredUpstreams();
    releaseAcknowledgements([this](UpstreamId each) { return isKnownLeaving(each); });
}

auto RouterNode::State::collectConfiguredUpstreams() -> void
{
    configuredUpstreams_.clear();
    for (const auto &[name, team] : settings_->teams) {
        for (const auto &[poolName, pool] : team->pools) {
            for (const auto &member : pool.members)
                configuredUpstreams_.insert(member.id);
        }
    }
}

auto RouterNode::State::on(HostListRead &event) -> void
{
    const auto previous = std::exchange(listedLeavingSince_, {});
    hosts_.clear();
    for (const auto &host : event.list.hosts) {
        hosts_[host.ip] = host.state;
        if (host.state != HostState::Leaving)
            continue;
        const auto known = previous.find(host.ip);
        listedLeavingSince_[host.ip] = known == previous.end() ? now_ : known->second;
    }
    views_.clear();
}

auto RouterNode::State::on(DigestReceived &event) -> void
{
    applyLoads(event.digest.entries);
    crashes_.apply(event.digest.crashes, now_);
}

auto RouterNode::State::applyLoads(const std::vector<DigestEntry> &entries) -> void
{
    const auto changesState = [this](const DigestEntry &entry) {
        const auto known = loads_.find(entry.upstream, now_);
        return entry.state != (known ? known->state : UpstreamState::Serving);
    };
    if (std::any_of(entries.begin(), entries.end(), changesState))
        views_.clear();
    loads_.apply(entries, now_);
    const auto reportsLeaving = [](const DigestEntry &entry) {
        return entry.state == UpstreamState::Leaving;
    };
    if (std::any_of(entries.begin(), entries.end(), reportsLeaving))
        releaseAcknowledgements([this](UpstreamId each) { return isKnownLeaving(each); });
}

auto RouterNode::State::recentLoads() -> const std::vector<DigestEntry> &
{
    if (recentLoads_.empty() || now_ - recentLoadsAt_ > limits::poolViewLifetime) {
        recentLoads_ = loads_.newestEntries(limits::maxSubmitLoads, now_);
        recentLoadsAt_ = now_;
    }
    return recentLoads_;
}

auto RouterNode::State::on(DrainRequested & /*event*/) -> void
{
    draining_ = true;
    releaseAcknowledgements([](UpstreamId) { return true; });
}

auto RouterNode::State::reportDrained() -> void
{
    if (!draining_ || drainedReported_)
        return;
    const auto blocksDrain = [](const auto &item) {
        return item.second.phase != ExchangePhase::Detached;
    };
    if (std::any_of(exchanges_.begin(), exchanges_.end(), blocksDrain))
        return;
    drainedReported_ = true;
    actions_.emplace_back(Drained{});
}

auto RouterNode::State::on(FromSidecar &event) -> void
{
    const auto link = links_.find(event.upstream);
    if (link != links_.end())
        link->second.quietSince = listeningNow_;
    std::visit([&](auto &message) { onMessage(event.upstream, message); }, event.message);
}

auto RouterNode::counts() const -> RouterCounts
{
    auto counts = state_->counts_;
    counts.inFlight = state_->exchanges_.size();
    return counts;
}

auto RouterNode::dependsOn(UpstreamId upstream) const -> bool
{
    const auto link = state_->links_.find(upstream);
    return link != state_->links_.end() && !link->second.exchanges.empty();
}

auto RouterNode::ready() const -> bool
{
    return state_->settings_ != nullptr && !state_->draining_;
}

auto RouterNode::draining() const -> bool
{
    return state_->draining_;
}

auto RouterNode::loads() const -> const LoadTable &
{
    return state_->loads_;
}

auto RouterNode::settings() const -> SettingsPtr
{
    return state_->settings_;
}

} // namespace applehatch::core
