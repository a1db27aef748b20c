/// Runs at the upstream, executed on the link loop's thread.
#pragma once

#include "applehatch/clients/upstream-runs.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/wire/link-loop.h"

#include <functional>
#include <optional>

namespace applehatch::sidecar {

/// Executes runs on the loop that also forwards their answers, so that a token costs no thread
/// switch. All functions but `stop` are thread-safe and never block.
class RunTable
{
public:
    /// `idleTimeout` is the maximum pause of a stream; `report` receives the runs' events on the
    /// loop's thread.
    RunTable(wire::LinkLoop &loop, core::Address upstream, core::Duration idleTimeout,
             std::function<void(core::SidecarEvent)> report);

    /// Starts a run.
    auto start(core::StartRun start) -> void;

    /// Ends a run on this side. `stopAtUpstream` is called with its request unless the run has
    /// already ended.
    auto cancel(core::RunId run, std::function<void(core::RequestId)> stopAtUpstream) -> void;

    /// Ends all runs without a report and waits for completion. Must be called before the loop
    /// stops and not on the loop's thread.
    auto stop() -> void;

private:
    wire::LinkLoop &loop_;
    std::optional<clients::UpstreamRuns> runs_; ///< Used only on the loop's thread.
};

} // namespace applehatch::sidecar
