/// What the stand-ins' programs share.
#pragma once

#include "applehatch/core/identity.h"

#include <csignal>
#include <string>

namespace applehatch::emulator {

/// Blocks SIGTERM and SIGINT for all later threads, so that one thread can wait for them.
class StopSignals
{
public:
    StopSignals();
    auto wait() const -> void;

private:
    sigset_t signals_{};
};

/// `ip:port`; ends the process when it is neither.
[[nodiscard]] auto addressFromFlag(const std::string &text) -> core::Address;

/// Prints `ready ip:port`, for whoever started the process.
auto announce(const core::Address &address) -> void;

} // namespace applehatch::emulator
