/// The platform's host list as last read by this process.
#pragma once

#include "applehatch/core/identity.h"

#include <string>
#include <vector>

namespace applehatch::core {

enum class HostState {
    Live,
    Leaving,
};

/// One entry of the platform's host list, which lags behind the real state.
struct Host
{
    std::string ip;
    HostState state = HostState::Live;

    auto operator==(const Host &) const -> bool = default;
};

/// One reading of the host list. An empty list means that the hosts are unknown, never that there
/// are none.
struct HostList
{
    std::uint64_t version = 0;
    std::vector<Host> hosts;
};

} // namespace applehatch::core
