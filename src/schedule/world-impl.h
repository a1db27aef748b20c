/// The state behind `World`; included by its sources only.
#pragma once

#include "applehatch/schedule/world.h"

namespace applehatch::schedule {

struct World::Router
{
    core::RouterIdentity identity;
    std::unique_ptr<core::RouterNode> node;
    core::Duration clockOffset{0};
    std::uint64_t life = 0;
    std::size_t side = 0; ///< Of a partition.
    core::Instant pausedUntil{};
    std::deque<core::RouterEvent> inbox; ///< What arrived during a pause.
    std::map<core::UpstreamId, LinkPtr> links;
    std::map<core::UpstreamId, std::deque<core::Message>> waiting; ///< While a link opens.
};

/// A stream that the engine still holds, by the request id it was given.
struct HeldStream
{
    std::string body;
    core::Instant lastUse;
};

struct World::Sidecar
{
    core::SidecarIdentity identity;
    std::unique_ptr<core::SidecarNode> node;
    core::Duration clockOffset{0};
    core::Instant pausedUntil{};
    std::deque<core::SidecarEvent> inbox; ///< What arrived during a pause.
    core::Instant engineDownUntil{};
    std::uint64_t engineEpoch = 1;
    bool model = true;
    std::size_t side = 0; ///< Of a partition.
    bool draining = false;
    std::set<core::RunId> running; ///< Runs of this life.
    std::map<std::string, HeldStream> held;
    std::set<std::string> seenBeforeLeaving; ///< Bodies submitted in this life before that.
    std::set<std::string> seenWhileLeaving;  ///< Bodies submitted after the node was leaving.
};

struct World::Link
{
    core::LinkId id = 0;
    Router *router = nullptr;
    Sidecar *sidecar = nullptr;
    core::UpstreamId upstream = 0;
    std::uint64_t routerLife = 0;
    core::Incarnation sidecarLife = 0;
    bool open = false;     ///< The router has been told.
    bool routerEnd = true; ///< Cleared when that end closed or was told.
    bool sidecarEnd = true;
    core::Instant lastToSidecar{};
    core::Instant lastToRouter{};
};

struct World::Exchange
{
    std::size_t answer = 0; ///< Index into the history.
    Router *router = nullptr;
    std::uint64_t routerLife = 0;
};

template <typename Left, typename Right>
auto World::isApart(const Left &left, const Right &right) const -> bool
{
    return apart_ && left.side != right.side;
}

} // namespace applehatch::schedule
