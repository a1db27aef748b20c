/// The stand-in platform as a program, for tests with real processes.
#include "applehatch/emulator/platform.h"

#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <exception>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP number to listen at");
DEFINE_int32(port, 0, "port to listen at; 0 takes a free one");
DEFINE_string(directory, "", "directory of <team>.jsonc files to publish");

namespace {

volatile std::sig_atomic_t stopRequested = 0;

} // namespace

auto main(int argc, char **argv) -> int
{
    using applehatch::emulator::Platform;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGTERM, [](int) { stopRequested = 1; });
    std::signal(SIGINT, [](int) { stopRequested = 1; });
    try {
        Platform platform({FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)});
        platform.loadDirectory(FLAGS_directory);
        std::printf("event=listening address=%s:%u\n", platform.address().ip.c_str(),
                    platform.address().port);
        std::fflush(stdout);
        while (stopRequested == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "event=failed reason=\"%s\"\n", error.what());
        return 1;
    }
    return 0;
}
