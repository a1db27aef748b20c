#include "applehatch/process/peer-links.h"

#include "applehatch/core/log-line.h"
#include "applehatch/telemetry/logger.h"

#include <utility>

namespace applehatch::process {

PeerLinks::PeerLinks(wire::LinkLoop &loop)
    : loop_(loop)
{ }

auto PeerLinks::openLocked(const core::Address &peer) -> wire::LinkId
{
    auto &link = links_[{peer.ip, peer.port}];
    if (link == 0) {
        link = loop_.open(peer);
        peers_.emplace(link, Peer{peer, false});
    }
    return link;
}

auto PeerLinks::open(const core::Address &peer) -> void
{
    const std::lock_guard lock(mutex_);
    (void)openLocked(peer);
}

auto PeerLinks::send(const core::Address &peer, core::Message message) -> void
{
    const std::lock_guard lock(mutex_);
    loop_.send(openLocked(peer), std::move(message));
}

auto PeerLinks::drop(const core::Address &peer) -> void
{
    const std::lock_guard lock(mutex_);
    const auto found = links_.find({peer.ip, peer.port});
    if (found == links_.end())
        return;
    loop_.close(found->second);
    peers_.erase(found->second);
    links_.erase(found);
}

auto PeerLinks::peerOf(wire::LinkId link) -> std::optional<core::Address>
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(link);
    if (found == peers_.end())
        return std::nullopt;
    return found->second.address;
}

auto PeerLinks::firstHeartbeat(wire::LinkId link) -> bool
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(link);
    return found != peers_.end() && !std::exchange(found->second.heartbeatReceived, true);
}

auto PeerLinks::removeLink(wire::LinkId link) -> std::optional<core::Address>
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(link);
    if (found == peers_.end())
        return std::nullopt;
    auto peer = found->second.address;
    peers_.erase(found);
    links_.erase({peer.ip, peer.port});
    return peer;
}

auto logClosedLink(wire::LinkId link, const wire::LinkBacklog &backlog) -> void
{
    telemetry::writeLog(telemetry::LogLevel::Info,
                        core::LogLine("link-closed")
                            .add("link", static_cast<std::int64_t>(link))
                            .add("batches", backlog.batches)
                            .add("oldest_us", backlog.oldestBatch.count())
                            .add("queued_bytes", static_cast<std::int64_t>(backlog.queuedBytes))
                            .text());
}

} // namespace applehatch::process
