// What the platform publishes, read by the real clients: each read of the host list and the tree.
#include "applehatch/clients/http.h"
#include "applehatch/clients/settings-client.h"
#include "applehatch/emulator/platform.h"
#include "applehatch/experiment/caller.h"
#include "slopes.h"

#include <ctime>

namespace applehatch::bench {

namespace {

using namespace std::chrono_literals;

// Routers, sidecars.
constexpr double hostsAtFull = 390 + 730;
constexpr int reads = 20;
constexpr std::size_t textBytes = 840; ///< 353 KB in 420 teams.

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

/// Bytes of one recursive read of the tree, its head and its body; `held` is the version the reader
/// names as known.
auto treeBytes(std::size_t teams, const std::string &held) -> double
{
    emulator::Platform platform;
    for (std::size_t i = 0; i < teams; ++i)
        platform.putTeam("team-" + std::to_string(i), std::string(textBytes, ' '));
    clients::HttpRequest request;
    request.server = platform.address();
    request.path = "/v1/kv/teams/?recurse=true";
    if (!held.empty())
        request.headers.emplace_back("If-None-Match", held);
    clients::HttpResponse response;
    (void)clients::exchange(request, response);
    auto bytes = response.body.size();
    for (const auto &[name, value] : response.headers)
        bytes += name.size() + value.size() + 4;
    return static_cast<double>(bytes);
}

/// Of the reading thread alone: the server runs in this process too.
auto listCost(std::size_t hosts) -> double
{
    emulator::Platform platform;
    publish(platform, hosts);
    const clients::HostListClient client(platform.address());
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
    const std::vector<std::size_t> teams{10, 100, 420};
    measureSlope({"settings.tree", "teams", "bytes_per_read", 420}, teams,
                 [](std::size_t size) { return treeBytes(size, ""); });
    measureSlope(
        {"settings.tree.unchanged", "teams", "bytes_per_read", 420}, teams,
        [](std::size_t size) { return treeBytes(size, '"' + std::to_string(size + 1) + '"'); });
}

} // namespace applehatch::bench
