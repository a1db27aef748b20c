/// Server side of a caller's HTTP/1.1 connection.
#pragma once

#include "applehatch/direct/directory.h"
#include "applehatch/gateway/channel.h"
#include "applehatch/gateway/http-message.h"
#include "applehatch/gateway/request-memory.h"
#include "applehatch/gateway/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace applehatch::gateway {

class CallerConnection;
using CallerPtr = std::shared_ptr<CallerConnection>;

/// Callbacks from a connection to the owner of its listener.
struct CallerHooks
{
    /// Called with each complete request, which may be answered at once or later through the
    /// connection.
    std::function<void(const CallerPtr &, RequestMessage)> request;
    /// Returns the limits currently in force for callers.
    std::function<direct::CallerLimits()> limits;
    /// What requests may take together. Required.
    RequestMemory *requests = nullptr;
    /// What is buffered of answers may take together. Required.
    ByteBudget *answers = nullptr;
};

/// Reads requests and writes their answers, one request at a time: the next one is parsed after the
/// current answer is complete.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(Channel::Socket socket, CallerHooks hooks);

    auto start() -> void;

    /// Sets a callback that runs once if the caller disconnects before its answer is complete.
    auto onDisconnected(std::function<void()> disconnected) -> void
    {
        disconnected_ = std::move(disconnected);
    }
    /// Sets a callback that runs when everything written has been handed to the kernel.
    auto onFlushed(std::function<void()> flushed) -> void { flushed_ = std::move(flushed); }

    // A body is sent only where the request's method and the answer's status allow one.

    /// Sends a complete answer.
    auto answer(ResponseHead head, std::string_view body) -> void;
    /// Sends the head of an answer whose body follows through `send` and `end`.
    auto begin(ResponseHead head) -> void;
    auto send(std::string_view body) -> void;
    auto end() -> void;
    /// Closes the connection in the middle of an answer, so that the caller sees it is incomplete.
    auto abortAnswer() -> void;

    /// Whether too much of the answer is still unsent because the caller reads slowly.
    [[nodiscard]] auto isCongested() const -> bool;
    /// Whether the caller closed the connection behind the current request, which `onDisconnected`
    /// reports only once the event loop comes to read it.
    [[nodiscard]] auto hasLeft() const -> bool { return channel_->isClosedByPeer(); }
    /// Whether a request is being answered and the caller is still connected.
    [[nodiscard]] auto isAwaitingAnswer() const -> bool { return state_ == State::Answering; }
    [[nodiscard]] auto isIdle() const -> bool { return state_ == State::Reading && !requestBegun_; }
    /// Announces the close of the connection with the next answer that begins.
    auto announceClose() -> void { closeAfterAnswer_ = true; }
    /// Closes the connection in order if it has been idle for `minQuiet` and nothing lies unread.
    /// One that was just opened for its first request is spared.
    auto closeIfIdle(Duration minQuiet) -> void;
    /// Refuses a request of which only a part has come.
    auto refuseIncomplete() -> void;
    /// Whether a request may lie unread in the socket.
    [[nodiscard]] auto hasUnread() const -> bool
    {
        return state_ == State::Reading && channel_->hasUnread();
    }
    /// Whether a request has begun, or its answer is not handed to the kernel completely.
    [[nodiscard]] auto isUnfinished() const -> bool
    {
        const auto isReading = state_ == State::Reading && requestBegun_;
        return isReading || state_ == State::Answering || channel_->unsent() > 0;
    }
    auto abort() -> void;
    /// What a connection that may be closed for others waits for. Whoever owes least comes first.
    enum class Waiting {
        Close,   ///< Its caller to close it.
        Request, ///< Its next request.
        Rest,    ///< The rest of a request, or its caller to take an answer.
        Answer,  ///< The answer of a request behind which its caller has sent more than is read.
    };
    /// A connection that may be closed for others, and since when it has stood still.
    struct Still
    {
        Waiting waiting = Waiting::Close;
        core::Instant since;

        auto operator<(const Still &other) const -> bool
        {
            return std::tie(waiting, since) < std::tie(other.waiting, other.since);
        }
    };
    /// None while a request is being served, unless its caller sent too much behind it.
    [[nodiscard]] auto still() const -> std::optional<Still>;
    /// Closes the connection at once since others need its descriptor. An incomplete request is
    /// refused: it has not run.
    auto giveWay() -> void;
    [[nodiscard]] auto isClosed() const -> bool { return channel_->isClosed(); }
    /// Since when the caller has taken nothing of what is unsent to it; none if all is sent.
    [[nodiscard]] auto unreadSince() const -> std::optional<core::Instant>;
    /// Closes the connection at once; what the kernel has of an answer still reaches the caller.
    auto discard() -> void;

private:
    enum class State {
        Reading,
        Answering,
        Ended,
    };

    auto takeBytes(std::string &bytes) -> void;
    auto read() -> void;
    auto beginRequest() -> void;
    /// Takes room for what has come of the request, and what that announces. Then takes the request
    /// if it is whole, and waits for more if it is not.
    auto holdRequest() -> void;
    /// Whether more has come behind the request being answered than is read meanwhile.
    [[nodiscard]] auto hasSentAhead() const -> bool;
    /// Bytes that the head and what is not parsed yet take in memory.
    [[nodiscard]] auto memoryBesideBody() const -> std::size_t;
    /// Waits for more of a body.
    auto awaitBody() -> void;
    /// Stops reading until there is room, and refuses the request if there is none for long.
    auto awaitRoom() -> void;
    /// Goes on once there is room.
    auto takeRoom() -> void;
    /// Goes on counting what came behind a request that is complete and gives up `kept`.
    auto countPending(ByteShare &kept) -> void;
    /// Drops what came behind the request that is being answered, since others need the room. The
    /// connection is closed behind the answer.
    auto dropPending() -> void;
    /// Drops what has come of a request.
    auto stopReading() -> void;
    auto refuse(int status) -> void;
    auto takeRequest() -> void;
    auto finishAnswer() -> void;
    /// Closes the connection once all is sent, and the socket a while later if the caller does not.
    auto closeInOrder() -> void;
    /// Waits for the caller to close, and closes the socket if it does not: soon once all is sent,
    /// or when it takes nothing for the idle limit. So far `unsentBefore` bytes have been unsent
    /// for `unchangedFor`.
    auto awaitClose(std::size_t unsentBefore, Duration unchangedFor) -> void;
    /// Ends the connection unless it has unread bytes, which may be a new request.
    auto closeIdle() -> void;
    auto awaitRequest() -> void;
    /// Begins no request before the answer to the last one is sent: a caller that goes on asking
    /// and reads nothing would have its answers pile up.
    auto awaitSent() -> void;
    auto onSent() -> void;
    auto ended() -> void;
    /// Sets what follows from the request and the status: whether the connection is kept, and
    /// whether there is a body.
    auto prepare(ResponseHead &head) -> void;

    Timer timer_;
    Timer roomTimer_;
    std::shared_ptr<Channel> channel_;
    CallerHooks hooks_;
    core::Instant idleSince_; // When it was opened, or its last answer ended.
    core::Instant takenAt_;   // When the request that is being answered was complete.
    std::function<void()> disconnected_;
    std::function<void()> flushed_;
    State state_ = State::Reading;
    std::optional<RequestReader> reader_;
    std::optional<RequestMemory::Reading> reading_;
    std::optional<RequestMemory::Reading> pending_; // Of `input_` while a request is answered.
    core::Instant roomAwaitedSince_;
    Duration roomWaited_{0}; // By the current request, before `roomAwaitedSince_`.
    std::string input_;      // Unparsed bytes, including those received during an answer.
    Framing framing_ = Framing::Length;
    bool isHead_ = false;           // The current request is a HEAD, whose answer has no body.
    bool sendsBody_ = true;         // The current answer has a body.
    bool requestBegun_ = false;     // Bytes of the next request have arrived.
    bool isPendingDropped_ = false; // No further request is read.
    bool isSendingAwaited_ = false; // No request is read before the last answer is sent.
    bool isWhole_ = false;          // The request has come, and may still wait for room.
    bool isBodyAwaited_ = false;    // Since its last part came.
    bool isContinueSent_ = false;   // The caller was asked for the body.
    bool isUsed_ = false;           // A request has been answered.
    bool closeAfterAnswer_ = false; // Announced by each answer that begins from now on.
    bool isCloseAnnounced_ = false; // By the current answer.
};

} // namespace applehatch::gateway
