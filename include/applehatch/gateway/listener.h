/// A listening address and the connections that came to it.
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
    /// Ends its connections: each holds itself while it is open.
    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    [[nodiscard]] auto open(const core::Address &address) -> boost::system::error_code;
    /// See `CallerConnection::retire`; later connections are retired from their first request on.
    auto retire(bool closeIdle) -> void;
    [[nodiscard]] auto connections() const -> std::size_t;
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Forgets connections that are gone.
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
