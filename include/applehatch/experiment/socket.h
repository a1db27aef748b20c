/// TCP and UDP sockets for tests, closed when they go out of scope.
#pragma once

#include "applehatch/core/identity.h"
#include "applehatch/experiment/eventually.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace applehatch::experiment {

/// One end of a TCP connection. Receiving and sending may be on two threads.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : descriptor_(descriptor)
    { }
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : descriptor_(other.release())
    { }
    auto operator=(Socket &&other) noexcept -> Socket &;
    Socket(const Socket &) = delete;
    auto operator=(const Socket &) -> Socket & = delete;

    /// An invalid socket when nothing accepts there.
    [[nodiscard]] static auto connect(const core::Address &peer) -> Socket;

    [[nodiscard]] auto valid() const -> bool { return descriptor_ >= 0; }
    [[nodiscard]] auto descriptor() const -> int { return descriptor_; }

    /// False when the peer is gone or took nothing for `limit`.
    [[nodiscard]] auto sendAll(std::string_view data, milliseconds limit = patience) -> bool;

    /// Hands over what the peer takes now; none when it is gone.
    [[nodiscard]] auto sendSome(std::string_view data) -> std::optional<std::size_t>;

    /// What has arrived; empty once the peer closed or reset; none when nothing came in time.
    [[nodiscard]] auto receive(milliseconds limit = patience) -> std::optional<std::string>;

    /// A small receive buffer, so that a caller that stops reading is soon noticed.
    auto shrinkReceiveBuffer() -> void;
    auto setNoDelay() -> void;
    auto shutdown() -> void;
    auto close() -> void;
    auto reset() -> void; ///< Closes so that the peer sees a reset.

private:
    auto release() -> int;

    int descriptor_ = -1;
};

/// Listens on `address`; its port 0 is replaced by the one taken. Throws `std::runtime_error`.
[[nodiscard]] auto listenOn(core::Address &address) -> Socket;

/// A port on `ip` that nothing listened on a moment ago, and that was not given before: a port that
/// is meant for a process not yet started would otherwise be given twice.
[[nodiscard]] auto freePort(const std::string &ip) -> std::uint16_t;

/// Sends one datagram.
auto sendDatagram(const core::Address &to, std::string_view data) -> void;
auto sendDatagram(const Socket &from, const core::Address &to, std::string_view data) -> void;

/// Takes datagrams at `address`; its port 0 is replaced by the one taken. Throws
/// `std::runtime_error`.
[[nodiscard]] auto bindDatagrams(core::Address &address) -> Socket;

struct Datagram
{
    core::Address from;
    std::string data;
};

/// One that has arrived already; none when there is none.
[[nodiscard]] auto receiveDatagram(const Socket &socket) -> std::optional<Datagram>;

/// Accepts connections and hands each to `serve` on a thread of its own; closes it afterwards.
class RawServer
{
public:
    using Serve = std::function<void(Socket &)>;

    RawServer(const std::string &ip, Serve serve, std::uint16_t port = 0);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return address_; }
    [[nodiscard]] auto accepted() const -> std::size_t { return accepted_; }

private:
    auto acceptLoop() -> void;

    Serve serve_;
    core::Address address_;
    Socket listener_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> accepted_{0};
    std::mutex mutex_; ///< Guards the closing of connections.
    std::list<Socket> connections_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace applehatch::experiment
