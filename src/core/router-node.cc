#include "applehatch/core/router-node.h"

namespace applehatch::core {

struct RouterNode::State
{
    RouterIdentity identity;
    Placement placement;
    RouterEvent last;
    LoadTable loads;
    SettingsPtr settings;
};

RouterNode::RouterNode(RouterIdentity identity)
    : RouterNode(std::move(identity), Placement())
{ }

RouterNode::RouterNode(RouterIdentity identity, Placement placement)
    : state_(std::make_unique<State>())
{
    state_->identity = std::move(identity);
    state_->placement = std::move(placement);
}

RouterNode::~RouterNode() = default;

auto RouterNode::handle(RouterEvent event, Instant /*now*/) -> std::vector<RouterAction>
{
    state_->last = std::move(event);
    return {};
}

auto RouterNode::explain(const std::string & /*team*/, const std::string & /*pool*/,
                         const std::string & /*chat*/, const std::string & /*contextToken*/,
                         Instant /*now*/) const -> std::vector<Candidate>
{
    return {};
}

auto RouterNode::counts() const -> RouterCounts
{
    return {};
}

auto RouterNode::ready() const -> bool
{
    return state_->settings != nullptr;
}

auto RouterNode::draining() const -> bool
{
    return false;
}

auto RouterNode::loads() const -> const LoadTable &
{
    return state_->loads;
}

auto RouterNode::settings() const -> SettingsPtr
{
    return state_->settings;
}

} // namespace applehatch::core
