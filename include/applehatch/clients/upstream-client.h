/// The HTTP calls of a sidecar to its upstream other than runs.
#pragma once

#include "applehatch/core/sidecar-node.h"

#include <string>
#include <system_error>

namespace applehatch::clients {

/// Makes short calls to one upstream. Thread-safe; each call blocks its thread, which must not run
/// a KJ event loop.
class UpstreamClient
{
public:
    explicit UpstreamClient(core::Address upstream);

    /// Asks the engine to stop a stream; best effort.
    auto cancel(const core::RequestId &request) const -> std::error_code;

    /// Reads the upstream's state within `timeout`; `reachable` is false on any failure.
    [[nodiscard]] auto state(core::Duration timeout) const -> core::UpstreamReport;

    /// Reads the cache events after `sequence` and advances it.
    [[nodiscard]] auto cacheEvents(std::uint64_t &sequence) const -> core::CacheEvents;

    /// Sends an order; the answer says whether the engine accepted it.
    [[nodiscard]] auto order(const core::GiveOrder &order) const -> core::OrderAnswered;

    /// Copies a chat's KV cache to the engine at `to`.
    [[nodiscard]] auto handOff(core::ChatKey chat, const core::Address &to) const
        -> std::error_code;

private:
    core::Address upstream_;
};

} // namespace applehatch::clients
