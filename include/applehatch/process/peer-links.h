/// Links that this process opens, one for each peer address.
#pragma once

#include "applehatch/wire/link-loop.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace applehatch::process {

/// Maps peer addresses to the links to them. Thread-safe; its lock is held around calls that only
/// queue.
class PeerLinks
{
public:
    explicit PeerLinks(wire::LinkLoop &loop);

    /// Opens a link unless there is one.
    auto open(const core::Address &peer) -> void;

    /// Sends over the link to `peer`, which is opened when there is none.
    auto send(const core::Address &peer, core::Message message) -> void;

    /// Closes the link to `peer`.
    auto drop(const core::Address &peer) -> void;

    /// The peer of a link opened here and still wanted.
    [[nodiscard]] auto peerOf(wire::LinkId link) -> std::optional<core::Address>;

    /// Whether this is the link's first heartbeat; the link is usable from then on.
    [[nodiscard]] auto firstHeartbeat(wire::LinkId link) -> bool;

    /// Forgets a link that went down and gives its peer.
    [[nodiscard]] auto takeDown(wire::LinkId link) -> std::optional<core::Address>;

private:
    struct Peer
    {
        core::Address address;
        bool heard = false;
    };

    using Key = std::pair<std::string, std::uint16_t>;

    auto openLocked(const core::Address &peer) -> wire::LinkId;

    wire::LinkLoop &loop_;
    std::mutex mutex_;
    std::map<Key, wire::LinkId> links_;
    std::unordered_map<wire::LinkId, Peer> peers_;
};

/// Logs what a link held when this side closed it.
auto logClosedLink(wire::LinkId link, const wire::LinkBacklog &backlog) -> void;

} // namespace applehatch::process
