/// The upstream as its sidecar meets it, over HTTP.
#pragma once

#include "applehatch/core/sidecar-node.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace applehatch::clients {

/// What happens while a call runs; called on the thread that runs it.
struct CallHooks
{
    std::function<void(int status, core::Headers headers, bool warm)> onHead;
    std::function<void(std::string data)> onData;
};

/// How a call ended; `RunBreak` when it did not end whole.
struct CallOutcome
{
    bool whole = false;
    core::RunBreak how = core::RunBreak::Lost;
};

/// Talks to one upstream. Thread-safe; each call blocks its thread, which must not run a KJ event
/// loop.
class UpstreamClient
{
public:
    /// `silence` is the longest pause between two bytes before a call counts as silent.
    UpstreamClient(core::Address upstream, core::Duration silence);

    /// Runs one call to its end. Setting `cancelled` ends it within about 100 ms; the engine goes
    /// on with the stream until `cancel`, so that it can be resumed. Of a call that asked for a
    /// stream each pause is limited by `silence`, and four times it before the head; a plain answer
    /// may take until the call's deadline.
    ///
    /// Only an answer whose end shows that all of it arrived is whole: an event stream by its end
    /// marker, another body by its length or its last chunk. `NeverSent`: no connection, or a
    /// request that cannot be written as HTTP. `Lost`: broken before a readable head, or cancelled.
    /// `EndedEarly`: broken after the head. `Silent`: no byte in time.
    [[nodiscard]] auto run(const core::StartRun &start, const CallHooks &hooks,
                           const std::atomic<bool> &cancelled) const -> CallOutcome;

    /// Asks the engine to stop a stream; best effort.
    auto cancel(const core::RequestId &request) const -> std::error_code;

    /// Reads the upstream's state within `timeout`; `reachable` is false on any failure.
    [[nodiscard]] auto state(core::Duration timeout) const -> core::UpstreamReport;

    /// Cache events after `sequence`, which is moved on.
    [[nodiscard]] auto cacheEvents(std::uint64_t &sequence) const -> core::CacheEvents;

    /// Gives an order; the answer says whether the engine took it.
    [[nodiscard]] auto order(const core::GiveOrder &order) const -> core::OrderAnswered;

    /// Copies a chat's KV cache to the engine at `to`.
    [[nodiscard]] auto handOff(core::ChatKey chat, const core::Address &to) const
        -> std::error_code;

private:
    core::Address upstream_;
    core::Duration silence_;
};

} // namespace applehatch::clients
