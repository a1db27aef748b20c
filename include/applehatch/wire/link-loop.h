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

/// Messages that were unsent or unacknowledged when a link was closed.
struct LinkBacklog
{
    unsigned batches = 0;          ///< Sent and not yet acknowledged by the peer's process.
    core::Duration oldestBatch{0}; ///< Time since the oldest of these batches was sent.
    std::size_t queuedBytes = 0;   ///< Size of the messages not yet sent.
};

/// Callbacks for link events. They run on the loop's thread and must not block.
struct LinkHooks
{
    std::function<void(LinkId)> onUp;
    std::function<void(LinkId, core::Message)> onMessage;
    std::function<void(LinkId)> onDown;
    /// The peer's process acknowledged a batch; may be empty.
    std::function<void(LinkId)> onResponded;
    /// The link was closed from this side; may be empty.
    std::function<void(LinkId, const LinkBacklog &)> onClosed;
};

/// Callbacks that count bytes and messages by message kind, for the control-traffic metrics. They
/// run on the loop's thread; any of them may be empty.
struct LinkTraffic
{
    std::function<void(std::string_view kind, std::size_t bytes)> onSent;
    std::function<void(std::string_view kind, std::size_t bytes)> onReceived;
    std::function<void()> onMalformed; ///< A message or batch was out of range or too large.
};

/// Limits of one link.
struct LinkLimits
{
    std::size_t maxQueuedBytes = 64U << 20U; ///< Above this the link closes, with `onDown`.
    /// Minimum interval between two calls of `onResponded`.
    core::Duration minRespondedInterval = std::chrono::milliseconds(500);
    /// A link that is not up after this time is closed, with `onDown`.
    core::Duration connectTimeout = std::chrono::seconds(1);
};

/// One event-loop thread that owns every Cap'n Proto capability of the process.
class LinkLoop
{
public:
    LinkLoop(LinkHooks hooks, LinkTraffic traffic, LinkLimits limits = {});

    /// Calls `stop`.
    ~LinkLoop();
    LinkLoop(const LinkLoop &) = delete;
    auto operator=(const LinkLoop &) -> LinkLoop & = delete;

    /// Accepts links on `address`; port 0 picks a free port; `bound` returns the address.
    /// Errors: `std::errc::invalid_argument`, `std::errc::address_in_use`. Must not
    /// be called from a hook.
    [[nodiscard]] auto listen(const core::Address &address, core::Address &bound)
        -> std::error_code;

    /// Begins opening a link; `onUp` or `onDown` follows. Thread-safe.
    [[nodiscard]] auto open(const core::Address &peer) -> LinkId;

    /// Queues a message; dropped when the link is down. Thread-safe.
    auto send(LinkId link, core::Message message) -> void;

    /// Runs `task` on the loop's thread, which it must not block; dropped after `stop`. Every
    /// object that the task creates on the loop must be destroyed before `stop`. Thread-safe.
    auto run(std::function<void(kj::AsyncIoContext &)> task) -> void;

    /// Runs `task` on the loop's thread once per `period` until `stop`, each time after all links
    /// with readable data were served. Thread-safe.
    auto every(core::Duration period, std::function<void()> task) -> void;

    /// Closes a link without `onDown`. Thread-safe.
    auto close(LinkId link) -> void;

    /// Waits until, for `quiet`, no link brought a message and nothing was left to send, `limit` at
    /// most; both count the time in which the loop ran. What peers have sent before a stop is
    /// answered by then. Must not be called from a hook or after `stop`.
    auto awaitQuiet(core::Duration quiet, core::Duration limit) -> void;

    /// Closes every link without `onDown` and joins the thread; no hook is called afterwards.
    /// Messages queued before the call are still sent, for up to a second; later messages and links
    /// are dropped. Later calls do nothing; must not be called from a hook.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::wire
