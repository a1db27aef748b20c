/// The platform's list of hosts as this process last read it.
#pragma once

#include "applehatch/core/identity.h"

#include <string>
#include <vector>

namespace applehatch::core {

enum class HostState {
    Live,
    Leaving,
};

/// One line of the platform's lagging list.
struct Host
{
    std::string ip;
    HostState state = HostState::Live;

    auto operator==(const Host &) const -> bool = default;
};

/// A reading of the list; an empty one is treated as unknown, never as "no hosts".
struct HostList
{
    std::uint64_t version = 0;
    std::vector<Host> hosts;
};

} // namespace applehatch::core
