// How a connection reads requests, and the memory that it asks for meanwhile.
#include "applehatch/gateway/caller-connection.h"

#include "status.h"

#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace {

// Reading stops when a caller sends more than this before its answer is complete; one read brings
// no more meanwhile.
constexpr std::size_t maxPendingBytes = 4096;
// What a request takes beside its body counts from here on; any connection takes as much.
constexpr std::size_t freeBytes = 4096;
// A request that finds no room waits this long at most, all its parts together.
constexpr Duration maxRoomWait = std::chrono::seconds(1);
// A body is kept until its request is answered, and a second time until the upstream has taken it.
constexpr std::size_t bodyCopies = 2;

auto statusOf(RequestFault fault) -> int
{
    switch (fault) {
    case RequestFault::HeaderTooLarge:
        return headerTooLarge;
    case RequestFault::BodyTooLarge:
        return bodyTooLarge;
    case RequestFault::Malformed:
        break;
    }
    return badRequest;
}

} // namespace

auto CallerConnection::takeBytes(std::string &bytes) -> void
{
    if (reading_)
        reading_->noteReceived(bytes.size());
    if (isPendingDropped_)
        bytes.clear();
    if (input_.empty())
        input_.swap(bytes);
    else
        input_ += bytes;
    bytes.clear();
    if (state_ == State::Reading && !isSendingAwaited_)
        return read();
    if (state_ == State::Ended)
        input_.clear();
    if (input_.size() > maxPendingBytes)
        channel_->setPaused(true);
}

auto CallerConnection::read() -> void
{
    if (!requestBegun_ && !input_.empty())
        beginRequest();
    // What was on its way as reading stopped is read once there is room.
    if (!requestBegun_ || reading_->isWaiting())
        return;
    const auto bodyBefore = reader_->receivedBody();
    const auto result = reader_->feed(input_);
    shrinkIfEmpty(input_);
    if (result == ReadState::Failed)
        return refuse(statusOf(reader_->fault()));
    isWhole_ = result == ReadState::Done;
    // What frames the body is no progress: it could trickle in without end.
    if (reader_->receivedBody() != bodyBefore)
        isBodyAwaited_ = false;
    holdRequest();
}

auto CallerConnection::beginRequest() -> void
{
    const auto limits = hooks_.limits();
    requestBegun_ = true;
    pending_.reset(); // Counts as a part of the request from here on.
    isHead_ = false;  // Not known yet; the request may be refused before it is.
    isContinueSent_ = false;
    isBodyAwaited_ = false;
    roomWaited_ = Duration(0);
    reader_.emplace(limits.headerBytes, limits.bodyBytes);
    const auto weak = weak_from_this();
    RequestMemory::Hooks hooks;
    hooks.granted = [weak] {
        if (const auto self = weak.lock())
            self->takeRoom();
    };
    hooks.giveWay = [weak] {
        if (const auto self = weak.lock())
            self->refuse(unavailable);
    };
    reading_.emplace(*hooks_.requests, std::move(hooks));
    timer_.start(limits.headerTimeout,
                 [self = shared_from_this()] { self->refuse(requestTimeout); });
}

auto CallerConnection::memoryBesideBody() const -> std::size_t
{
    const auto bytes = input_.capacity() + reader_->headMemory();
    return bytes > freeBytes ? bytes : 0;
}

auto CallerConnection::holdRequest() -> void
{
    const auto beside = memoryBesideBody();
    const auto wanted = beside + bodyCopies * reader_->bodyMemory();
    if (!reading_->canEverHold(wanted - beside))
        return refuse(bodyTooLarge);
    if (!reading_->hold(wanted, beside + reader_->bodyCapacity()))
        return awaitRoom();
    if (isWhole_)
        return takeRequest();
    if (reader_->headRead() && !isBodyAwaited_)
        awaitBody();
}

auto CallerConnection::awaitBody() -> void
{
    isBodyAwaited_ = true;
    reader_->reserveBody();
    // The idle timeout applies to each part of a body.
    timer_.start(hooks_.limits().idleTimeout,
                 [self = shared_from_this()] { self->refuse(requestTimeout); });
    if (!std::exchange(isContinueSent_, true) && reader_->expectsContinue())
        channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

auto CallerConnection::awaitRoom() -> void
{
    channel_->setPaused(true);
    roomAwaitedSince_ = telemetry::steadyNow();
    roomTimer_.start(maxRoomWait - roomWaited_, [self = shared_from_this()] {
        // Without a time to come back: another router may have room at once.
        self->reading_->noteRefused();
        self->refuse(unavailable);
    });
}

auto CallerConnection::takeRoom() -> void
{
    roomTimer_.stop();
    roomWaited_ += telemetry::steadyNow() - roomAwaitedSince_;
    channel_->setPaused(false);
    if (isWhole_)
        return takeRequest();
    read();
}

auto CallerConnection::takeRequest() -> void
{
    timer_.stop();
    state_ = State::Answering;
    takenAt_ = telemetry::steadyNow();
    auto message = reader_->take();
    message.kept = reading_->take();
    stopReading();
    countPending(message.kept);
    channel_->setMaxRead(maxPendingBytes);
    if (input_.size() > maxPendingBytes)
        channel_->setPaused(true);
    isHead_ = message.method == "HEAD";
    if (!message.keepAlive)
        closeAfterAnswer_ = true;
    hooks_.request(shared_from_this(), std::move(message));
}

auto CallerConnection::hasSentAhead() const -> bool
{
    return state_ == State::Answering && (isPendingDropped_ || input_.size() > maxPendingBytes);
}

auto CallerConnection::countPending(ByteShare &kept) -> void
{
    const auto bytes = input_.capacity();
    if (bytes <= freeBytes)
        return;
    kept.resize(kept.bytes() - std::min(kept.bytes(), bytes));
    RequestMemory::Hooks hooks;
    hooks.granted = [] {};
    hooks.giveWay = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->dropPending();
    };
    pending_.emplace(*hooks_.requests, std::move(hooks));
    if (!pending_->hold(bytes, bytes))
        dropPending();
}

auto CallerConnection::dropPending() -> void
{
    pending_.reset();
    std::string().swap(input_);
    isPendingDropped_ = true;
    closeAfterAnswer_ = true;
}

auto CallerConnection::stopReading() -> void
{
    roomTimer_.stop();
    requestBegun_ = false;
    reader_.reset();
    reading_.reset();
    pending_.reset();
}

} // namespace applehatch::gateway
