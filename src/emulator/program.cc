#include "applehatch/emulator/program.h"

#include <cstdio>
#include <cstdlib>

namespace applehatch::emulator {

StopSignals::StopSignals()
{
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    // A caller that left must not end the process at the next write.
    (void)std::signal(SIGPIPE, SIG_IGN);
}

auto StopSignals::wait() const -> void
{
    int signal = 0;
    sigwait(&signals_, &signal);
}

auto addressFromFlag(const std::string &text) -> core::Address
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        std::fprintf(stderr, "an address is ip:port, not %s\n", text.c_str());
        std::exit(2);
    }
    const auto port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

auto announce(const core::Address &address) -> void
{
    std::printf("ready %s:%u\n", address.ip.c_str(), static_cast<unsigned>(address.port));
    std::fflush(stdout);
}

} // namespace applehatch::emulator
