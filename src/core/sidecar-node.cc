#include "applehatch/core/sidecar-node.h"

namespace applehatch::core {

struct SidecarNode::State
{
    SidecarIdentity identity;
    SidecarLimits limits;
    SidecarEvent last;
    LoadTable loads;
    SettingsPtr settings;
};

SidecarNode::SidecarNode(SidecarIdentity identity, SidecarLimits limits)
    : state_(std::make_unique<State>())
{
    state_->identity = std::move(identity);
    state_->limits = limits;
}

SidecarNode::~SidecarNode() = default;

auto SidecarNode::handle(SidecarEvent event, Instant /*now*/) -> std::vector<SidecarAction>
{
    state_->last = std::move(event);
    return {};
}

auto SidecarNode::counts() const -> SidecarCounts
{
    return {};
}

auto SidecarNode::state() const -> UpstreamState
{
    return UpstreamState::Joining;
}

auto SidecarNode::loads() const -> const LoadTable &
{
    return state_->loads;
}

auto SidecarNode::settings() const -> SettingsPtr
{
    return state_->settings;
}

} // namespace applehatch::core
