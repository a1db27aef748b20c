/// Executes one run at an upstream until it ends.
#pragma once

#include "applehatch/clients/upstream-runs.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <variant>

namespace applehatch::clients {

/// Callbacks during a run, called on the thread that executes it.
struct CallHooks
{
    std::function<void(int status, core::Headers headers, bool warm)> onHead;
    std::function<void(std::string data)> onData;
};

/// The outcome of a run; `how` is set when the answer was incomplete.
struct CallOutcome
{
    bool whole = false;
    core::RunBreak how = core::RunBreak::Lost;
};

/// Executes one run in the calling thread; cancels it once `cancelled` is true.
inline auto runOne(const core::Address &upstream, core::Duration silence,
                   const core::StartRun &start, const CallHooks &hooks,
                   const std::atomic<bool> &cancelled) -> CallOutcome
{
    constexpr auto lookPeriod = 5 * kj::MILLISECONDS;
    auto io = kj::setupAsyncIo();
    std::optional<CallOutcome> outcome;
    UpstreamRuns runs(io, upstream, silence, [&](core::SidecarEvent event) {
        if (auto *head = std::get_if<core::RunHead>(&event))
            hooks.onHead(head->status, std::move(head->headers), head->warm);
        else if (auto *chunk = std::get_if<core::RunChunk>(&event))
            hooks.onData(std::move(chunk->data));
        else if (const auto *broken = std::get_if<core::RunBroken>(&event))
            outcome = CallOutcome{false, broken->how};
        else
            outcome = CallOutcome{std::holds_alternative<core::RunEnd>(event), {}};
    });
    runs.start(start);
    while (!outcome) {
        io.provider->getTimer().afterDelay(lookPeriod).wait(io.waitScope);
        if (cancelled)
            (void)runs.cancel(start.run);
    }
    return *outcome;
}

} // namespace applehatch::clients
