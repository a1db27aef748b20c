#include "applehatch/experiment/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <set>
#include <stdexcept>
#include <utility>

namespace applehatch::experiment {

namespace {

constexpr auto backlog = 512;
constexpr auto acceptCheck = 50;

auto toNative(const core::Address &address) -> sockaddr_in
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr) != 1) {
        throw std::runtime_error("not an IP number: " + address.ip);
    }
    return native;
}

auto waitFor(int descriptor, short events, milliseconds limit) -> bool
{
    pollfd waited{descriptor, events, 0};
    return ::poll(&waited, 1, static_cast<int>(limit.count())) > 0;
}

} // namespace

auto listenOn(core::Address &address) -> Socket
{
    Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int yes = 1;
    (void)::setsockopt(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto native = toNative(address);
    auto *generic = reinterpret_cast<sockaddr *>(&native);
    if (::bind(listener.descriptor(), generic, sizeof native) != 0
        || ::listen(listener.descriptor(), backlog) != 0) {
        throw std::runtime_error("cannot listen on " + address.ip);
    }
    socklen_t size = sizeof native;
    (void)::getsockname(listener.descriptor(), generic, &size);
    address.port = ntohs(native.sin_port);
    return listener;
}

auto Socket::operator=(Socket &&other) noexcept -> Socket &
{
    if (this != &other) {
        close();
        descriptor_ = other.release();
    }
    return *this;
}

auto Socket::connect(const core::Address &peer) -> Socket
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    // A host that stopped accepting would otherwise hold the test for two minutes.
    const timeval limit{patience.count() / 1000, 0};
    (void)::setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    auto native = toNative(peer);
    if (::connect(socket.descriptor(), reinterpret_cast<sockaddr *>(&native), sizeof native) != 0) {
        return {};
    }
    socket.setNoDelay();
    return socket;
}

auto Socket::sendAll(std::string_view data, milliseconds limit) -> bool
{
    while (!data.empty()) {
        if (!waitFor(descriptor_, POLLOUT, limit)) {
            return false;
        }
        const auto sent = sendSome(data);
        if (!sent) {
            return false;
        }
        data.remove_prefix(*sent);
    }
    return true;
}

auto Socket::sendSome(std::string_view data) -> std::optional<std::size_t>
{
    const auto sent = ::send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN) {
        return std::nullopt;
    }
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

auto Socket::receive(milliseconds limit) -> std::optional<std::string>
{
    if (!waitFor(descriptor_, POLLIN, limit)) {
        return std::nullopt;
    }
    std::array<char, 65536> block{};
    const auto count = ::recv(descriptor_, block.data(), block.size(), 0);
    return std::string(block.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
}

auto Socket::shrinkReceiveBuffer() -> void
{
    const int bytes = 4096;
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

auto Socket::setNoDelay() -> void
{
    const int yes = 1;
    (void)::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

auto Socket::shutdown() -> void
{
    (void)::shutdown(descriptor_, SHUT_RDWR);
}

auto Socket::close() -> void
{
    if (const auto descriptor = release(); descriptor >= 0) {
        (void)::close(descriptor);
    }
}

auto Socket::reset() -> void
{
    const linger now{1, 0};
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

auto Socket::release() -> int
{
    return std::exchange(descriptor_, -1);
}

auto freePort(const std::string &ip) -> std::uint16_t
{
    static std::mutex mutex;
    static std::set<std::pair<std::string, std::uint16_t>> given;
    const std::lock_guard lock(mutex);
    while (true) {
        core::Address address{ip, 0};
        const auto listener = listenOn(address);
        if (given.emplace(ip, address.port).second) {
            return address.port;
        }
    }
}

auto sendDatagram(const core::Address &to, std::string_view data) -> void
{
    sendDatagram(Socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)), to, data);
}

auto sendDatagram(const Socket &from, const core::Address &to, std::string_view data) -> void
{
    auto native = toNative(to);
    (void)::sendto(from.descriptor(), data.data(), data.size(), 0,
                   reinterpret_cast<sockaddr *>(&native), sizeof native);
}

auto bindDatagrams(core::Address &address) -> Socket
{
    Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    auto native = toNative(address);
    auto *generic = reinterpret_cast<sockaddr *>(&native);
    if (::bind(socket.descriptor(), generic, sizeof native) != 0) {
        throw std::runtime_error("cannot take datagrams on " + address.ip);
    }
    socklen_t size = sizeof native;
    (void)::getsockname(socket.descriptor(), generic, &size);
    address.port = ntohs(native.sin_port);
    return socket;
}

auto receiveDatagram(const Socket &socket) -> std::optional<Datagram>
{
    constexpr std::size_t largest = 65536;
    std::array<char, largest> buffer{};
    sockaddr_in from{};
    socklen_t fromSize = sizeof from;
    const auto size = ::recvfrom(socket.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                                 reinterpret_cast<sockaddr *>(&from), &fromSize);
    if (size < 0) {
        return std::nullopt;
    }
    std::array<char, INET_ADDRSTRLEN> ip{};
    (void)inet_ntop(AF_INET, &from.sin_addr, ip.data(), ip.size());
    return Datagram{{ip.data(), ntohs(from.sin_port)},
                    {buffer.data(), static_cast<std::size_t>(size)}};
}

RawServer::RawServer(const std::string &ip, Serve serve, std::uint16_t port)
    : serve_(std::move(serve))
    , address_{ip, port}
    , listener_(listenOn(address_))
{
    acceptor_ = std::thread([this] { acceptLoop(); });
}

RawServer::~RawServer()
{
    stopping_ = true;
    acceptor_.join();
    {
        const std::lock_guard lock(mutex_);
        for (auto &connection : connections_) {
            connection.shutdown();
        }
    }
    for (auto &thread : threads_) {
        thread.join();
    }
}

auto RawServer::acceptLoop() -> void
{
    while (!stopping_) {
        if (!waitFor(listener_.descriptor(), POLLIN, milliseconds(acceptCheck))) {
            continue;
        }
        Socket taken(::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
        if (!taken.valid()) {
            continue;
        }
        ++accepted_;
        auto &connection = connections_.emplace_back(std::move(taken));
        threads_.emplace_back([this, &connection] {
            serve_(connection);
            const std::lock_guard lock(mutex_);
            connection.close();
        });
    }
}

} // namespace applehatch::experiment
