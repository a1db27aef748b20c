// What the platform publishes, read by the real clients: each read of the host list and the tree.
#include "applehatch/emulator/platform.h"
#include "applehatch/experiment/caller.h"
#include "applehatch/platform/settings-client.h"
#include "slopes.h"

#include <ctime>

namespace applehatch::bench {

namespace {

using namespace std::chrono_literals;

// Routers, sidecars.
constexpr double hostsAtFull = 390 + 730;
constexpr int reads = 20;

auto publish(emulator::Platform &platform, std::size_t hosts) -> void
{
    for (std::size_t i = 0; i < hosts; ++i)
        platform.setHost("10.1." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1),
                         core::HostState::Live);
}

auto threadTime() -> std::chrono::duration<double, std::micro>
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

auto listBytes(std::size_t hosts) -> double
{
    emulator::Platform platform;
    publish(platform, hosts);
    return static_cast<double>(experiment::get(platform.address(), "/v1/hosts").body.size());
}

/// Of the reading thread alone: the server runs in this process too.
auto listCost(std::size_t hosts) -> double
{
    emulator::Platform platform;
    publish(platform, hosts);
    const platform::HostListClient client(platform.address());
    core::HostList list;
    const auto begin = threadTime();
    for (int i = 0; i < reads; ++i)
        (void)client.read(1s, list);
    return (threadTime() - begin).count() / reads;
}

} // namespace

auto measurePlatform() -> void
{
    const std::vector<std::size_t> hosts{20, 100, 500, 1120};
    measureSlope({"hosts.list", "hosts", "bytes_per_read", hostsAtFull}, hosts, listBytes);
    measureSlope({"hosts.read.cpu", "hosts", "us_per_read", hostsAtFull}, hosts, listCost);
}

} // namespace applehatch::bench
