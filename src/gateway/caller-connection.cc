#include "applehatch/gateway/caller-connection.h"

#include "applehatch/core/http-status.h"
#include "applehatch/telemetry/clock.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace applehatch::gateway {

namespace {

// Reading stops when a caller sends more than this before its answer is complete.
constexpr std::size_t maxPendingBytes = 65536;
// Reading from the upstream pauses when more than this is unsent to the caller; about 300 events.
constexpr std::size_t congestionThreshold = 65536;
// An idle connection is closed this long after the limit announced to callers, so that a request
// sent just before the limit is not lost.
constexpr Duration idleGrace = std::chrono::seconds(2);
// A connection younger than this was opened for a request that is still under way; closing it would
// force the caller to reconnect.
constexpr Duration newConnectionTime = std::chrono::seconds(1);
// A body that finds no room waits this long at most.
constexpr Duration maxRoomWait = std::chrono::seconds(1);
// A body is kept until its request is answered, and a second time until the upstream has taken it.
constexpr std::size_t bodyCopies = 2;
constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int bodyTooLarge = 413;
constexpr int headerTooLarge = 431;
constexpr int unavailable = 503;

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

CallerConnection::CallerConnection(Channel::Socket socket, CallerHooks hooks)
    : timer_(socket.get_executor())
    , channel_(std::make_shared<Channel>(std::move(socket)))
    , hooks_(std::move(hooks))
    , idleSince_(telemetry::steadyNow())
{ }

auto CallerConnection::start() -> void
{
    const auto self = shared_from_this();
    Channel::Hooks hooks;
    hooks.data = [self](std::string &bytes) { self->takeBytes(bytes); };
    hooks.ended = [self](boost::system::error_code) { self->ended(); };
    hooks.flushed = [self] {
        if (self->flushed_)
            self->flushed_();
    };
    awaitRequest();
    channel_->start(std::move(hooks), ChannelLimits{});
}

auto CallerConnection::takeBytes(std::string &bytes) -> void
{
    input_ += std::exchange(bytes, {});
    if (state_ == State::Reading)
        return read();
    if (state_ == State::Ended)
        input_.clear();
    if (input_.size() > maxPendingBytes)
        channel_->setPaused(true);
}

auto CallerConnection::read() -> void
{
    const auto limits = hooks_.limits();
    if (!requestBegun_ && !input_.empty()) {
        requestBegun_ = true;
        isHead_ = false; // Not known yet; the request may be refused before it is.
        reader_.emplace(limits.headerBytes, limits.bodyBytes,
                        hooks_.bodies == nullptr ? ByteShare() : ByteShare(*hooks_.bodies));
        timer_.start(limits.headerTimeout,
                     [self = shared_from_this()] { self->refuse(requestTimeout); });
    }
    if (!requestBegun_)
        return;
    const auto headBefore = reader_->headRead();
    const auto bodyBefore = reader_->receivedBody();
    const auto result = reader_->feed(input_);
    if (result == ReadState::Failed)
        return refuse(statusOf(reader_->fault()));
    if (result == ReadState::Done)
        return takeRequest();
    // What frames the body is no progress: it could trickle in without end.
    if (reader_->headRead() && (!headBefore || reader_->receivedBody() != bodyBefore))
        awaitBody(headBefore);
}

auto CallerConnection::awaitBody(bool wasHeadRead) -> void
{
    if (!reader_->kept().canEverHold(bodyCopies * reader_->bodyBytes()))
        return refuse(bodyTooLarge);
    if (!takeRoom())
        return awaitRoom(wasHeadRead, Duration(0));
    // The idle timeout applies to each part of a body.
    timer_.start(hooks_.limits().idleTimeout,
                 [self = shared_from_this()] { self->refuse(requestTimeout); });
    if (!wasHeadRead && reader_->expectsContinue())
        channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

auto CallerConnection::takeRoom() -> bool
{
    auto &kept = reader_->kept();
    const auto wanted = bodyCopies * reader_->bodyBytes();
    if (wanted <= kept.bytes())
        return true;
    if (!kept.mayAdd(wanted - kept.bytes()))
        return false;
    kept.add(wanted - kept.bytes());
    return true;
}

auto CallerConnection::awaitRoom(bool wasHeadRead, Duration waited) -> void
{
    channel_->setPaused(true);
    timer_.start(ByteBudget::checkInterval, [self = shared_from_this(), wasHeadRead, waited] {
        if (self->takeRoom()) {
            self->channel_->setPaused(false);
            return self->awaitBody(wasHeadRead);
        }
        if (waited < maxRoomWait)
            return self->awaitRoom(wasHeadRead, waited + ByteBudget::checkInterval);
        // Without a time to come back: another router may have room at once.
        self->reader_->kept().noteRefused();
        self->refuse(unavailable);
    });
}

auto CallerConnection::takeRequest() -> void
{
    timer_.stop();
    state_ = State::Answering;
    requestBegun_ = false;
    static_cast<void>(takeRoom()); // A body that came at once is not counted yet.
    auto message = reader_->take();
    reader_.reset();
    isHead_ = message.method == "HEAD";
    if (!message.keepAlive)
        closeAfterAnswer_ = true;
    hooks_.request(shared_from_this(), std::move(message));
}

auto CallerConnection::refuse(int status) -> void
{
    if (state_ != State::Reading)
        return;
    state_ = State::Answering;
    reader_.reset();
    closeAfterAnswer_ = true;
    ResponseHead head;
    head.status = status;
    answer(std::move(head), {});
}

auto CallerConnection::prepare(ResponseHead &head) -> void
{
    isCloseAnnounced_ = closeAfterAnswer_;
    head.keepAlive = !isCloseAnnounced_;
    if (!core::allowsBody(head.status))
        head.framing = Framing::NoBody;
    framing_ = head.framing;
    sendsBody_ = !isHead_ && core::allowsBody(head.status);
}

auto CallerConnection::answer(ResponseHead head, std::string_view body, ByteShare kept) -> void
{
    if (state_ != State::Answering)
        return;
    // An upstream's answer to HEAD comes without a body, and perhaps with its length.
    const auto hasOwnLength = isHead_ && body.empty();
    if (!hasOwnLength)
        head.length = body.size();
    const auto isUnknown = hasOwnLength && head.length == 0;
    head.framing = isUnknown ? Framing::NoBody : Framing::Length;
    prepare(head);
    auto text = headText(head);
    if (sendsBody_)
        text += body;
    channel_->writeWhole(std::move(text), std::move(kept));
    finishAnswer();
}

auto CallerConnection::begin(ResponseHead head) -> void
{
    if (state_ != State::Answering)
        return;
    if (head.framing == Framing::UntilClose)
        head.framing = Framing::Chunked;
    prepare(head);
    channel_->write(headText(head));
}

auto CallerConnection::send(std::string_view body) -> void
{
    if (state_ != State::Answering || body.empty() || !sendsBody_)
        return;
    if (framing_ == Framing::Chunked)
        channel_->write(chunkText(body));
    else
        channel_->write(body);
}

auto CallerConnection::end() -> void
{
    if (state_ != State::Answering)
        return;
    if (framing_ == Framing::Chunked && sendsBody_)
        channel_->write(lastChunk);
    finishAnswer();
}

auto CallerConnection::abortAnswer() -> void
{
    if (state_ != State::Answering)
        return;
    disconnected_ = nullptr;
    flushed_ = nullptr;
    closeInOrder();
}

auto CallerConnection::finishAnswer() -> void
{
    disconnected_ = nullptr;
    flushed_ = nullptr;
    if (!channel_->isOpen()) {
        state_ = State::Ended;
        return;
    }
    // A caller that was not told of the close may have sent its next request already.
    if (isCloseAnnounced_)
        return closeInOrder();
    state_ = State::Reading;
    isUsed_ = true;
    idleSince_ = telemetry::steadyNow();
    channel_->setPaused(false);
    awaitRequest();
    shrinkIfEmpty(input_);
    if (input_.empty())
        return;
    // Posted, since the callback that sent the answer may still be on the stack.
    boost::asio::post(channel_->executor(), [self = shared_from_this()] {
        if (self->state_ == State::Reading)
            self->read();
    });
}

auto CallerConnection::awaitRequest() -> void
{
    timer_.start(hooks_.limits().idleTimeout + idleGrace,
                 [self = shared_from_this()] { self->closeIdle(); });
}

auto CallerConnection::closeIdle() -> void
{
    if (!channel_->hasUnread())
        abort();
}

auto CallerConnection::isCongested() const -> bool
{
    return channel_->unsent() > congestionThreshold;
}

auto CallerConnection::closeIfIdle(Duration minQuiet) -> void
{
    const auto quiet = telemetry::steadyNow() - idleSince_;
    const auto isNew = !isUsed_ && quiet < newConnectionTime;
    if (isIdle() && !isNew && quiet >= minQuiet && !channel_->hasUnread())
        closeInOrder();
}

auto CallerConnection::refuseIncomplete() -> void
{
    if (requestBegun_)
        refuse(unavailable);
}

auto CallerConnection::closeInOrder() -> void
{
    state_ = State::Ended;
    timer_.stop();
    channel_->close();
    awaitClose(channel_->unsent(), Duration(0));
}

auto CallerConnection::awaitClose(std::size_t unsentBefore, Duration unchangedFor) -> void
{
    timer_.start(idleGrace, [self = shared_from_this(), unsentBefore, unchangedFor] {
        const auto unsent = self->channel_->unsent();
        if (unsent < unsentBefore)
            return self->awaitClose(unsent, Duration(0));
        const auto unchanged = unchangedFor + idleGrace;
        if (unsent > 0 && unchanged < self->hooks_.limits().idleTimeout)
            return self->awaitClose(unsent, unchanged);
        // A caller that never closes its end, or never reads, would keep the socket for ever.
        self->channel_->closeNow();
    });
}

auto CallerConnection::discard() -> void
{
    const auto owesNothing = state_ == State::Ended || (isIdle() && !channel_->hasUnread());
    if (!owesNothing)
        return abort();
    timer_.stop();
    state_ = State::Ended;
    channel_->closeNow();
}

auto CallerConnection::abort() -> void
{
    timer_.stop();
    channel_->abort();
    ended();
}

auto CallerConnection::ended() -> void
{
    timer_.stop();
    state_ = State::Ended;
    flushed_ = nullptr;
    const auto disconnected = std::exchange(disconnected_, nullptr);
    if (disconnected)
        disconnected();
}

} // namespace applehatch::gateway
