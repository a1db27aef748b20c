/// The runs at the upstream and the flags that stop them.
#pragma once

#include "applehatch/clients/upstream-client.h"
#include "applehatch/core/sidecar-node.h"

#include "worker-pool.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace applehatch::sidecar {

/// Runs calls on a pool of threads and reports them as node events, from those threads.
class RunTable
{
public:
    RunTable(const clients::UpstreamClient &client, WorkerPool &workers,
             std::function<void(core::SidecarEvent)> report);

    auto start(core::StartRun start) -> void;
    auto cancel(core::RunId run) -> void;

private:
    struct Running
    {
        core::RequestId request;
        std::shared_ptr<std::atomic<bool>> cancelled;
    };

    auto carryOut(const core::StartRun &start, const std::atomic<bool> &cancelled) -> void;

    const clients::UpstreamClient &client_;
    WorkerPool &workers_;
    std::function<void(core::SidecarEvent)> report_;
    std::mutex mutex_; ///< Guards `running_`.
    std::unordered_map<core::RunId, Running> running_;
};

} // namespace applehatch::sidecar
