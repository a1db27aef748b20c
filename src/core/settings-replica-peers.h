/// The choice of the readers of the configuration service and of the peers to pull settings from.
#pragma once

#include "applehatch/core/membership.h"
#include "applehatch/core/settings-replica.h"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace applehatch::core {

/// The set from which a peer is picked.
enum class PeerChoice {
    SameDataCenter, ///< Peers in the own data centre.
    Any,            ///< Peers in all data centres.
    Readers,        ///< Readers in all data centres. They see changes first and are asked rarely.
};

/// Selects readers and peers from the sidecars of the settings in force that are live in the host
/// list.
class PeerSelector
{
public:
    explicit PeerSelector(const ReplicaIdentity &identity);

    /// Replaces the known sidecars by those of the settings in force.
    auto setSettings(const settings::Settings &settings) -> void;

    /// Updates the host list. An empty list is ignored, as it means that the hosts are unknown.
    auto setHosts(const HostList &list) -> void;

    /// Returns true if this process is one of the readers of its data centre.
    ///
    /// Members are ranked by a hash, so that all processes agree without communication and a member
    /// that leaves does not reorder the others. While the host lists of processes differ, an extra
    /// reader costs one call; a missing one is covered by the other readers and by audits.
    [[nodiscard]] auto isReader() const -> bool { return isReader_; }

    /// Returns a random peer, preferring those that are not in `asked`. Returns 0 if no peer is
    /// known; the host then chooses one.
    [[nodiscard]] auto pick(const std::unordered_set<UpstreamId> &asked, PeerChoice choice,
                            Random &random) const -> UpstreamId;

private:
    struct Sidecar
    {
        UpstreamId id = 0;
        std::string dataCenter;
        std::string ip;
    };

    auto rebuild() -> void;
    /// A process counts itself as live even if the host list, which lags, does not have its host
    /// yet.
    [[nodiscard]] auto isLive(const Sidecar &sidecar) const -> bool;
    auto chooseReaders(const std::vector<Sidecar> &live) -> void;

    UpstreamId self_;
    std::string dataCenter_;
    std::size_t readersPerDataCenter_;
    std::vector<UpstreamId> bootstrapPeers_;
    std::vector<Sidecar> sidecars_;
    std::unordered_map<std::string, HostState> hosts_;
    std::vector<UpstreamId> sameDataCenter_;
    std::vector<UpstreamId> all_;
    std::vector<UpstreamId> readerPeers_;
    bool isReader_ = false;
};

} // namespace applehatch::core
