/// Listening socket and the connections accepted on it.
#pragma once

#include "applehatch/core/identity.h"
#include "applehatch/gateway/caller-connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace applehatch::gateway {

class Listener
{
public:
    Listener(boost::asio::io_context &loop, CallerHooks hooks);
    /// Aborts all connections, since each keeps itself alive while it is open.
    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    /// Binds to `address` and starts accepting connections.
    [[nodiscard]] auto open(const core::Address &address) -> boost::system::error_code;
    /// Retires all connections, including those accepted later; see `CallerConnection::retire`.
    auto retire(bool closeIdle) -> void;
    [[nodiscard]] auto connections() const -> std::size_t;
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Removes the entries of closed connections.
    auto sweep() -> void;

private:
    auto accept() -> void;

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    CallerHooks hooks_;
    std::vector<std::weak_ptr<CallerConnection>> connections_;
    bool retired_ = false;
};

} // namespace applehatch::gateway
