// Clients that send large bodies to a router at once, most of them without their end.
#include "system/expect.h"

#include "gateway-processes/process-memory.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <list>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::system_test;
using experiment::Socket;
using namespace std::chrono_literals;

constexpr std::size_t bodyMemoryMb = 64;
/// What a router takes beside bodies.
constexpr std::size_t ownMemoryMb = 64;
constexpr std::size_t callerThreads = 64;
/// A router's own, and what the library holds beside its threads.
constexpr std::size_t ownDescriptors = 64;
constexpr std::size_t clients = 60;
constexpr std::size_t bodyBytes = 4000000;
/// The crowd has this long; whoever waits for the router then goes on waiting.
constexpr auto crowdTime = 5s;

/// A client that sends `text`, as far as it is taken, and stays.
struct Client
{
    Socket socket;
    std::string text;
    std::size_t sent = 0;
    bool isGone = false;

    auto sendSome() -> void
    {
        constexpr std::size_t most = 65536;
        const auto part = std::string_view(text).substr(sent, most);
        if (isGone || part.empty())
            return;
        const auto taken = socket.sendSome(part);
        isGone = !taken;
        sent += taken.value_or(0);
    }
};

auto head(const std::string &framing) -> std::string
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nApplehatch-Customer: "
           "ledgerworks/branch-east"
           "\r\nContent-Type: application/json\r\n"
        + framing + "\r\n\r\n";
}

/// One router with little room, and a crowd that sends the same text.
class CrowdedRouter
{
public:
    CrowdedRouter()
        : fleet_(options())
    { }

    auto play(const std::string &text) -> void
    {
        for (std::size_t number = 0; number < clients; ++number)
            crowd_.push_back({Socket::connect(fleet_.router().callers), text});
        const auto end = std::chrono::steady_clock::now() + crowdTime;
        while (std::chrono::steady_clock::now() < end) {
            for (auto &client : crowd_)
                client.sendSome();
            std::this_thread::sleep_for(1ms);
        }
        check("while the crowd stays");
        crowd_.clear();
        check("after the crowd has left");
    }

private:
    static auto options() -> experiment::FleetOptions
    {
        experiment::FleetOptions options;
        options.engines = 1;
        options.tokensPerSecond = 200;
        options.routerFlags = {"--caller_threads=" + std::to_string(callerThreads),
                               "--body_memory_mb=" + std::to_string(bodyMemoryMb)};
        return options;
    }

    auto check(const std::string &when) -> void
    {
        BOOST_REQUIRE_MESSAGE(fleet_.router().process->running(), "the process lives, " + when);
        BOOST_TEST(isServed(100), "an ordinary request, " + when);
        BOOST_TEST(isServed(bodyBytes), "a large request, " + when);
        const auto id = fleet_.router().process->id();
        const auto peak = testing::memoryOf(id, "VmHWM");
        const auto descriptors = testing::descriptorsOf(id);
        BOOST_TEST_MESSAGE(when << ": at most " << peak / testing::mebibyte << " MiB, "
                                << descriptors << " descriptors");
        if (testing::isFreedAtOnce)
            BOOST_TEST(peak < (bodyMemoryMb + ownMemoryMb) * testing::mebibyte, "memory, " + when);
        BOOST_TEST(descriptors < callerThreads + ownDescriptors, "descriptors, " + when);
    }
    auto isServed(std::size_t bytes) -> bool
    {
        const auto request = fleet_.chat(std::string(bytes, 'm'), 5);
        const auto answer = experiment::call(fleet_.router().callers, request);
        if (!isWholeAndOwn(request, answer))
            BOOST_TEST_MESSAGE("answer: " << answer.status << ' ' << answer.problem().dump());
        return isWholeAndOwn(request, answer);
    }

    Fleet fleet_;
    std::list<Client> crowd_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(bodies)

// Guards against a router that is killed for its memory, and one whose threads all wait for bodies
// that never end.
BOOST_AUTO_TEST_CASE(large_bodies_that_stop_short)
{
    CrowdedRouter().play(head("Content-Length: " + std::to_string(bodyBytes))
                         + std::string(bodyBytes - 1, 'b'));
}

// Guards against the same with bodies of unknown length.
BOOST_AUTO_TEST_CASE(chunked_bodies_that_stop_short)
{
    std::string chunks = "1e8480\r\n" + std::string(2000000, 'b') + "\r\n";
    CrowdedRouter().play(head("Transfer-Encoding: chunked") + chunks
                         + chunks.substr(0, chunks.size() - 3));
}

// Guards against bodies of which almost all is framing.
BOOST_AUTO_TEST_CASE(bodies_of_tiny_chunks_that_stop_short)
{
    std::string chunks;
    for (int number = 0; number < 100000; ++number)
        chunks += "1\r\nb\r\n";
    CrowdedRouter().play(head("Transfer-Encoding: chunked") + chunks + "1\r\n");
}

// Guards against trailers and extensions without an end.
BOOST_AUTO_TEST_CASE(framing_without_end)
{
    CrowdedRouter().play(head("Transfer-Encoding: chunked")
                         + "1\r\nb\r\n0\r\nX-More: " + std::string(bodyBytes, 'x'));
}

BOOST_AUTO_TEST_SUITE_END()
