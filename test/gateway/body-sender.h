/// A caller whose request is larger than what the kernel holds for it.
#pragma once

#include "gateway-fixture.h"

#include <array>
#include <string>
#include <utility>

namespace applehatch::gateway::testing {

/// Sends a request without blocking the loop, and keeps all that it receives.
class BodySender
{
public:
    BodySender(asio::io_context &loop, const core::Address &to, std::string request)
        : socket_(loop)
        , request_(std::move(request))
    {
        socket_.connect({asio::ip::make_address(to.ip), to.port});
        asio::async_write(socket_, asio::buffer(request_), [](auto, auto) {});
        read();
    }

    std::string received;
    bool ended = false;

private:
    auto read() -> void
    {
        socket_.async_read_some(asio::buffer(buffer_), [this](auto error, auto count) {
            if (error == asio::error::operation_aborted)
                return;
            received.append(buffer_.data(), count);
            ended = static_cast<bool>(error);
            if (!ended)
                read();
        });
    }

    tcp::socket socket_;
    std::string request_;
    std::array<char, 65536> buffer_{};
};

} // namespace applehatch::gateway::testing
