/// Addresses by IP number for the socket calls.
#pragma once

#include "applehatch/core/identity.h"

#include <netinet/in.h>
#include <optional>

namespace applehatch::wire {

/// None when the IP number cannot be read; names are never looked up.
[[nodiscard]] auto socketAddress(const core::Address &from) -> std::optional<sockaddr_in>;

} // namespace applehatch::wire
