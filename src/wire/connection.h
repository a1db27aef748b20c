/// One TCP connection and the link it carries; used on the loop's thread only.
#pragma once

#include "applehatch/wire/link-loop.h"

#include "generated/applehatch.capnp.h"
#include "greeting-stream.h"

#include <capnp/rpc-twoparty.h>
#include <chrono>
#include <deque>
#include <functional>
#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace applehatch::wire {

/// Callbacks from a connection to its loop. They must not destroy the connection immediately.
struct ConnectionHooks
{
    std::function<void()> onUp;
    std::function<void(core::Message)> onMessage;
    std::function<void()> onResponded; ///< A batch was answered.
    std::function<void()> onBroken;    ///< Closed by the peer, refused, silent or over its limit.
    /// Resolves after the given time, once every connection with readable data was served.
    std::function<kj::Promise<void>(core::Duration)> after;
};

class Connection
{
public:
    Connection(kj::Own<kj::AsyncIoStream> stream, ConnectionHooks hooks, const LinkTraffic &traffic,
               const LinkLimits &limits, bool accepted);
    ~Connection();
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    /// Requests the peer's link capability; called by the connecting side.
    auto requestLink() -> kj::Promise<void>;

    [[nodiscard]] auto up() const -> bool { return up_; }

    /// True when the peer connected and has not requested a link yet.
    [[nodiscard]] auto awaitsLinkRequest() const -> bool { return accepted_ && !up_; }

    /// Queues a message. `flush` sends the queue, delaying answer chunks briefly so that later
    /// chunks share their batch.
    auto enqueue(core::Message message) -> void;
    auto flush() -> void;

    [[nodiscard]] auto backlog() const -> LinkBacklog;

    /// True while messages are unsent or unanswered and the peer may still take them.
    [[nodiscard]] auto isSending() const -> bool
    {
        return up_ && !broken_ && (!queued_.empty() || !outstanding_.empty());
    }

private:
    class PortServer;
    class LinkServer;

    auto setPeer(schema::Link::Client peer) -> void;
    auto receive(capnp::List<schema::Message>::Reader batch) -> void;
    auto deliver(core::Message message) -> void;
    auto mergeChunk(core::Message &message) -> bool;
    [[nodiscard]] auto isDue() const -> bool;
    auto flushLater() -> void;
    auto sendBatch() -> void;
    auto responded() -> void;
    auto breakOff() -> void;

    ConnectionHooks hooks_;
    const LinkTraffic &traffic_;
    const LinkLimits &limits_;
    bool accepted_ = false;
    bool up_ = false;
    bool broken_ = false;
    std::deque<core::Message> queued_;
    std::size_t queuedBytes_ = 0;
    std::size_t queuedOthers_ = 0;   ///< Messages in `queued_` other than answer chunks.
    std::uint64_t sentMessages_ = 0; ///< Sequence number of the first in `queued_`.
    /// Sequence number of each request's last queued chunk; cleared when another kind is queued.
    std::unordered_map<core::RequestId, std::uint64_t> lastChunks_;
    std::vector<core::Message> receivedBeforeUp_; ///< Received before the link was up.
    /// Send times of the batches that are not yet answered.
    std::deque<std::chrono::steady_clock::time_point> outstanding_;
    std::optional<std::chrono::steady_clock::time_point> respondedAt_; ///< Last `onResponded`.
    std::chrono::steady_clock::time_point sentAt_;                     ///< Last batch.
    bool flushPlanned_ = false;

    GreetingStream stream_;
    capnp::TwoPartyVatNetwork network_;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_;
    kj::Maybe<schema::Link::Client> peer_;
    kj::Promise<void> disconnected_ = nullptr;
    kj::Maybe<kj::Own<kj::TaskSet>> tasks_;
    kj::Own<kj::TaskSet::ErrorHandler> taskErrors_;
};

} // namespace applehatch::wire
