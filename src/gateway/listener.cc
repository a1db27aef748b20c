#include "applehatch/gateway/listener.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Connections that may wait to be accepted; callers of a larger burst wait for seconds.
constexpr int backlog = 1024;
// Delay after a failed accept, for example when no file descriptor is free.
constexpr Duration pauseAfterFailure = std::chrono::milliseconds(20);

} // namespace

Listener::Listener(asio::io_context &loop, CallerHooks hooks)
    : acceptor_(loop)
    , pause_(loop)
    , hooks_(std::move(hooks))
{ }

Listener::~Listener()
{
    for (const auto &each : connections_) {
        if (const auto connection = each.lock())
            connection->abort();
    }
}

auto Listener::open(const core::Address &address) -> error_code
{
    error_code error;
    const auto ip = asio::ip::make_address_v4(address.ip, error);
    if (error)
        return error;
    acceptor_.open(tcp::v4(), error);
    if (error)
        return error;
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind({ip, address.port}, error);
    if (error)
        return error;
    acceptor_.listen(backlog, error);
    if (!error)
        accept();
    return error;
}

auto Listener::accept() -> void
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            pause_.expires_after(pauseAfterFailure);
            pause_.async_wait([this](error_code aborted) {
                if (!aborted)
                    accept();
            });
            return;
        }
        const auto connection = std::make_shared<CallerConnection>(std::move(socket), hooks_);
        connections_.push_back(connection);
        if (retired_)
            connection->retire(false);
        connection->start();
        accept();
    });
}

auto Listener::retire(bool closeIdle) -> void
{
    retired_ = true;
    for (const auto &each : connections_) {
        if (const auto connection = each.lock())
            connection->retire(closeIdle);
    }
}

auto Listener::connections() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto &each) { return !each.expired(); }));
}

auto Listener::port() const -> std::uint16_t
{
    error_code error;
    return acceptor_.local_endpoint(error).port();
}

auto Listener::sweep() -> void
{
    std::erase_if(connections_, [](const auto &each) { return each.expired(); });
}

} // namespace applehatch::gateway
