// Requests with a part in their prompts that crashes the engines, no two of them alike.
#include "gateway/gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr std::string_view crashingPart = "crashing";
constexpr std::size_t engineCount = 12;
constexpr std::size_t gatewayCount = 3;
/// Engines that one part may end before requests with it are refused.
constexpr std::size_t maxCrashes = 5;
/// Digests reach all routers of a small fleet within this time.
constexpr auto propagationTime = 600ms;

/// Engines that crash soon after they begin an answer to a request with the crashing part.
class FragileEngines
{
public:
    explicit FragileEngines(asio::io_context &loop)
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines_.emplace_back(loop, "engine-" + std::to_string(i),
                                  [this, i](auto &connection, const std::string &request) {
                                      answer(connection, request, i);
                                  });
        }
    }

    [[nodiscard]] auto entries() const -> direct::UpstreamList
    {
        direct::UpstreamList entries;
        for (const auto &engine : engines_)
            entries.push_back(engine.entry("pool"));
        return entries;
    }

    std::size_t crashes = 0;

private:
    auto answer(ScriptedConnection &connection, const std::string &request, std::size_t engine)
        -> void
    {
        const auto prompt = headerOf(request, "Prompt-Parts");
        if (prompt.find(crashingPart) == std::string::npos)
            return connection.send(streamHead(request) + eventChunk(1) + std::string(lastChunk));
        ++crashes;
        std::next(engines_.begin(), static_cast<std::ptrdiff_t>(engine))->closeListener();
        connection.sendThenReset(streamHead(request));
    }

    std::list<ScriptedUpstream> engines_;
};

/// Gateways that know one another, before one pool of engines.
class SmallFleet
{
public:
    SmallFleet()
        : engines(loop)
        , entries_(engines.entries())
    {
        std::vector<core::Address> seeds;
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            gateways_.emplace_back(loop, seeds);
            gateways_.back().applyRegistry(testConfiguration(), entries_);
            seeds.push_back(gateways_.back().settings.peers);
        }
        BOOST_TEST(runUntil(loop, [this] { return allKnowEachOther(); }));
    }

    /// Starts one more gateway, which all requests go to from now on.
    auto startAnother() -> void
    {
        gateways_.emplace_back(loop, std::vector{gateways_.front().settings.peers});
        gateways_.back().applyRegistry(testConfiguration(), entries_);
        asksNewestOnly_ = true;
    }

    /// Sends a request with `prompt` to the next gateway, unlike all before; returns its answer.
    auto ask(const std::string &prompt) -> std::string
    {
        ++asked_;
        const auto number = std::to_string(asked_);
        auto caller = (asksNewestOnly_ ? gateways_.back() : gateway(asked_)).caller();
        caller.send(testing::requestText("/stream/a", "r" + number,
                                         "Connection: close\r\nPrompt-Parts: " + prompt + "\r\n",
                                         "body " + number));
        BOOST_TEST(caller.seesClose());
        return caller.received;
    }

    auto rest(std::chrono::milliseconds time) -> void { runFor(loop, time); }

    asio::io_context loop{1};
    FragileEngines engines;

private:
    auto gateway(std::size_t number) -> Gateway &
    {
        return *std::next(gateways_.begin(), static_cast<std::ptrdiff_t>(number % gatewayCount));
    }

    auto allKnowEachOther() -> bool
    {
        const auto peers = "applehatch_peers " + std::to_string(gatewayCount - 1);
        return std::all_of(gateways_.begin(), gateways_.end(), [&](const auto &each) {
            return scrape(loop, each).find(peers) != std::string::npos;
        });
    }

    direct::UpstreamList entries_;
    std::list<Gateway> gateways_;
    std::size_t asked_ = 0;
    bool asksNewestOnly_ = false;
};

auto isServed(const std::string &answer) -> bool
{
    return answer.starts_with("HTTP/1.1 200") && answer.ends_with(lastChunk);
}

auto isRefused(const std::string &answer) -> bool
{
    return answer.starts_with("HTTP/1.1 503") && !headerOf(answer, "Retry-After").empty();
}

/// A prompt with the crashing part, between one that many prompts share and one of its own.
auto crashingPrompt(std::size_t number) -> std::string
{
    return "common," + std::string(crashingPart) + ",own-" + std::to_string(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_crashing_parts)

// Guards against requests that end one engine after another because no two of them are alike.
BOOST_AUTO_TEST_CASE(requests_that_share_a_crashing_part_are_refused_though_no_two_are_alike)
{
    SmallFleet fleet;
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.ask(crashingPrompt(i));
        BOOST_TEST(isServed(fleet.ask("common,sound-" + std::to_string(i))));
        fleet.rest(50ms);
    }
    fleet.rest(propagationTime);
    BOOST_TEST(fleet.engines.crashes <= maxCrashes);
    for (std::size_t i = 0; i < gatewayCount; ++i)
        BOOST_TEST(isRefused(fleet.ask(crashingPrompt(engineCount + i))));
}

// Guards against engines that end anew through each gateway that starts.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_refuses_a_part_that_its_peers_convicted)
{
    SmallFleet fleet;
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.ask(crashingPrompt(i));
        fleet.ask("common,sound-" + std::to_string(i));
    }
    fleet.rest(propagationTime);
    const auto crashes = fleet.engines.crashes;
    fleet.startAnother();
    fleet.rest(propagationTime);
    BOOST_TEST(isRefused(fleet.ask(crashingPrompt(engineCount))));
    BOOST_TEST(isServed(fleet.ask("common,sound")));
    BOOST_TEST(fleet.engines.crashes == crashes);
}

BOOST_AUTO_TEST_SUITE_END()
