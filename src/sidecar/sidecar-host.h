/// The sidecar process round its node: links, upstream, settings, digests, time.
#pragma once

#include "applehatch/admin/api.h"
#include "applehatch/clients/upstream-client.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/process/address-book.h"
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

    /// Binds every address and starts. The error names the first that cannot be had.
    [[nodiscard]] auto start() -> std::error_code;

    /// Asks the node to drain; `drain` tells when it is done.
    auto requestDrain() -> void;

    /// Requests in flight.
    [[nodiscard]] auto inFlight() const -> std::uint64_t;

    [[nodiscard]] auto drain() -> process::Drain & { return drain_; }

private:
    using Runner = process::NodeRunner<core::SidecarNode, core::SidecarEvent, core::SidecarAction>;

    auto act(core::SidecarAction &action) -> void;
    auto carry(core::SendToPeer &send) -> void;
    auto carry(core::ClosePeer &close) -> void;
    auto carry(core::SendToUpstreamPeer &send) -> void;
    auto carry(core::StartRun &start) -> void;
    auto carry(core::CancelRun &cancel) -> void;
    auto carry(core::GiveOrder &order) -> void;
    auto carry(core::HandOff &handOff) -> void;
    auto carry(core::SendDigest &digest) -> void;
    auto carry(core::WriteLog &log) -> void;
    auto carry(core::Drained &drained) -> void;

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
    process::AddressBook addresses_;
    std::atomic<bool> isEngine_{false}; ///< Plain services have no cache to ask about.
    std::uint64_t cacheSequence_ = 0;   ///< The polling thread's.

    clients::UpstreamClient upstream_;
    Runner node_;
    wire::LinkLoop loop_;
    process::PeerLinks links_; ///< Opened here, to other sidecars.
    process::SettingsFeed feed_;
    WorkerPool workers_;
    RunTable runs_;
    wire::DigestSocket digests_; ///< After the feed, which its thread calls.
    std::unique_ptr<process::Periodic> statePolls_;
    std::unique_ptr<process::Periodic> cachePolls_;
    process::AdminServer admin_;
};

} // namespace applehatch::sidecar
