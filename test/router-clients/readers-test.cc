// Clients that ask a router for large answers and do not read them.
#include "system/expect.h"

#include "gateway-processes/process-memory.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <string>
#include <thread>

namespace {

using namespace applehatch;
using namespace applehatch::system_test;
using experiment::Socket;
using namespace std::chrono_literals;

constexpr std::size_t bodyMemoryMb = 64;
constexpr std::size_t answerMemoryMb = 64;
/// What a router takes beside messages.
constexpr std::size_t ownMemoryMb = 64;
constexpr std::size_t callerThreads = 64;
constexpr std::size_t ownDescriptors = 64;
/// Fewer than there are threads, and more.
constexpr std::size_t clients = 60;
constexpr std::size_t manyClients = 200;
constexpr std::size_t answerBytes = 4000000;
/// The crowd has this long; whoever waits for the router then goes on waiting.
constexpr auto crowdTime = 5s;

auto requestText(const experiment::CallerRequest &request) -> std::string
{
    auto text = "POST " + request.path + " HTTP/1.1\r\nHost: x\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
        + request.body;
}

/// One router with little room before services whose answers are large.
class UnreadRouter
{
public:
    UnreadRouter()
        : fleet_(options())
    { }

    /// Each client asks anew once its connection has ended, and reads nothing.
    auto play(std::size_t count) -> void
    {
        crowd_.resize(count);
        const auto end = std::chrono::steady_clock::now() + crowdTime;
        while (std::chrono::steady_clock::now() < end) {
            for (auto &client : crowd_)
                askOnce(client);
            std::this_thread::sleep_for(10ms);
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
        options.services = 2;
        options.slots = manyClients;
        options.serviceFlags = {"--answer_pad=" + std::to_string(answerBytes)};
        options.routerFlags = {"--caller_threads=" + std::to_string(callerThreads),
                               "--body_memory_mb=" + std::to_string(bodyMemoryMb),
                               "--answer_memory_mb=" + std::to_string(answerMemoryMb)};
        return options;
    }

    auto askOnce(Socket &client) -> void
    {
        if (client.valid())
            return;
        client = Socket::connect(fleet_.router().callers);
        if (!client.valid())
            return;
        client.shrinkReceiveBuffer();
        (void)client.sendSome(requestText(fleet_.job(std::to_string(++asked_))));
    }

    auto check(const std::string &when) -> void
    {
        BOOST_REQUIRE_MESSAGE(fleet_.router().process->running(), "the process lives, " + when);
        const auto request = fleet_.chat(when, 5);
        BOOST_TEST(isWholeAndOwn(request, experiment::call(fleet_.router().callers, request)),
                   "an ordinary request, " + when);
        const auto large = experiment::call(fleet_.router().callers, fleet_.job(when));
        BOOST_TEST((large.status == 200 && large.framed), "a large answer, " + when);
        const auto id = fleet_.router().process->id();
        const auto peak = testing::memoryOf(id, "VmHWM");
        const auto descriptors = testing::descriptorsOf(id);
        BOOST_TEST_MESSAGE(when << ": at most " << peak / testing::mebibyte << " MiB, "
                                << descriptors << " descriptors, asked " << asked_);
        constexpr auto bound = (bodyMemoryMb + answerMemoryMb + ownMemoryMb) * testing::mebibyte;
        if (testing::isFreedAtOnce)
            BOOST_TEST(peak < bound, "memory, " + when);
        BOOST_TEST(descriptors < callerThreads + ownDescriptors, "descriptors, " + when);
    }

    Fleet fleet_;
    std::list<Socket> crowd_;
    std::size_t asked_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(readers)

// Guards against a router that is killed for the memory of answers that nobody takes.
BOOST_AUTO_TEST_CASE(large_answers_that_are_not_read)
{
    UnreadRouter router;
    router.play(clients);
}

// Guards against the same by clients that also hold all threads of a router.
BOOST_AUTO_TEST_CASE(more_unread_answers_than_threads)
{
    UnreadRouter router;
    router.play(manyClients);
}

BOOST_AUTO_TEST_SUITE_END()
