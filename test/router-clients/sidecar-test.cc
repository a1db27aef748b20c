// Clients at the addresses at which a sidecar's routers come.
#include "system/expect.h"

#include "gateway-processes/process-memory.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <list>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::system_test;
using experiment::Socket;
using namespace std::chrono_literals;

constexpr std::size_t clients = 60;
/// What a sidecar may take, and how many descriptors beside those of the crowd.
constexpr std::size_t memoryMb = 192;
constexpr std::size_t ownDescriptors = 64;
constexpr std::size_t frameBytes = 8000000; // A message may have 16 MiB.
constexpr auto crowdTime = 5s;

/// One sidecar and a crowd at the address of its links, each of which sends the same text.
auto playAtLinks(const std::string &text) -> void
{
    experiment::FleetOptions options;
    options.engines = 1;
    options.tokensPerSecond = 200;
    Fleet fleet(options);
    auto &sidecar = *fleet.members().front().sidecar;
    struct Client
    {
        Socket socket;
        std::size_t sent = 0;
    };
    std::list<Client> crowd;
    for (std::size_t number = 0; number < clients; ++number)
        crowd.push_back({Socket::connect(fleet.members().front().links), 0});
    const auto end = std::chrono::steady_clock::now() + crowdTime;
    while (std::chrono::steady_clock::now() < end) {
        for (auto &client : crowd) {
            constexpr std::size_t most = 65536;
            const auto part = std::string_view(text).substr(client.sent, most);
            client.sent += part.empty() ? 0 : client.socket.sendSome(part).value_or(part.size());
        }
        std::this_thread::sleep_for(1ms);
    }
    const auto check = [&](const std::string &when) {
        BOOST_REQUIRE_MESSAGE(sidecar.running(), "the process lives, " + when);
        const auto request = fleet.chat(when, 5);
        const auto answer = experiment::call(fleet.router().callers, request);
        BOOST_TEST(isWholeAndOwn(request, answer), when << ": " << answer.status);
        const auto peak = testing::memoryOf(sidecar.id(), "VmHWM");
        const auto descriptors = testing::descriptorsOf(sidecar.id());
        BOOST_TEST_MESSAGE(when << ": at most " << peak / testing::mebibyte << " MiB, "
                                << descriptors << " descriptors");
        if (testing::isFreedAtOnce)
            BOOST_TEST(peak < memoryMb * testing::mebibyte, "memory, " + when);
        BOOST_TEST(descriptors < clients + ownDescriptors, "descriptors, " + when);
    };
    check("while the crowd stays");
    crowd.clear();
    check("after the crowd has left");
}

/// A frame of one segment, announced whole, without its last byte.
auto unfinishedFrame() -> std::string
{
    const auto words = static_cast<std::uint32_t>(frameBytes / 8);
    std::string frame(4, '\0');
    for (int shift = 0; shift < 32; shift += 8)
        frame += static_cast<char>((words >> shift) & 0xffU);
    return frame + std::string(frameBytes - 1, '\0');
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar)

// Guards against connections that say nothing.
BOOST_AUTO_TEST_CASE(links_that_say_nothing)
{
    playAtLinks("");
}

// Guards against messages that do not end and take a sidecar over its memory.
BOOST_AUTO_TEST_CASE(messages_that_stop_short)
{
    playAtLinks(unfinishedFrame());
}

// Guards against bytes that are no message, without end.
BOOST_AUTO_TEST_CASE(bytes_that_are_no_message)
{
    playAtLinks(std::string(frameBytes, 'x'));
}

BOOST_AUTO_TEST_SUITE_END()
