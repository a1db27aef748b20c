/// Callers that go on using their connections until a gateway's process is gone.
#pragma once

#include "gateway/gateway-fixture.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace applehatch::gateway::testing {

using Clock = std::chrono::steady_clock;

/// One request of a returning caller, and what became of it.
struct Try
{
    Clock::time_point sentAt;
    Clock::time_point endedAt;
    bool isConnected = false; ///< Else nothing could be sent.
    bool isWhole = false;     ///< The answer came whole.
    std::string answer;

    [[nodiscard]] auto hasStatus(const std::string &status) const -> bool
    {
        return isWhole && answer.starts_with("HTTP/1.1 " + status);
    }
};

/// Whether `answer` is complete: its body has its length, or its last chunk has come.
inline auto isWholeAnswer(const std::string &answer) -> bool
{
    const auto head = answer.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    if (answer.substr(0, head).find("chunked") != std::string::npos)
        return answer.ends_with(lastChunk);
    return isWholeRequest(answer);
}

/// Sends requests one after another on a kept connection, for as long as it is asked to.
class ReturningCaller : public std::enable_shared_from_this<ReturningCaller>
{
public:
    struct Plan
    {
        core::Address gateway;
        std::function<std::string(std::size_t)> request; ///< By its number.
        /// How long to wait before the next request.
        std::function<std::chrono::milliseconds()> pause;
    };

    ReturningCaller(asio::io_context &loop, Plan plan, std::vector<Try> &tries)
        : socket_(loop)
        , timer_(loop)
        , plan_(std::move(plan))
        , tries_(tries)
    { }

    auto start() -> void { waitThenSend(plan_.pause()); }
    auto stop() -> void { isStopped_ = true; }

private:
    auto waitThenSend(std::chrono::milliseconds time) -> void
    {
        timer_.expires_after(time);
        timer_.async_wait([self = shared_from_this()](auto) {
            if (!self->isStopped_)
                self->send();
        });
    }

    auto send() -> void
    {
        current_ = {};
        if (isOpen())
            return write();
        socket_ = tcp::socket(socket_.get_executor());
        socket_.async_connect({asio::ip::make_address(plan_.gateway.ip), plan_.gateway.port},
                              [self = shared_from_this()](auto error) {
                                  if (error)
                                      return self->end(false);
                                  self->write();
                              });
    }

    /// Whether the connection can still be used: the gateway has not closed it.
    auto isOpen() -> bool
    {
        if (!socket_.is_open())
            return false;
        boost::system::error_code error;
        std::array<char, 1> byte{};
        socket_.non_blocking(true);
        socket_.receive(asio::buffer(byte), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    auto write() -> void
    {
        current_.isConnected = true;
        current_.sentAt = Clock::now();
        request_ = plan_.request(tries_.size());
        boost::system::error_code error;
        asio::write(socket_, asio::buffer(request_), error);
        if (error)
            return end(false);
        read();
    }

    auto read() -> void
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, auto count) {
                                    self->current_.answer.append(self->buffer_.data(), count);
                                    if (isWholeAnswer(self->current_.answer))
                                        return self->end(true);
                                    if (error)
                                        return self->end(false);
                                    self->read();
                                });
    }

    auto end(bool isWhole) -> void
    {
        current_.isWhole = isWhole;
        current_.endedAt = Clock::now();
        const auto wait = headerOf(current_.answer, "Retry-After");
        const auto closes = headerOf(current_.answer, "Connection") == "close";
        tries_.push_back(std::exchange(current_, {}));
        if (!isWhole || closes) {
            boost::system::error_code error;
            socket_.close(error);
        }
        const auto back = wait.empty() ? 0.0 : std::stod(wait);
        waitThenSend(plan_.pause()
                     + std::chrono::milliseconds(static_cast<std::int64_t>(back * 1000)));
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    Plan plan_;
    std::vector<Try> &tries_;
    Try current_;
    std::string request_;
    std::array<char, 65536> buffer_{};
    bool isStopped_ = false;
};

} // namespace applehatch::gateway::testing
