/// Process around the router node: connects it to callers, links, settings, digests and timers.
#pragma once

#include "applehatch/admin/api.h"
#include "applehatch/core/placement.h"
#include "applehatch/core/router-node.h"
#include "applehatch/process/address-table.h"
#include "applehatch/process/admin-server.h"
#include "applehatch/process/drain.h"
#include "applehatch/process/http-server.h"
#include "applehatch/process/node-runner.h"
#include "applehatch/process/peer-links.h"
#include "applehatch/process/settings-feed.h"
#include "applehatch/process/traffic.h"
#include "applehatch/settings/process-file.h"
#include "applehatch/wire/datagram.h"

#include "caller-queue.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <unordered_map>

namespace applehatch::router {

struct RouterOptions
{
    std::shared_ptr<const settings::ProcessFile> file;
    core::Placement placement; ///< Empty for the default.
    int callerThreads = 512;
    std::size_t bodyMemory = std::size_t{256} * 1024 * 1024;   ///< Bytes for bodies of requests.
    std::size_t answerMemory = std::size_t{256} * 1024 * 1024; ///< Bytes for answers.
};

class RouterHost
{
public:
    explicit RouterHost(RouterOptions options);
    ~RouterHost();
    RouterHost(const RouterHost &) = delete;
    auto operator=(const RouterHost &) -> RouterHost & = delete;

    /// Binds every address and starts serving. Returns the error of the first address that cannot
    /// be bound.
    [[nodiscard]] auto start() -> std::error_code;

    /// Asks the node to drain; `drain()` reports completion.
    auto requestDrain() -> void;

    /// Returns the number of requests in flight.
    [[nodiscard]] auto inFlight() const -> std::uint64_t;

    [[nodiscard]] auto drain() -> process::Drain & { return drain_; }

private:
    using Runner = process::NodeRunner<core::RouterNode, core::RouterEvent, core::RouterAction>;

    auto act(core::RouterAction &action) -> void;
    auto perform(core::SendToSidecar &send) -> void;
    auto perform(core::OpenLink &open) -> void;
    auto perform(core::DropLink &drop) -> void;
    auto perform(core::SendDigest &digest) -> void;
    auto perform(core::WriteLog &log) -> void;
    auto perform(core::Drained &drained) -> void;
    template <typename Answer>
    auto perform(Answer &answer) -> void;

    auto linkHooks() -> wire::LinkHooks;
    auto digestHooks() -> wire::DigestHooks;
    auto feedHooks() -> process::SettingsFeedHooks;
    auto adminSource() -> admin::Source;
    auto health() -> process::Health;
    auto onMessage(wire::LinkId link, core::Message message) -> void;
    auto onHeartbeat(wire::LinkId link, core::UpstreamId upstream, const core::Heartbeat &heartbeat)
        -> bool;
    auto addMetrics() -> void;
    /// Logs and counts callers that gave way since the last call, if any.
    auto noteGivenWay() -> void;

    auto serveCaller(process::HttpExchange &exchange) -> void;
    template <typename Event>
    auto serveEvent(process::HttpExchange &exchange, const core::RequestId &request,
                    std::variant<Event, core::Failure> read) -> void;
    auto nextRequest() -> core::RequestId;
    auto waitForCallers() -> void;

    RouterOptions options_;
    telemetry::Metrics metrics_;
    process::Traffic traffic_;
    process::Drain drain_;
    process::AddressTable addresses_;
    std::string requestPrefix_;
    std::atomic<std::uint64_t> requests_{0};

    std::mutex callersMutex_; ///< Guards `callers_`; the queues have their own locks.
    std::condition_variable callerRemoved_;
    std::unordered_map<core::RequestId, std::shared_ptr<CallerQueue>> callers_;

    Runner node_;
    wire::LinkLoop loop_;
    process::PeerLinks links_;
    process::SettingsFeed feed_;
    wire::DigestSocket digests_; ///< After the feed, which this socket's thread calls.
    process::AdminServer admin_;
    process::HttpServer server_; ///< Last, so it stops first, before what its callers use.
};

} // namespace applehatch::router
