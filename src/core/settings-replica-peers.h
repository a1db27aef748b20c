/// Who watches the configuration service, and whom to ask for what it said.
#pragma once

#include "applehatch/core/membership.h"
#include "applehatch/core/settings-replica.h"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace applehatch::core {

/// Which peers to ask.
enum class PeerChoice {
    Near,    ///< Of the own data centre.
    Any,     ///< Of all data centres.
    Readers, ///< Readers of all data centres: first to know of a change, so asked sparingly.
};

/// The sidecars of the settings in force that the host list shows as live.
class PeerBook
{
public:
    explicit PeerBook(const ReplicaIdentity &identity);

    /// Takes the settings in force; their members replace those known before.
    auto setSettings(const settings::Settings &settings) -> void;

    /// Takes a reading of the host list; an empty one says nothing.
    auto setHosts(const HostList &list) -> void;

    /// True when this process is one of the readers of its data centre.
    ///
    /// Ranks come from a hash of the member, so that all processes agree without talking and a
    /// member that leaves moves only its own rank. While host lists differ, one reader too many
    /// costs a call, and one too few is made up for by the other readers and by audits.
    [[nodiscard]] auto isReader() const -> bool { return isReader_; }

    /// A peer at random, not asked before unless all were; 0 lets the host choose, when none is
    /// known.
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
    /// A process counts itself while the lagging list does not show its host yet.
    [[nodiscard]] auto isLive(const Sidecar &sidecar) const -> bool;
    auto chooseReaders(const std::vector<Sidecar> &live) -> void;

    UpstreamId self_;
    std::string dataCenter_;
    std::size_t readersPerDataCenter_;
    std::vector<UpstreamId> firstPeers_;
    std::vector<Sidecar> sidecars_;
    std::unordered_map<std::string, HostState> hosts_;
    std::vector<UpstreamId> near_;
    std::vector<UpstreamId> all_;
    std::vector<UpstreamId> readerPeers_;
    bool isReader_ = false;
};

} // namespace applehatch::core
