/// Buffered TCP connection on the event loop.
#pragma once

#include "applehatch/core/identity.h"
#include "applehatch/gateway/byte-budget.h"
#include "applehatch/telemetry/progress.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace applehatch::gateway {

using core::Duration;

/// Limits after which the kernel gives up on an unresponsive connection.
struct ChannelLimits
{
    /// Ends the connection when sent bytes stay unacknowledged for this long; 0 keeps the kernel's
    /// default.
    Duration unacknowledgedTimeout{0};
    /// Interval of TCP keep-alive probes on an idle connection; two unanswered probes end it.
    std::chrono::seconds probeInterval{1};
};

/// Non-blocking, buffered TCP connection.
///
/// A connection may go silent for good without a reset when a device on the path drops its state. A
/// request sent on it would wait until its deadline. Keep-alive probes and the limit on
/// unacknowledged bytes end such a connection within seconds.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    struct Hooks
    {
        /// Called when bytes arrive; consumes what it needs from the front. Bytes that it leaves
        /// are passed again, in front of new ones.
        std::function<void(std::string &)> data;
        /// Called when the peer closes the connection in order (no error) or the connection fails.
        /// Called at most once, never after `close` or `abort`, and always by the event loop: a
        /// write that fails at once is reported later, so that its caller can go on.
        std::function<void(boost::system::error_code)> ended;
        /// Called when everything written has been handed to the kernel.
        std::function<void()> flushed;
    };

    using Socket = boost::asio::ip::tcp::socket;

    /// Most bytes of one read; an event of a stream is a few hundred bytes.
    static constexpr std::size_t maxReadBytes = 32768;

    explicit Channel(Socket socket);
    ~Channel();
    Channel(const Channel &) = delete;
    auto operator=(const Channel &) -> Channel & = delete;

    auto start(Hooks hooks, ChannelLimits limits) -> void;
    auto write(std::string_view bytes) -> void;
    /// Writes a whole message without a copy of it. `kept` is given back once all is sent.
    auto writeWhole(std::string message, ByteShare kept = {}) -> void;
    /// Whether received bytes are still unread; closing now would lose them.
    [[nodiscard]] auto hasUnread() const -> bool;
    /// Whether the peer has closed the connection and all that it sent has been read. Known before
    /// the next read, at the cost of a system call.
    [[nodiscard]] auto isClosedByPeer() -> bool;
    /// Bytes written but not yet handed to the kernel.
    [[nodiscard]] auto unsent() const -> std::size_t { return out_.size() - sent_; }
    /// Whether the connection ended while bytes were written that the peer had not received.
    [[nodiscard]] auto endedUnsent() const -> bool { return endedUnsent_; }
    /// Counts what is unsent in `share` from now on.
    auto countUnsent(ByteShare share) -> void { unsentShare_ = std::move(share); }
    /// When the peer last took bytes, or when those that are unsent were first written.
    [[nodiscard]] auto takenAt() const -> core::Instant { return taken_.at(); }
    /// Stops or resumes reading, so that a slow receiver slows down a fast sender.
    auto setPaused(bool paused) -> void;
    /// Sets how many bytes one read brings at most, up to `maxReadBytes`.
    auto setMaxRead(std::size_t bytes) -> void { maxRead_ = bytes; }
    /// Sends the queued bytes, then shuts down sending and waits for the peer to close.
    auto close() -> void;
    /// Closes the socket; the kernel still delivers what it has.
    auto closeNow() -> void;
    /// Closes at once; the peer sees a reset.
    auto abort() -> void;
    [[nodiscard]] auto isOpen() const -> bool { return state_ == State::Open; }
    /// Whether its descriptor is given back.
    [[nodiscard]] auto isClosed() const -> bool { return hasEnded(); }
    [[nodiscard]] auto executor() -> Socket::executor_type { return socket_.get_executor(); }

private:
    enum class State {
        Open,
        Closing, ///< Sending the queued bytes, then waiting for the peer to close.
        Failed,  ///< A write failed; the event loop will call `ended`.
        Closed,
    };

    auto waitReadable() -> void;
    auto waitWritable() -> void;
    auto readAvailable() -> void;
    /// Drops received bytes: closing a socket with unread ones resets the connection.
    auto dropReceived() -> void;
    auto flush() -> void;
    /// Counts what a write has left, the first since all was sent if `wasEmpty`.
    auto noteUnsent(bool wasEmpty) -> void;
    auto dropUnsent() -> void;
    /// Drops from `out_` what was sent, once that is most of it: each time would move the rest.
    auto dropSent() -> void;
    /// Whether the peer has not received all that was written.
    [[nodiscard]] auto hasUndelivered() -> bool;
    auto fail(boost::system::error_code error) -> void;
    auto failLater(boost::system::error_code error) -> void;
    [[nodiscard]] auto hasEnded() const -> bool
    {
        return state_ == State::Failed || state_ == State::Closed;
    }
    auto release() -> void;
    auto dropHooks() -> void;

    Socket socket_;
    Hooks hooks_;
    std::string in_;
    std::string out_;
    std::size_t sent_ = 0;      // Bytes at the front of `out_` that the kernel has.
    telemetry::Progress taken_; // By the peer, of what was unsent.
    ByteShare unsentShare_;
    std::size_t maxRead_ = maxReadBytes;
    ByteShare outKept_; // What `out_` takes of a budget.
    State state_ = State::Open;
    bool reading_ = false;
    bool writing_ = false;
    bool paused_ = false;
    bool endedUnsent_ = false;
};

/// Applies the limits to a socket, which may still be connecting.
auto setChannelOptions(Channel::Socket &socket, ChannelLimits limits) -> void;

} // namespace applehatch::gateway
