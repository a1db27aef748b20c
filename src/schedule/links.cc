#include "world-impl.h"

namespace applehatch::schedule {

auto World::openLink(Router &router, core::UpstreamId upstream) -> void
{
    if (router.links.contains(upstream))
        return;
    auto link = std::make_shared<Link>();
    link->id = ++lastLink_;
    link->router = &router;
    link->routerLife = router.life;
    link->upstream = upstream;
    link->sidecar = sidecars_.at(upstream).get();
    link->sidecarLife = link->sidecar->identity.incarnation;
    router.links[upstream] = link;
    links_[link->id] = link;
    after(delay(), [this, link] { linkOpened(link); });
}

auto World::linkOpened(const LinkPtr &link) -> void
{
    const auto reachable = !isApart(*link->router, *link->sidecar);
    if (link->routerEnd && reachable && link->sidecar->identity.incarnation == link->sidecarLife)
        toSidecar(*link->sidecar, core::PeerLinkUp{link->id});
    else
        cut(link, true, false);
}

auto World::sendToSidecar(Router &router, core::UpstreamId upstream, core::Message message) -> void
{
    const auto link = router.links.find(upstream);
    if (link != router.links.end() && link->second->open) {
        carry(link->second, true, message);
        return;
    }
    router.waiting[upstream].push_back(std::move(message));
    openLink(router, upstream);
}

auto World::sendToPeer(Sidecar &sidecar, core::LinkId id, const core::Message &message) -> void
{
    const auto link = links_.find(id);
    if (link != links_.end() && link->second->sidecar == &sidecar && link->second->sidecarEnd)
        carry(link->second, false, message);
}

auto World::carry(const LinkPtr &link, bool towardsSidecar, const core::Message &message) -> void
{
    // The first heartbeat opens the link, so losing it would only be a refused connection.
    const auto mayFail = link->open;
    if (mayFail && chance(shape_.faults.dropMessage)) {
        ++history_.tried.messagesDropped;
        return;
    }
    const auto copies = mayFail && chance(shape_.faults.doubleMessage) ? 2 : 1;
    history_.tried.messagesDoubled += copies - 1;
    auto &last = towardsSidecar ? link->lastToSidecar : link->lastToRouter;
    for (auto i = 0; i < copies; ++i) {
        auto when = now_ + delay();
        if (!shape_.faults.crossMessages)
            when = std::max(when, last);
        last = std::max(when, last);
        at(when, [this, link, towardsSidecar, message] { deliver(link, towardsSidecar, message); });
    }
}

// A copy of what was accepted before the sidecar was leaving is no new work.
auto World::noteSubmit(Sidecar &sidecar, const std::string &body) -> void
{
    const auto leaving = sidecar.node->state() == core::UpstreamState::Leaving;
    if (!leaving)
        sidecar.seenBeforeLeaving.insert(body);
    else if (!sidecar.seenBeforeLeaving.contains(body))
        sidecar.seenWhileLeaving.insert(body);
}

auto World::deliver(const LinkPtr &link, bool towardsSidecar, const core::Message &message) -> void
{
    if (!link->routerEnd || !link->sidecarEnd || isApart(*link->router, *link->sidecar))
        return;
    if (towardsSidecar) {
        if (link->sidecar->identity.incarnation != link->sidecarLife)
            return;
        if (const auto *submit = std::get_if<core::Submit>(&message))
            noteSubmit(*link->sidecar, *submit->call.body);
        toSidecar(*link->sidecar, core::FromPeer{link->id, message});
        return;
    }
    if (link->router->life != link->routerLife)
        return;
    const auto *heartbeat = std::get_if<core::Heartbeat>(&message);
    if (now_ >= link->router->pausedUntil)
        toSidecar(*link->sidecar, core::PeerResponded{link->id});
    if (link->open || heartbeat == nullptr) {
        toRouter(*link->router, core::FromSidecar{link->upstream, message});
        return;
    }
    link->open = true;
    toRouter(*link->router, core::LinkUp{link->upstream, heartbeat->incarnation, heartbeat->clock});
    const auto waiting = std::exchange(link->router->waiting[link->upstream], {});
    for (const auto &queued : waiting)
        carry(link, true, queued);
}

// By value, for the tables that are changed here may hold the very pointer given.
auto World::cut(LinkPtr link, bool tellRouter, bool tellSidecar) -> void
{
    auto &router = *link->router;
    const auto own = router.links.find(link->upstream);
    const auto wasRouterEnd = std::exchange(link->routerEnd, false);
    const auto wasSidecarEnd = std::exchange(link->sidecarEnd, false);
    if (own != router.links.end() && own->second == link) {
        router.links.erase(own);
        router.waiting.erase(link->upstream);
    }
    links_.erase(link->id);
    after(delay(),
          [this, link = std::move(link), tellRouter, tellSidecar, wasRouterEnd, wasSidecarEnd] {
              if (tellRouter && wasRouterEnd && link->router->life == link->routerLife
                  && !link->router->links.contains(link->upstream))
                  toRouter(*link->router, core::LinkDown{link->upstream});
              if (tellSidecar && wasSidecarEnd
                  && link->sidecar->identity.incarnation == link->sidecarLife)
                  toSidecar(*link->sidecar, core::PeerLinkDown{link->id});
          });
}

} // namespace applehatch::schedule
