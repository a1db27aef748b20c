/// Listening socket and the connections accepted on it.
#pragma once

#include "applehatch/core/identity.h"
#include "applehatch/gateway/caller-connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace applehatch::gateway {

/// Accepts connections and begins to read them one by one, as far as the event loop keeps up.
///
/// A balancer may hand most new connections to one router for a while. A request that was read must
/// be served, so a router that reads more than it can serve is late for all of them. The next
/// connection is read only after all work that was ready before it, and one that waited too long is
/// closed unread: its caller tries another router at once.
class Listener
{
public:
    /// Connections that wait longer than `maxWait` are closed unread; without it, none is.
    Listener(boost::asio::io_context &loop, CallerHooks hooks,
             std::optional<core::Duration> maxWait = std::nullopt);
    /// Closes all connections, since each keeps itself alive while it is open.
    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    /// Binds to `address` and starts accepting connections.
    [[nodiscard]] auto open(const core::Address &address) -> boost::system::error_code;
    /// Announces the close of all connections, including those accepted later.
    auto announceClose() -> void;
    /// Closes the connections that have been idle for `minQuiet`.
    auto closeIdle(Duration minQuiet) -> void;
    /// Listens no longer. What the kernel has accepted is taken and read; whoever comes later is
    /// refused by the kernel and goes elsewhere at once.
    auto stopListening() -> void;
    /// Whether anything has come that is not read yet, on a connection or as a new one.
    [[nodiscard]] auto hasUnread() -> bool;
    /// Refuses all requests of which only a part has come.
    auto refuseIncomplete() -> void;
    [[nodiscard]] auto connections() const -> std::size_t;
    /// Number of connections, those included that have closed since the last sweep.
    [[nodiscard]] auto size() const -> std::size_t { return connections_.size() + waiting_.size(); }
    [[nodiscard]] auto openConnections() const -> std::vector<CallerPtr>;
    /// Number of connections on which a request has begun or an answer is not sent completely.
    [[nodiscard]] auto unfinished() const -> std::size_t;
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Sets how many connections may be open at a time. Beyond that, those are closed that carry no
    /// complete request and stand still.
    auto limitConnections(std::function<std::size_t()> limit) -> void { limit_ = std::move(limit); }
    /// Closes some connections for others. Returns false if none can be.
    auto closeStill() -> bool;
    /// Returns how many connections were closed for others since the last call.
    [[nodiscard]] auto takeGivenWay() -> std::size_t;
    /// Removes the entries of closed connections.
    auto sweep() -> void;
    /// Returns the number of connections closed unread since the last call.
    [[nodiscard]] auto takeClosedUnread() -> std::size_t;

private:
    struct Waiting
    {
        boost::asio::ip::tcp::socket socket;
        core::Duration acceptedAt; ///< By `workTime`.
    };

    auto accept() -> void;
    /// Returns the time that the loop has been at work, up to now. A turn during which the process
    /// was held up counts little: callers need not leave a router that only paused.
    auto workTime() -> core::Duration;
    /// Accepts all connections that the kernel holds, so that their waits are seen.
    auto acceptAll() -> void;
    auto add(boost::asio::ip::tcp::socket socket) -> void;
    /// Whether there is room for a connection more, which may be made.
    [[nodiscard]] auto mayAdd() -> bool;
    [[nodiscard]] auto isFull() const -> bool;
    /// Begins to read the next connection when the loop has done what is ready now.
    auto scheduleNext() -> void;
    auto startNext() -> void;

    boost::asio::io_context &loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    CallerHooks hooks_;
    std::optional<core::Duration> maxWait_;
    std::deque<Waiting> waiting_;
    core::Duration workTime_{0};
    std::optional<core::Instant> turnAt_; // When `workTime_` was set.
    std::function<std::size_t()> limit_;  // Empty for none.
    std::size_t closedUnread_ = 0;
    std::size_t gaveWay_ = 0;
    std::vector<std::weak_ptr<CallerConnection>> connections_;
    bool announcesClose_ = false;
    /// Expires with the listener, so that no callback outlives it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace applehatch::gateway
