#include "sidecar-state.h"

#include <set>

namespace applehatch::core {

auto SidecarNode::State::on(const PeerLinkUp &event) -> void
{
    links[event.link] = {stallAwareNow, now};
    sendClock(event.link);
}

auto SidecarNode::State::on(const PeerLinkDown &event) -> void
{
    links.erase(event.link);
    dropReaders(event.link);
}

auto SidecarNode::State::on(const PeerResponded &event) -> void
{
    const auto link = links.find(event.link);
    if (link != links.end())
        link->second.lastSignAt = stallAwareNow;
}

auto SidecarNode::State::sendClock(LinkId link) -> void
{
    links[link].clockSentAt = now;
    send(link, Heartbeat{identity.incarnation, now});
}

// A connection can become silent permanently while new ones work, because something between the
// ends lost its state. The router then waits for bytes that never arrive. Neither end gets an
// error; the only sign is that the peer no longer receives anything. Closing the link lets the
// router resume on a new one. A router that receives nothing sends a heartbeat each second, so a
// live router always shows a sign.
auto SidecarNode::State::checkLinks() -> void
{
    std::set<LinkId> outstanding;
    for (const auto run : active) {
        for (const auto &reader : jobs.at(run).readers)
            outstanding.insert(reader.link);
    }
    for (const auto id : outstanding) {
        const auto found = links.find(id);
        if (found == links.end())
            continue;
        if (stallAwareNow - found->second.lastSignAt >= limits.linkTimeout) {
            log(LogLine("link-silent")
                    .add("link", static_cast<std::int64_t>(id))
                    .add("silent_us", Duration(stallAwareNow - found->second.lastSignAt).count()));
            links.erase(found);
            dropReaders(id);
            out.emplace_back(ClosePeer{id});
        } else if (now - found->second.clockSentAt >= limits.clockInterval) {
            sendClock(id);
        }
    }
}

auto SidecarNode::State::dropReaders(LinkId link) -> void
{
    for (const auto run : active) {
        auto &job = jobs.at(run);
        const auto dropped = std::erase_if(
            job.readers, [link](const Reader &reader) { return reader.link == link; });
        if (dropped != 0 && job.readers.empty())
            job.unreadSince = stallAwareNow;
    }
}

} // namespace applehatch::core
