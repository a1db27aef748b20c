/// Outgoing links of this process, one per peer address.
#pragma once

#include "applehatch/wire/link-loop.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace applehatch::process {

/// Maps peer addresses to outgoing links. Thread-safe; the lock is held only during lookups and
/// calls that queue work on the loop.
class PeerLinks
{
public:
    explicit PeerLinks(wire::LinkLoop &loop);

    /// Opens a link to `peer` unless one exists.
    auto open(const core::Address &peer) -> void;

    /// Sends `message` over the link to `peer`, opening one if necessary.
    auto send(const core::Address &peer, core::Message message) -> void;

    /// Closes the link to `peer`, if any.
    auto drop(const core::Address &peer) -> void;

    /// Returns the peer of an outgoing link, or nothing for any other link or one that was dropped.
    [[nodiscard]] auto peerOf(wire::LinkId link) -> std::optional<core::Address>;

    /// Records a heartbeat and returns whether it is the link's first; the link is usable from then
    /// on.
    [[nodiscard]] auto firstHeartbeat(wire::LinkId link) -> bool;

    /// Removes a link that went down and returns its peer.
    [[nodiscard]] auto removeLink(wire::LinkId link) -> std::optional<core::Address>;

private:
    struct Peer
    {
        core::Address address;
        bool heartbeatReceived = false;
    };

    using Key = std::pair<std::string, std::uint16_t>;

    auto openLocked(const core::Address &peer) -> wire::LinkId;

    wire::LinkLoop &loop_;
    std::mutex mutex_;
    std::map<Key, wire::LinkId> links_;
    std::unordered_map<wire::LinkId, Peer> peers_;
};

/// Logs the backlog that a link had when this side closed it.
auto logClosedLink(wire::LinkId link, const wire::LinkBacklog &backlog) -> void;

} // namespace applehatch::process
