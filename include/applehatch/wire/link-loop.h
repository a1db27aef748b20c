/// The RPC loop: numbered links to peers, each carrying messages in order both ways.
#pragma once

#include "applehatch/core/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace kj {
struct AsyncIoContext;
} // namespace kj

namespace applehatch::wire {

using LinkId = std::uint64_t;

/// What a link still held when it was closed.
struct LinkBacklog
{
    unsigned batches = 0;          ///< Sent, and not yet taken by the peer's process.
    core::Duration oldestBatch{0}; ///< Since the first of these was sent.
    std::size_t queuedBytes = 0;   ///< Not yet sent.
};

/// What happens on links; called on the loop's thread, so they must not block.
struct LinkHooks
{
    std::function<void(LinkId)> onUp;
    std::function<void(LinkId, core::Message)> onMessage;
    std::function<void(LinkId)> onDown;
    /// The peer's process took a batch that was sent to it; may be empty.
    std::function<void(LinkId)> onResponded;
    /// The link was closed from this side; may be empty.
    std::function<void(LinkId, const LinkBacklog &)> onClosed;
};

/// Bytes and messages carried, by message kind, for the control-traffic measure; called on the
/// loop's thread. Any hook may be empty.
struct LinkTraffic
{
    std::function<void(std::string_view kind, std::size_t bytes)> onSent;
    std::function<void(std::string_view kind, std::size_t bytes)> onReceived;
    std::function<void()> onMalformed; ///< A message or batch was dropped: out of range, too large.
};

/// Bounds on what one link holds.
struct LinkLimits
{
    std::size_t queuedBytes = 64U << 20U; ///< Beyond this the link is closed, with `onDown`.
    core::Duration respondedPeriod = std::chrono::milliseconds(500); ///< Least, of `onResponded`.
    core::Duration connectTimeout = std::chrono::seconds(1); ///< Until `onUp`, else `onDown`.
};

/// One event-loop thread that owns every Cap'n Proto capability of the process.
class LinkLoop
{
public:
    LinkLoop(LinkHooks hooks, LinkTraffic traffic, LinkLimits limits = {});

    /// As `stop`.
    ~LinkLoop();
    LinkLoop(const LinkLoop &) = delete;
    auto operator=(const LinkLoop &) -> LinkLoop & = delete;

    /// Accepts links on `address`; port 0 picks a free one, given back in `bound`.
    /// Errors: `std::errc::invalid_argument`, `std::errc::address_in_use`. Not from a hook.
    [[nodiscard]] auto listen(const core::Address &address, core::Address &bound)
        -> std::error_code;

    /// Begins opening a link; `onUp` or `onDown` follows. Thread-safe.
    [[nodiscard]] auto open(const core::Address &peer) -> LinkId;

    /// Queues a message; dropped when the link is down. Thread-safe.
    auto send(LinkId link, core::Message message) -> void;

    /// Runs `task` on the loop's thread, which it must not block; dropped after `stop`. What it
    /// puts on the loop must be gone before `stop`. Thread-safe.
    auto run(std::function<void(kj::AsyncIoContext &)> task) -> void;

    /// Runs `task` on the loop's thread once each `period`, each time after the links that had
    /// something to read had their turn. Until `stop`; thread-safe.
    auto every(core::Duration period, std::function<void()> task) -> void;

    /// Closes a link without `onDown`. Thread-safe.
    auto close(LinkId link) -> void;

    /// Closes every link without `onDown` and joins the thread; no hook is called afterwards. What
    /// was sent before goes out, for up to a second; what is sent or opened since is dropped. Once;
    /// not from a hook.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::wire
