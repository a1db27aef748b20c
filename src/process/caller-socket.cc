#include "caller-socket.h"

#include <arpa/inet.h>
#include <array>
#include <civetweb.h>
#include <netinet/in.h>
#include <string_view>
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

auto isCaller(int descriptor, const mg_request_info &info) -> bool
{
    const auto peer = address(descriptor, getpeername);
    if (peer.sin_family != AF_INET || ntohs(peer.sin_port) != info.remote_port)
        return false;
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &peer.sin_addr, ip.data(), ip.size());
    return std::string_view(ip.data()) == static_cast<const char *>(info.remote_addr)
        && ntohs(address(descriptor, getsockname).sin_port) == info.server_port;
}

} // namespace

auto findCallerSocket(const mg_request_info &info) -> int
{
    // The system allocates the lowest free descriptor, so the highest one in use is only slightly
    // above the number of threads.
    constexpr int maxDescriptors = 8192;
    for (int descriptor = 0; descriptor < maxDescriptors; ++descriptor) {
        if (isCaller(descriptor, info))
            return descriptor;
    }
    return -1;
}

} // namespace applehatch::process
