/// Process around the sidecar node: connects it to links, upstream, settings, digests and timers.
#pragma once

#include "applehatch/admin/api.h"
#include "applehatch/clients/upstream-client.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/process/address-table.h"
#include "applehatch/process/admin-server.h"
#include "applehatch/process/drain.h"
#include "applehatch/process/node-runner.h"
#include "applehatch/process/peer-links.h"
#include "applehatch/process/periodic.h"
#include "applehatch/process/settings-feed.h"
#include "applehatch/process/traffic.h"
#include "applehatch/settings/process-file.h"
#include "applehatch/wire/datagram.h"

#include "run-table.h"
#include "worker-pool.h"

#include <atomic>
#include <memory>
#include <system_error>

namespace applehatch::sidecar {

class SidecarHost
{
public:
    explicit SidecarHost(std::shared_ptr<const settings::ProcessFile> file);
    ~SidecarHost();
    SidecarHost(const SidecarHost &) = delete;
    auto operator=(const SidecarHost &) -> SidecarHost & = delete;

    /// Binds every address and starts serving. Returns the error of the first address that cannot
    /// be bound.
    [[nodiscard]] auto start() -> std::error_code;

    /// Asks the node to drain; `drain()` reports completion.
    auto requestDrain() -> void;

    /// Returns the number of requests in flight.
    [[nodiscard]] auto inFlight() const -> std::uint64_t;

    [[nodiscard]] auto drain() -> process::Drain & { return drain_; }

private:
    using Runner = process::NodeRunner<core::SidecarNode, core::SidecarEvent, core::SidecarAction>;

    auto act(core::SidecarAction &action) -> void;
    auto perform(core::SendToPeer &send) -> void;
    auto perform(core::ClosePeer &close) -> void;
    auto perform(core::SendToUpstreamPeer &send) -> void;
    auto perform(core::StartRun &start) -> void;
    auto perform(core::CancelRun &cancel) -> void;
    auto perform(core::GiveOrder &order) -> void;
    auto perform(core::HandOff &handOff) -> void;
    auto perform(core::SendDigest &digest) -> void;
    auto perform(core::WriteLog &log) -> void;
    auto perform(core::Drained &drained) -> void;

    auto linkHooks() -> wire::LinkHooks;
    auto digestHooks() -> wire::DigestHooks;
    auto feedHooks() -> process::SettingsFeedHooks;
    auto adminSource() -> admin::Source;
    auto health() -> process::Health;
    auto onMessage(wire::LinkId link, core::Message message) -> void;
    auto onDigest(core::Digest digest, const core::Address &from) -> void;
    auto onSettings(core::SettingsPtr settings) -> void;
    auto pollState() -> void;
    auto pollCacheEvents() -> void;
    auto addMetrics() -> void;

    std::shared_ptr<const settings::ProcessFile> file_;
    telemetry::Metrics metrics_;
    process::Traffic traffic_;
    process::Drain drain_;
    process::AddressTable addresses_;
    std::atomic<bool> isEngine_{false}; ///< Plain services have no cache to poll.
    std::uint64_t cacheSequence_ = 0;   ///< Used only by the polling thread.

    clients::UpstreamClient upstream_;
    Runner node_;
    wire::LinkLoop loop_;
    process::PeerLinks links_; ///< Outgoing links, to other sidecars.
    process::SettingsFeed feed_;
    WorkerPool workers_;
    RunTable runs_;
    wire::DigestSocket digests_; ///< After the feed, which this socket's thread calls.
    std::unique_ptr<process::Periodic> statePolls_;
    std::unique_ptr<process::Periodic> cachePolls_;
    process::AdminServer admin_;
};

} // namespace applehatch::sidecar
