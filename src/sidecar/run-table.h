/// The runs at the upstream, on the link loop's thread.
#pragma once

#include "applehatch/clients/upstream-runs.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/wire/link-loop.h"

#include <functional>
#include <optional>

namespace applehatch::sidecar {

/// Carries runs out on the loop that also sends their answers on, so that a token costs no change
/// of thread. All but `stop` is thread-safe and never blocks.
class RunTable
{
public:
    /// `silence` is the longest pause of a stream; `report` gets the runs' events on the loop's
    /// thread.
    RunTable(wire::LinkLoop &loop, core::Address upstream, core::Duration silence,
             std::function<void(core::SidecarEvent)> report);

    auto start(core::StartRun start) -> void;

    /// Ends a run here; `stopAtUpstream` is called with its request unless it has ended.
    auto cancel(core::RunId run, std::function<void(core::RequestId)> stopAtUpstream) -> void;

    /// Ends all runs without a report and waits for that; before the loop's stop, not on its
    /// thread.
    auto stop() -> void;

private:
    wire::LinkLoop &loop_;
    std::optional<clients::UpstreamRuns> runs_; ///< The loop's thread only.
};

} // namespace applehatch::sidecar
