/// Sockets on loopback addresses, and the little of HTTP/1.1 that the stand-ins need.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Endpoint
{
    std::string ip;
    int port = 0;

    [[nodiscard]] auto text() const -> std::string { return ip + ':' + std::to_string(port); }
};

/// A loopback address that no other run uses at the moment, most likely.
auto loopbackIp(int host) -> std::string;

/// A TCP socket; closed with the object.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd)
        : fd_(fd)
    { }
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : fd_(std::exchange(other.fd_, -1))
        , hasEnded_(other.hasEnded_)
    { }
    auto operator=(Socket &&other) noexcept -> Socket &;
    Socket(const Socket &) = delete;
    auto operator=(const Socket &) -> Socket & = delete;

    [[nodiscard]] auto fd() const -> int { return fd_; }
    [[nodiscard]] auto isOpen() const -> bool { return fd_ >= 0; }
    auto close() -> void;
    /// Closes so that the peer sees a reset.
    auto reset() -> void;
    /// Writes all bytes; false if the peer is gone or does not read until `until`.
    auto send(std::string_view bytes, Clock::time_point until) -> bool;
    /// Reads what is there into `into`; false at the end, after an error and at `until`.
    auto receive(std::string &into, Clock::time_point until) -> bool;
    /// False once the peer has closed or an error was met.
    [[nodiscard]] auto isOpenForReading() const -> bool { return isOpen() && !hasEnded_; }

private:
    int fd_ = -1;
    bool hasEnded_ = false;
};

/// Listens at `at`; port 0 takes a free one, which is set in `at`.
auto listenAt(Endpoint &at) -> Socket;
/// Accepts a connection; one that is not open if none came until then.
auto acceptFrom(const Socket &listener, Clock::time_point until) -> Socket;
auto connectTo(const Endpoint &to, Clock::time_point until) -> Socket;
/// A port of `ip` that is free for TCP and UDP.
auto freePort(const std::string &ip) -> int;

/// Names in lower case.
using Headers = std::map<std::string, std::string>;

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

struct Answer
{
    int status = 0; ///< 0 without a whole head.
    Headers headers;
    std::string body;
    bool isWhole = false;
};

/// Reads a request with a length or none; bytes behind it stay in `buffer`.
auto readRequest(Socket &socket, std::string &buffer, Clock::time_point until)
    -> std::optional<Request>;
/// Reads an answer with a length, in chunks or up to the close.
auto readAnswer(Socket &socket, std::string &buffer, Clock::time_point until) -> Answer;

} // namespace review
