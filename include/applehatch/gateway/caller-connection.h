/// A caller's connection: reads requests one after another and writes their answers.
#pragma once

#include "applehatch/direct/directory.h"
#include "applehatch/gateway/channel.h"
#include "applehatch/gateway/http-message.h"
#include "applehatch/gateway/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace applehatch::gateway {

class CallerConnection;
using CallerPtr = std::shared_ptr<CallerConnection>;

/// What the owner of a listener does for its connections.
struct CallerHooks
{
    /// A whole request was read; answered through the connection, now or later.
    std::function<void(const CallerPtr &, RequestMessage)> request;
    std::function<direct::CallerLimits()> limits;
};

/// One request is answered at a time; the next one is read when the answer is whole.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(Channel::Socket socket, CallerHooks hooks);

    auto start() -> void;

    /// Called once if the caller leaves before its answer is whole.
    auto onDisconnected(std::function<void()> disconnected) -> void
    {
        disconnected_ = std::move(disconnected);
    }
    /// Called when the caller took what it was sent.
    auto onFlushed(std::function<void()> flushed) -> void { flushed_ = std::move(flushed); }

    /// The whole answer.
    auto answer(ResponseHead head, std::string_view body) -> void;
    /// The beginning of an answer whose body follows.
    auto begin(ResponseHead head) -> void;
    auto send(std::string_view body) -> void;
    auto end() -> void;
    /// Ends an answer that will not be whole, so that the caller can tell.
    auto abortAnswer() -> void;

    /// Whether the caller is slower than the upstream.
    [[nodiscard]] auto isCongested() const -> bool;
    /// Whether the caller is still there to be answered.
    [[nodiscard]] auto isAwaitingAnswer() const -> bool { return state_ == State::Answering; }
    [[nodiscard]] auto isIdle() const -> bool { return state_ == State::Reading && !requestBegun_; }
    /// Announces the close with the next answer; closes now when idle and `closeIdle`,
    /// unless it was opened a moment ago.
    auto retire(bool closeIdle) -> void;
    auto abort() -> void;

private:
    enum class State {
        Reading,
        Answering,
        Ended,
    };

    auto takeBytes(std::string &bytes) -> void;
    auto read() -> void;
    auto refuse(int status) -> void;
    auto takeRequest() -> void;
    auto finishAnswer() -> void;
    /// Ends the connection unless a request has come meanwhile that is not read yet.
    auto closeIdle() -> void;
    auto awaitRequest() -> void;
    auto ended() -> void;
    auto writeHead(ResponseHead head) -> void;

    Timer timer_;
    std::shared_ptr<Channel> channel_;
    CallerHooks hooks_;
    core::Instant openedAt_;
    std::function<void()> disconnected_;
    std::function<void()> flushed_;
    State state_ = State::Reading;
    std::optional<RequestReader> reader_;
    std::string input_; // Bytes not yet taken; what comes during an answer waits here.
    Framing framing_ = Framing::Length;
    bool requestBegun_ = false; // Bytes of the next request came.
    bool closeAfterAnswer_ = false;
};

} // namespace applehatch::gateway
