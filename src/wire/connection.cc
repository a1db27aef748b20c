#include "connection.h"

#include "applehatch/wire/codec.h"
#include "message-size.h"
#include "schema-codec.h"

#include <algorithm>
#include <utility>

namespace applehatch::wire {

namespace {

// Maximum unanswered batches inside the RPC system when a peer stops reading. Further messages wait
// in `queued_`, where they count against the limit of the link.
constexpr std::size_t maxOutstanding = 8;
// The peer's answer to a batch serves as its heartbeat, so a batch must be small enough that a busy
// peer does not need seconds for it.
constexpr std::size_t maxBatchBytes = 64U << 10U;
constexpr std::size_t maxBatchMessages = 256;
// Interval between batches of answer chunks. Chunks are batched because an RPC envelope costs both
// sides more than a chunk.
constexpr core::Duration batchInterval = std::chrono::milliseconds(2);
// Queued adjacent chunks of one answer are merged up to this size.
constexpr std::size_t maxMergedBytes = 16U << 10U;
// The RPC system reads no further call of a connection until the last one was answered.
constexpr std::size_t maxUnansweredCallWords = 1;
constexpr int nestingLimit = 32;

// A batch is at most one message larger than `maxBatchBytes`, plus the RPC envelope.
auto readLimits() -> capnp::ReaderOptions
{
    return {2 * maxMessageBytes / sizeof(capnp::word), nestingLimit};
}

auto structBytes(capnp::MessageSize size) -> std::size_t
{
    return size.wordCount * sizeof(capnp::word);
}

class TaskErrors final : public kj::TaskSet::ErrorHandler
{
public:
    explicit TaskErrors(std::function<void()> onError)
        : onError_(std::move(onError))
    { }

    auto taskFailed(kj::Exception && /*exception*/) -> void override { onError_(); }

private:
    std::function<void()> onError_;
};

} // namespace

class Connection::LinkServer final : public schema::Link::Server
{
public:
    explicit LinkServer(Connection &connection)
        : connection_(connection)
    { }

    auto deliver(DeliverContext context) -> kj::Promise<void> override
    {
        connection_.receive(context.getParams().getBatch());
        return connection_.hooks_.after(core::Duration::zero());
    }

private:
    Connection &connection_;
};

class Connection::PortServer final : public schema::Port::Server
{
public:
    explicit PortServer(Connection &connection)
        : connection_(connection)
    { }

    auto open(OpenContext context) -> kj::Promise<void> override
    {
        if (connection_.up())
            return KJ_EXCEPTION(FAILED, "a connection carries one link");
        context.getResults().setLink(kj::heap<LinkServer>(connection_));
        connection_.setPeer(context.getParams().getLink());
        return kj::READY_NOW;
    }

private:
    Connection &connection_;
};

Connection::Connection(kj::Own<kj::AsyncIoStream> stream, ConnectionHooks hooks,
                       const LinkTraffic &traffic, const LinkLimits &limits, bool accepted)
    : hooks_(std::move(hooks))
    , traffic_(traffic)
    , limits_(limits)
    , accepted_(accepted)
    , stream_(kj::mv(stream), [this] { return !awaitsLinkRequest(); })
    , network_(stream_,
               accepted ? capnp::rpc::twoparty::Side::SERVER : capnp::rpc::twoparty::Side::CLIENT,
               readLimits())
    , taskErrors_(kj::heap<TaskErrors>([this] { breakOff(); }))
{
    tasks_ = kj::heap<kj::TaskSet>(*taskErrors_);
    if (accepted)
        rpc_.emplace(capnp::makeRpcServer(network_, kj::heap<PortServer>(*this)));
    else
        rpc_.emplace(capnp::makeRpcClient(network_));
    KJ_ASSERT_NONNULL(rpc_).setFlowLimit(maxUnansweredCallWords);
    disconnected_ = network_.onDisconnect()
                        .then([this] { breakOff(); })
                        .eagerlyEvaluate([this](kj::Exception && /*exception*/) { breakOff(); });
}

Connection::~Connection()
{
    broken_ = true;
    disconnected_ = nullptr;
    tasks_ = nullptr;
    peer_ = nullptr;
    rpc_ = nullptr;
}

auto Connection::requestLink() -> kj::Promise<void>
{
    capnp::MallocMessageBuilder builder;
    auto server = builder.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto port = KJ_ASSERT_NONNULL(rpc_).bootstrap(server).castAs<schema::Port>();
    auto request = port.openRequest();
    request.setLink(kj::heap<LinkServer>(*this));
    return request.send().then([this](auto &&response) { setPeer(response.getLink()); });
}

auto Connection::setPeer(schema::Link::Client peer) -> void
{
    peer_ = kj::mv(peer);
    up_ = true;
    hooks_.onUp();
    for (auto &message : std::exchange(receivedBeforeUp_, {}))
        hooks_.onMessage(std::move(message));
    flush();
}

auto Connection::receive(capnp::List<schema::Message>::Reader batch) -> void
{
    const auto failure = kj::runCatchingExceptions([&] {
        for (const auto item : batch) {
            auto message = read(item);
            if (!message) {
                if (traffic_.onMalformed)
                    traffic_.onMalformed();
                continue;
            }
            if (traffic_.onReceived)
                traffic_.onReceived(kindName(*message), structBytes(item.totalSize()));
            deliver(std::move(*message));
        }
    });
    if (failure != nullptr && traffic_.onMalformed)
        traffic_.onMalformed();
}

auto Connection::deliver(core::Message message) -> void
{
    // The listening side may send as soon as it has our capability, and its messages can be read
    // before its answer to `open`. Before `onUp` the owner does not know the link yet.
    if (!up_)
        receivedBeforeUp_.push_back(std::move(message));
    else if (!broken_)
        hooks_.onMessage(std::move(message));
}

auto Connection::enqueue(core::Message message) -> void
{
    if (broken_)
        return;
    const auto bytes = messageBytes(message);
    if (bytes > maxMessageBytes) {
        if (traffic_.onMalformed)
            traffic_.onMalformed();
        return;
    }
    if (!mergeChunk(message)) {
        queuedBytes_ += bytes;
        queuedOthers_ += std::holds_alternative<core::Chunk>(message) ? 0 : 1;
        queued_.push_back(std::move(message));
    }
    // When a peer stops reading while its kernel still accepts bytes, this queue would otherwise
    // grow until the process is killed. The peer's requests continue over another link.
    if (queuedBytes_ > limits_.maxQueuedBytes)
        breakOff();
}

// Merges adjacent chunks so that a slow peer receives fewer and larger messages and can catch up:
// most of its work for a chunk does not depend on the chunk's size.
auto Connection::mergeChunk(core::Message &message) -> bool
{
    const auto number = sentMessages_ + queued_.size();
    auto *chunk = std::get_if<core::Chunk>(&message);
    if (chunk == nullptr) {
        lastChunks_.clear();
        return false;
    }
    const auto found = lastChunks_.find(chunk->request);
    if (found == lastChunks_.end() || found->second < sentMessages_) {
        lastChunks_.insert_or_assign(chunk->request, number);
        return false;
    }
    auto &last = std::get<core::Chunk>(queued_[found->second - sentMessages_]);
    const auto follows = last.offset + last.data.size() == chunk->offset;
    if (!follows || last.data.size() + chunk->data.size() > maxMergedBytes) {
        found->second = number;
        return false;
    }
    last.data += chunk->data;
    queuedBytes_ += chunk->data.size();
    return true;
}

auto Connection::flush() -> void
{
    while (up_ && !broken_ && !queued_.empty() && outstanding_.size() < maxOutstanding) {
        if (!isDue()) {
            flushLater();
            return;
        }
        sendBatch();
    }
}

auto Connection::isDue() const -> bool
{
    return queuedOthers_ > 0 || queuedBytes_ >= maxBatchBytes
        || std::chrono::steady_clock::now() - sentAt_ >= batchInterval;
}

auto Connection::flushLater() -> void
{
    if (std::exchange(flushPlanned_, true))
        return;
    KJ_ASSERT_NONNULL(tasks_)->add(hooks_.after(batchInterval).then([this] {
        flushPlanned_ = false;
        flush();
    }));
}

auto Connection::sendBatch() -> void
{
    std::size_t bytes = 0;
    unsigned count = 0;
    while (count < queued_.size() && count < maxBatchMessages && bytes < maxBatchBytes)
        bytes += messageBytes(queued_[count++]);
    auto request = KJ_ASSERT_NONNULL(peer_).deliverRequest(
        capnp::MessageSize{bytes / sizeof(capnp::word) + 1, 0});
    auto batch = request.initBatch(count);
    for (unsigned index = 0; index < count; ++index) {
        const auto &message = queued_.front();
        write(message, batch[index]);
        if (traffic_.onSent)
            traffic_.onSent(kindName(message), structBytes(batch[index].asReader().totalSize()));
        queuedOthers_ -= std::holds_alternative<core::Chunk>(message) ? 0 : 1;
        queued_.pop_front();
        ++sentMessages_;
    }
    if (queued_.empty())
        lastChunks_.clear();
    queuedBytes_ -= std::min(bytes, queuedBytes_);
    sentAt_ = std::chrono::steady_clock::now();
    outstanding_.push_back(sentAt_);
    KJ_ASSERT_NONNULL(tasks_)->add(request.send().then([this](auto && /*response*/) {
        outstanding_.pop_front();
        responded();
        flush();
    }));
}

auto Connection::backlog() const -> LinkBacklog
{
    LinkBacklog backlog{static_cast<unsigned>(outstanding_.size()), {}, queuedBytes_};
    if (!outstanding_.empty()) {
        backlog.oldestBatch = std::chrono::duration_cast<core::Duration>(
            std::chrono::steady_clock::now() - outstanding_.front());
    }
    return backlog;
}

// Rate-limited: one report per batch would cost its receiver as much as the batch itself.
auto Connection::responded() -> void
{
    const auto now = std::chrono::steady_clock::now();
    const auto isSoon = respondedAt_ && now - *respondedAt_ < limits_.minRespondedInterval;
    if (isSoon || broken_)
        return;
    respondedAt_ = now;
    hooks_.onResponded();
}

auto Connection::breakOff() -> void
{
    if (std::exchange(broken_, true))
        return;
    queued_.clear();
    queuedOthers_ = 0;
    hooks_.onBroken();
}

} // namespace applehatch::wire
