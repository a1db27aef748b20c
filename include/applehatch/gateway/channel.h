/// One TCP connection on the event loop.
#pragma once

#include "applehatch/core/identity.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace applehatch::gateway {

using core::Duration;

/// How soon the kernel gives a silent connection up.
struct ChannelLimits
{
    /// Unacknowledged bytes for this long end the connection; 0 leaves it to the kernel.
    Duration unacknowledgedTimeout{0};
    /// An idle connection is probed this often, in whole seconds; two misses end it.
    std::chrono::seconds probeInterval{1};
};

/// Reads as bytes come, writes as the peer takes them.
///
/// Connections may go silent for good without a reset, because something between the two ends lost
/// track of them. A request sent on one would wait for its deadline. Probes and the limit on
/// unacknowledged bytes end such a connection within seconds.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    struct Hooks
    {
        /// Bytes came; takes what it needs from the front. May be called with bytes left over.
        std::function<void(std::string &)> data;
        /// The peer closed in order (no error) or the connection broke. Called at most once, and
        /// never after `close` or `abort`.
        std::function<void(boost::system::error_code)> ended;
        /// All that was written has been handed to the kernel.
        std::function<void()> flushed;
    };

    using Socket = boost::asio::ip::tcp::socket;

    explicit Channel(Socket socket);
    ~Channel();
    Channel(const Channel &) = delete;
    auto operator=(const Channel &) -> Channel & = delete;

    auto start(Hooks hooks, ChannelLimits limits) -> void;
    auto write(std::string_view bytes) -> void;
    /// Bytes have come that were not read yet; closing now would lose them.
    [[nodiscard]] auto hasUnread() const -> bool;
    [[nodiscard]] auto unsent() const -> std::size_t { return out_.size(); }
    /// While paused no bytes are read, so that a fast sender is slowed by a slow receiver.
    auto setPaused(bool paused) -> void;
    /// Sends what is queued, then closes; waits a little for the peer to read it.
    auto close() -> void;
    /// Closes at once; the peer sees a reset.
    auto abort() -> void;
    [[nodiscard]] auto isOpen() const -> bool { return state_ == State::Open; }
    [[nodiscard]] auto executor() -> Socket::executor_type { return socket_.get_executor(); }

private:
    enum class State {
        Open,
        Closing, ///< Sending the rest.
        Closed,
    };

    auto waitReadable() -> void;
    auto waitWritable() -> void;
    auto readAvailable() -> void;
    auto flush() -> void;
    auto fail(boost::system::error_code error) -> void;
    auto release() -> void;
    auto dropHooks() -> void;

    Socket socket_;
    Hooks hooks_;
    std::string in_;
    std::string out_;
    State state_ = State::Open;
    bool reading_ = false;
    bool writing_ = false;
    bool paused_ = false;
};

/// Sets the limits on a socket; also for sockets that are still connecting.
auto setChannelOptions(Channel::Socket &socket, ChannelLimits limits) -> void;

} // namespace applehatch::gateway
