#include "caller-socket.h"

#include <arpa/inet.h>
#include <array>
#include <civetweb.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace applehatch::process {

namespace {

using NameOf = int (*)(int, sockaddr *, socklen_t *);

auto address(int descriptor, NameOf nameOf) -> sockaddr_in
{
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    if (nameOf(descriptor, reinterpret_cast<sockaddr *>(&name), &size) != 0)
        return {};
    return name;
}

auto nameOf(const std::string &ip, int port) -> std::string
{
    return ip + ':' + std::to_string(port);
}

// Returns the name of the caller at the other end; empty if nobody is, or not at `port`.
auto callerAt(int descriptor, int port) -> std::string
{
    const auto peer = address(descriptor, getpeername);
    if (peer.sin_family != AF_INET || ntohs(address(descriptor, getsockname).sin_port) != port)
        return {};
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &peer.sin_addr, ip.data(), ip.size());
    return nameOf(ip.data(), ntohs(peer.sin_port));
}

// The system allocates the lowest free descriptor, so the highest one in use is only slightly above
// the number of threads.
constexpr int maxDescriptors = 8192;

} // namespace

auto callerName(const mg_request_info &info) -> std::string
{
    return nameOf(static_cast<const char *>(info.remote_addr), info.remote_port);
}

auto findCallerSocket(const mg_request_info &info) -> int
{
    const auto name = callerName(info);
    for (int descriptor = 0; descriptor < maxDescriptors; ++descriptor) {
        if (callerAt(descriptor, info.server_port) == name)
            return descriptor;
    }
    return -1;
}

auto callerSockets(std::uint16_t port) -> std::vector<std::pair<int, std::string>>
{
    std::vector<std::pair<int, std::string>> sockets;
    for (int descriptor = 0; descriptor < maxDescriptors; ++descriptor) {
        if (auto name = callerAt(descriptor, port); !name.empty())
            sockets.emplace_back(descriptor, std::move(name));
    }
    return sockets;
}

} // namespace applehatch::process
