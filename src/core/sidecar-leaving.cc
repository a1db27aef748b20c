#include "sidecar-state.h"

#include <algorithm>
#include <chrono>

namespace applehatch::core {

namespace {

constexpr std::size_t maxHandoffs = 256;
constexpr std::uint32_t maxConcurrentHandoffs = 4;

// The process stops waiting for contexts to be copied after this time.
constexpr Duration handoffTimeout = std::chrono::seconds(20);

} // namespace

auto SidecarNode::State::on(const HostListRead &event) -> void
{
    // An empty list means that the hosts are unknown, never that there are none.
    if (event.list.hosts.empty())
        return;
    const auto before = isLeaving();
    hostList = event.list;
    for (const auto &member : pool.members) {
        if (member.id != self)
            continue;
        for (const auto &host : event.list.hosts) {
            if (host.ip == member.sidecar.ip)
                hostLeaving = host.state == HostState::Leaving;
        }
    }
    handleLeavingChange(before);
}

auto SidecarNode::State::on(const DrainRequested & /*event*/) -> void
{
    const auto before = isLeaving();
    drainRequested = true;
    handleLeavingChange(before);
    checkDrained();
}

auto SidecarNode::State::on(const CacheEvents &event) -> void
{
    for (const auto chat : event.stored)
        chats.markStored(chat, now);
    for (const auto chat : event.evicted)
        chats.markEvicted(chat);
    if (event.gap)
        log(LogLine("cache-gap"));
}

auto SidecarNode::State::handleLeavingChange(bool before) -> void
{
    if (isLeaving() == before)
        return;
    log(LogLine("state").add("state", stateName(upstreamState())));
    advertiseToSome();
    notifyRouters();
    if (!isLeaving()) {
        leavingSince.reset();
        handoffs.clear();
        return;
    }
    leavingSince = now;
    if (pool.kind == settings::PoolKind::Model) {
        const auto hottest = chats.mostRecentlyUsed(maxHandoffs);
        handoffs.assign(hottest.begin(), hottest.end());
    }
    handOffNext();
}

auto SidecarNode::State::handOffNext() -> void
{
    while (!handoffs.empty() && handoffsOutstanding < maxConcurrentHandoffs) {
        const auto chat = handoffs.front();
        handoffs.pop_front();
        const auto order = rendezvousOrder(chat, pool.members);
        const auto next = std::find_if(order.begin(), order.end(), [this](UpstreamId id) {
            const auto entry = loads.find(id, now);
            return id != self && entry && entry->state == UpstreamState::Serving;
        });
        if (next == order.end())
            continue;
        ++handoffsOutstanding;
        out.emplace_back(HandOff{chat, *next});
        log(LogLine("handoff").add("chat", static_cast<std::int64_t>(chat)));
    }
}

auto SidecarNode::State::on(const HandoffDone &event) -> void
{
    if (handoffsOutstanding != 0)
        --handoffsOutstanding;
    if (event.done)
        chats.markMoved(event.chat, event.to, now);
    handOffNext();
    checkDrained();
}

// Routers delay acknowledgements of answers until they know that this sidecar is leaving. With
// digests alone some routers would learn it late, and the drain would wait for their
// acknowledgements.
auto SidecarNode::State::notifyRouters() -> void
{
    if (!isLeaving())
        return;
    const auto leaving = refusalOf(ErrorKind::UpstreamLeaving, Run::NotRun, "");
    for (const auto &[id, link] : links)
        send(id, Refusal{"", 0, leaving, 0, freshestFrom(self, loads, 1, now)});
}

auto SidecarNode::State::checkDrained() -> void
{
    if (!drainRequested || drainedReported || !active.empty())
        return;
    const auto handsOff = !handoffs.empty() || handoffsOutstanding != 0;
    if (handsOff && leavingSince && now - *leavingSince < handoffTimeout)
        return;
    // An answer that no router has received completely must outlive its link. The lifetime of the
    // answer limits the wait.
    const auto isAwaited = [](const auto &item) {
        return item.second.phase == JobPhase::Complete && !item.second.replayed;
    };
    if (std::any_of(jobs.begin(), jobs.end(), isAwaited))
        return;
    drainedReported = true;
    log(LogLine("drained"));
    out.emplace_back(Drained{});
}

} // namespace applehatch::core
