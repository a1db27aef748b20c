#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

auto addressOf(const Endpoint &endpoint) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

auto waitFor(int fd, short events, Clock::time_point until) -> bool
{
    const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now()).count();
    pollfd polled{fd, events, 0};
    return poll(&polled, 1, static_cast<int>(std::max<long>(0, left))) == 1;
}

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

auto readHead(Socket &socket, std::string &buffer, Clock::time_point until)
    -> std::optional<std::string>
{
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!socket.receive(buffer, until))
            return std::nullopt;
        end = buffer.find("\r\n\r\n");
    }
    auto head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    return head;
}

auto parseHeaders(const std::string &head) -> Headers
{
    Headers headers;
    auto at = head.find("\r\n") + 2;
    while (at < head.size()) {
        const auto end = head.find("\r\n", at);
        const auto line = head.substr(at, end - at);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            headers.emplace(lower(line.substr(0, colon)), value);
        }
        at = end + 2;
    }
    return headers;
}

auto take(std::string &buffer, std::size_t count) -> std::string
{
    auto taken = buffer.substr(0, count);
    buffer.erase(0, count);
    return taken;
}

auto readChunks(Socket &socket, std::string &buffer, std::string &body, Clock::time_point until)
    -> bool
{
    for (;;) {
        auto end = buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!socket.receive(buffer, until))
                return false;
            end = buffer.find("\r\n");
        }
        const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
        buffer.erase(0, end + 2);
        while (buffer.size() < size + 2) {
            if (!socket.receive(buffer, until)) {
                body += buffer.substr(0, size);
                return false;
            }
        }
        body += take(buffer, size);
        buffer.erase(0, 2);
        if (size == 0)
            return true;
    }
}

} // namespace

auto loopbackIp(int host) -> std::string
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(16 + pid / 250 % 200) + '.' + std::to_string(2 + pid % 250) + '.'
        + std::to_string(host);
}

auto Socket::operator=(Socket &&other) noexcept -> Socket &
{
    if (this != &other) {
        close();
        fd_ = std::exchange(other.fd_, -1);
        hasEnded_ = other.hasEnded_;
    }
    return *this;
}

auto Socket::close() -> void
{
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
}

auto Socket::reset() -> void
{
    const linger none{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    close();
}

auto Socket::send(std::string_view bytes, Clock::time_point until) -> bool
{
    while (!bytes.empty()) {
        const auto count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (errno != EAGAIN || !waitFor(fd_, POLLOUT, until))
            return false;
    }
    return true;
}

auto Socket::receive(std::string &into, Clock::time_point until) -> bool
{
    char bytes[65536];
    if (!isOpen() || !waitFor(fd_, POLLIN, until))
        return false;
    const auto count = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count > 0)
        into.append(bytes, static_cast<std::size_t>(count));
    else
        hasEnded_ = true;
    return count > 0;
}

auto listenAt(Endpoint &at) -> Socket
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = addressOf(at);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(socket.fd(), generic, sizeof(address)) != 0 || listen(socket.fd(), 1024) != 0)
        throw std::runtime_error("cannot listen at " + at.text());
    socklen_t size = sizeof(address);
    getsockname(socket.fd(), generic, &size);
    at.port = ntohs(address.sin_port);
    return socket;
}

auto acceptFrom(const Socket &listener, Clock::time_point until) -> Socket
{
    if (!waitFor(listener.fd(), POLLIN, until))
        return {};
    Socket socket(accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    const int on = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

auto connectTo(const Endpoint &to, Clock::time_point until) -> Socket
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int on = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto address = addressOf(to);
    const auto result =
        connect(socket.fd(), reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (result == 0)
        return socket;
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || !waitFor(socket.fd(), POLLOUT, until))
        return {};
    getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? std::move(socket) : Socket();
}

auto freePort(const std::string &ip) -> int
{
    for (;;) {
        Endpoint at{ip, 0};
        const auto tcp = listenAt(at);
        const Socket udp(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        auto address = addressOf(at);
        if (bind(udp.fd(), reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
            return at.port;
    }
}

auto readRequest(Socket &socket, std::string &buffer, Clock::time_point until)
    -> std::optional<Request>
{
    const auto head = readHead(socket, buffer, until);
    if (!head)
        return std::nullopt;
    Request request;
    const auto space = head->find(' ');
    request.method = head->substr(0, space);
    request.target = head->substr(space + 1, head->find(' ', space + 1) - space - 1);
    request.headers = parseHeaders(*head);
    const auto length = request.headers.find("content-length");
    const auto size =
        length == request.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer.size() < size) {
        if (!socket.receive(buffer, until))
            return std::nullopt;
    }
    request.body = take(buffer, size);
    return request;
}

auto readAnswer(Socket &socket, std::string &buffer, Clock::time_point until) -> Answer
{
    Answer answer;
    const auto head = readHead(socket, buffer, until);
    if (!head || head->size() < 12)
        return answer;
    answer.status = std::atoi(head->c_str() + 9);
    answer.headers = parseHeaders(*head);
    if (const auto coding = answer.headers.find("transfer-encoding");
        coding != answer.headers.end()) {
        answer.isWhole = readChunks(socket, buffer, answer.body, until);
        return answer;
    }
    const auto length = answer.headers.find("content-length");
    const auto size =
        length == answer.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer.size() < size) {
        if (!socket.receive(buffer, until))
            return answer;
    }
    answer.body = take(buffer, size);
    answer.isWhole = true;
    return answer;
}

} // namespace review
