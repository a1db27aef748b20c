#include "socket-address.h"

#include <arpa/inet.h>

namespace applehatch::wire {

auto socketAddress(const core::Address &from) -> std::optional<sockaddr_in>
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(from.port);
    if (inet_pton(AF_INET, from.ip.c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

} // namespace applehatch::wire
