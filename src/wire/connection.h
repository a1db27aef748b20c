/// One TCP connection and the link it carries; lives on the loop's thread only.
#pragma once

#include "applehatch/wire/link-loop.h"
#include "generated/applehatch.capnp.h"

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

/// What a connection reports to its loop; a report may not destroy the connection at once.
struct ConnectionHooks
{
    std::function<void()> onUp;
    std::function<void(core::Message)> onMessage;
    std::function<void()> onResponded; ///< A batch was answered.
    std::function<void()> onBroken;    ///< Closed by the peer, refused, silent or over its cap.
    /// Ready after so long, and once every connection that has something to read had its turn.
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

    /// Asks the peer for its end of the link; for the side that connected.
    auto requestLink() -> kj::Promise<void>;

    [[nodiscard]] auto up() const -> bool { return up_; }

    /// The peer connected and has not asked for a link.
    [[nodiscard]] auto unannounced() const -> bool { return accepted_ && !up_; }

    /// Queues a message; `flush` sends what is queued, parts of answers once those of the next
    /// moment have joined them.
    auto enqueue(core::Message message) -> void;
    auto flush() -> void;

    [[nodiscard]] auto backlog() const -> LinkBacklog;

    /// Something given to send was not yet taken by the peer, which may still do so.
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
    std::size_t queuedOthers_ = 0;   ///< Messages in `queued_` that are no part of an answer.
    std::uint64_t sentMessages_ = 0; ///< The number of the first message in `queued_`.
    /// The number of each request's last queued chunk, while nothing else was queued after it.
    std::unordered_map<core::RequestId, std::uint64_t> lastChunks_;
    std::vector<core::Message> early_; ///< Arrived before the peer's end of the link was known.
    /// When each batch was sent that is not yet answered.
    std::deque<std::chrono::steady_clock::time_point> outstanding_;
    std::optional<std::chrono::steady_clock::time_point> respondedAt_; ///< Last reported.
    std::chrono::steady_clock::time_point sentAt_;                     ///< The last batch.
    bool flushPlanned_ = false;

    kj::Own<kj::AsyncIoStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_;
    kj::Maybe<schema::Link::Client> peer_;
    kj::Promise<void> disconnected_ = nullptr;
    kj::Maybe<kj::Own<kj::TaskSet>> tasks_;
    kj::Own<kj::TaskSet::ErrorHandler> taskErrors_;
};

} // namespace applehatch::wire
