#include "applehatch/gateway/caller-connection.h"

#include "status.h"

#include "applehatch/core/http-status.h"
#include "applehatch/telemetry/clock.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace applehatch::gateway {

namespace {

// Reading from the upstream pauses when more than this is unsent to the caller; about 300 events.
constexpr std::size_t congestionThreshold = 65536;
// An idle connection is closed this long after the limit announced to callers, so that a request
// sent just before the limit is not lost.
constexpr Duration idleGrace = std::chrono::seconds(2);
// A connection younger than this was opened for a request that is still under way; closing it would
// force the caller to reconnect.
constexpr Duration newConnectionTime = std::chrono::seconds(1);

} // namespace

CallerConnection::CallerConnection(Channel::Socket socket, CallerHooks hooks)
    : timer_(socket.get_executor())
    , roomTimer_(socket.get_executor())
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
    hooks.flushed = [self] { self->onSent(); };
    channel_->countUnsent(ByteShare(*hooks_.answers));
    awaitRequest();
    channel_->start(std::move(hooks), ChannelLimits{});
}

auto CallerConnection::refuse(int status) -> void
{
    if (state_ != State::Reading)
        return;
    state_ = State::Answering;
    stopReading();
    std::string().swap(input_);
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

auto CallerConnection::answer(ResponseHead head, std::string_view body) -> void
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
    channel_->writeWhole(std::move(text));
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
    if (isCloseAnnounced_ || isPendingDropped_)
        return closeInOrder();
    state_ = State::Reading;
    isUsed_ = true;
    idleSince_ = telemetry::steadyNow();
    if (channel_->unsent() > 0)
        return awaitSent();
    channel_->setMaxRead(Channel::maxReadBytes);
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

auto CallerConnection::awaitSent() -> void
{
    isSendingAwaited_ = true;
    const auto limit = hooks_.limits().idleTimeout;
    timer_.start(limit, [self = shared_from_this(), limit] {
        if (telemetry::steadyNow() - self->channel_->takenAt() >= limit)
            return self->abort();
        self->awaitSent();
    });
}

auto CallerConnection::onSent() -> void
{
    if (flushed_)
        flushed_();
    if (std::exchange(isSendingAwaited_, false) && state_ == State::Reading)
        finishAnswer();
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
    const auto unsent = channel_->unsent();
    return unsent > congestionThreshold || (unsent > 0 && !hooks_.answers->hasRoom());
}

auto CallerConnection::unreadSince() const -> std::optional<core::Instant>
{
    if (channel_->unsent() == 0)
        return std::nullopt;
    return channel_->takenAt();
}

auto CallerConnection::closeIfIdle(Duration minQuiet) -> void
{
    const auto quiet = telemetry::steadyNow() - idleSince_;
    const auto isNew = !isUsed_ && quiet < newConnectionTime;
    if (isIdle() && input_.empty() && !isNew && quiet >= minQuiet && !channel_->hasUnread())
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

auto CallerConnection::still() const -> std::optional<Still>
{
    if (const auto since = unreadSince())
        return Still{Waiting::Rest, *since};
    if (state_ == State::Ended)
        return Still{Waiting::Close, idleSince_};
    if (hasSentAhead())
        return Still{Waiting::Answer, takenAt_};
    if (state_ == State::Answering)
        return std::nullopt;
    if (requestBegun_)
        return Still{Waiting::Rest, reading_->progressAt()};
    if (channel_->hasUnread())
        return std::nullopt; // A request that is just coming.
    return Still{Waiting::Request, idleSince_};
}

auto CallerConnection::giveWay() -> void
{
    if (channel_->unsent() > 0)
        return abort();
    refuseIncomplete();
    discard();
}

auto CallerConnection::discard() -> void
{
    const auto owesNothing = state_ == State::Ended || (isIdle() && !channel_->hasUnread());
    if (!owesNothing)
        return abort();
    timer_.stop();
    stopReading();
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
    stopReading();
    state_ = State::Ended;
    flushed_ = nullptr;
    const auto disconnected = std::exchange(disconnected_, nullptr);
    if (disconnected)
        disconnected();
}

} // namespace applehatch::gateway
