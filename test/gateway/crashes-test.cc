#include "gateway-fixture.h"

#include "applehatch/telemetry/clock.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr auto upstreamCount = 8;
constexpr auto crashLimit = direct::CrashSuspects::crashLimit;

/// How much of its answer a crashing upstream sends.
enum class CrashPoint { BeforeHead, AfterHead, AfterEvent };

/// Upstreams that crash when they run a request whose body is `crash`, and serve all others.
class CrashingUpstreams
{
public:
    explicit CrashingUpstreams(CrashPoint point)
        : point_(point)
        , gateway(loop)
    {
        direct::UpstreamList entries;
        for (int i = 0; i < upstreamCount; ++i) {
            auto &upstream = upstreams_.emplace_back(
                loop, "upstream-" + std::to_string(i),
                [this, i](auto &connection, const auto &text) { answer(connection, text, i); });
            entries.push_back(upstream.entry("pool"));
        }
        auto configuration = testConfiguration();
        configuration->add({"acme", std::nullopt}, {"key-2"});
        gateway.applyRegistry(configuration, entries);
        rememberEverything();
    }

    /// Sends one request with a key of the customer's and waits for the end of its answer.
    auto ask(const std::string &body, const std::string &key = "key-1") -> std::string
    {
        auto caller = gateway.caller();
        auto text = testing::requestText("/stream/a", "r" + std::to_string(++asked_),
                                         "Connection: close\r\n", body);
        text.replace(text.find("key-1"), key.size(), key);
        caller.send(text);
        BOOST_TEST(caller.seesClose());
        return caller.received;
    }

    asio::io_context loop{1};
    std::uint32_t crashes = 0;

private:
    /// A gateway that has just started is more careful than one that forgot nothing.
    auto rememberEverything() -> void
    {
        gateway.host.dispatcher().suspects().adopt({direct::CrashSuspects::lifetime, {}},
                                                   telemetry::steadyNow());
    }

    auto answer(ScriptedConnection &connection, const std::string &request, int upstream) -> void
    {
        if (!request.ends_with("crash"))
            return connection.send(streamHead(request) + eventChunk(1) + std::string(lastChunk));
        ++crashes;
        std::next(upstreams_.begin(), upstream)->closeListener();
        if (point_ == CrashPoint::BeforeHead)
            return connection.reset();
        connection.sendThenReset(streamHead(request)
                                 + (point_ == CrashPoint::AfterEvent ? eventChunk(1) : ""));
    }

    CrashPoint point_;
    std::list<ScriptedUpstream> upstreams_;
    int asked_ = 0;

public:
    Gateway gateway;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_crashes)

// Guards against sending on a request that ends one upstream after another once their answers have
// begun.
BOOST_AUTO_TEST_CASE(a_request_under_which_upstreams_end_is_refused_after_the_third)
{
    for (const auto point :
         {CrashPoint::BeforeHead, CrashPoint::AfterHead, CrashPoint::AfterEvent}) {
        CrashingUpstreams world(point);
        for (int i = 0; i < upstreamCount; ++i)
            world.ask("crash");
        BOOST_TEST(world.crashes == crashLimit);
        BOOST_TEST(world.ask("crash").starts_with("HTTP/1.1 503"));
        BOOST_TEST(world.ask("hello").starts_with("HTTP/1.1 200"));
    }
}

// Guards against losing sight of a crashing request when its caller uses another key.
BOOST_AUTO_TEST_CASE(a_request_stays_the_same_under_another_key_of_its_customer)
{
    CrashingUpstreams world(CrashPoint::AfterHead);
    for (int i = 0; i < upstreamCount; ++i)
        world.ask("crash", i % 2 == 0 ? "key-1" : "key-2");
    BOOST_TEST(world.crashes == crashLimit);
}

BOOST_AUTO_TEST_SUITE_END()
