#include "gateway-fixture.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

const auto servesAll = [](ScriptedConnection &connection, const std::string &request) {
    connection.send(plainAnswer(request, "served"));
};

/// Runs the loop one handler at a time until `condition` holds, so that no handler runs after that.
template <typename Condition>
auto runHandlersUntil(asio::io_context &loop, Condition condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_one_for(2ms);
    }
    return condition();
}

/// Three gateways that have the same gateway as their seed and run on one separate thread.
class RunningPeers
{
public:
    explicit RunningPeers(const core::Address &other)
    {
        for (int i = 0; i < 3; ++i)
            gateways_.push_back(std::make_unique<Gateway>(loop_, std::vector{other}));
        thread_ = std::jthread([this](const std::stop_token &stopped) {
            while (!stopped.stop_requested())
                loop_.run_for(10ms);
        });
    }

private:
    asio::io_context loop_{1};
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::jthread thread_;
};

auto knowsAllPeers(asio::io_context &loop, const Gateway &gateway) -> bool
{
    return scrape(loop, gateway).find("applehatch_peers 3") != std::string::npos;
}

/// One gateway more than the number of registry readers; all have the same configuration.
class ReadingFleet
{
public:
    explicit ReadingFleet(asio::io_context &loop)
        : loop_(loop)
    {
        constexpr auto size = direct::RegistryReaders::targetReaders + 1;
        reads.resize(size, true);
        for (std::size_t i = 0; i < size; ++i) {
            std::vector<core::Address> seeds;
            if (i > 0)
                seeds.push_back(gateways.front()->settings.peers);
            gateways.push_back(std::make_unique<Gateway>(loop, seeds));
            gateways[i]->host.onReaderRoleChanged([this, i](bool turn) { reads[i] = turn; });
            gateways[i]->applyRegistry(testConfiguration(1), {});
        }
    }

    /// Waits until a gateway stops reading, since three others read, and returns its index.
    auto waitForFollower() -> std::size_t
    {
        const auto first = [this] { return std::find(reads.begin(), reads.end(), false); };
        BOOST_REQUIRE(runUntil(loop_, [&] { return first() != reads.end(); }));
        return static_cast<std::size_t>(first() - reads.begin());
    }

    std::vector<bool> reads;
    std::vector<std::unique_ptr<Gateway>> gateways;

private:
    asio::io_context &loop_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_process)

// A router has just started and cannot reach its registry. Its callers must not be told that their
// route or key does not exist; they are told to retry shortly, not after several seconds.
BOOST_AUTO_TEST_CASE(nothing_is_denied_before_a_configuration_is_known)
{
    asio::io_context loop(1);
    Gateway gateway(loop);
    BOOST_TEST(readinessStatus(loop, gateway) == "503");
    auto caller = gateway.caller();
    caller.send(testing::requestText("/safe/a", "r1"));
    BOOST_TEST(caller.receives("HTTP/1.1 503"));
    BOOST_TEST(!headerOf(caller.received, "Retry-After").empty());
    gateway.applyRegistry(testConfiguration(), {});
    BOOST_TEST(readinessStatus(loop, gateway) == "200");
}

// A router restarts after a kill, and requests arrive some milliseconds before it has read its
// configuration. They are served then; the request of a caller that has disconnected is dropped.
BOOST_AUTO_TEST_CASE(callers_that_come_early_are_served_when_the_configuration_is_there)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", servesAll);
    Gateway gateway(loop);
    auto caller = gateway.caller();
    auto disconnected = gateway.caller();
    caller.send(testing::requestText("/safe/a", "r1"));
    disconnected.send(testing::requestText("/safe/b", "r2"));
    runFor(loop, 50ms);
    disconnected.disconnect();
    runFor(loop, 50ms);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    BOOST_TEST(caller.receives("served"));
    BOOST_TEST(upstream.requests().size() == 1);
}

// Unknown routes and keys are denied, also on a connection that was open when the key was revoked.
// An older configuration that arrives late changes nothing.
BOOST_AUTO_TEST_CASE(a_revoked_key_is_refused_at_once_and_for_good)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", servesAll);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(2), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/safe/a", "r1"));
    BOOST_TEST(caller.receives("served"));
    gateway.applyRegistry(testConfiguration(3, "key-2"), {upstream.entry("pool")});
    caller.send(testing::requestText("/safe/a", "r2"));
    BOOST_TEST(caller.receives("HTTP/1.1 401"));
    gateway.applyRegistry(testConfiguration(2), {upstream.entry("pool")});
    caller.received.clear();
    caller.send(testing::requestText("/safe/a", "r3"));
    BOOST_TEST(caller.receives("HTTP/1.1 401"));
    caller.received.clear();
    caller.send(testing::requestText("/none/a", "r4"));
    BOOST_TEST(caller.receives("HTTP/1.1 404"));
    BOOST_TEST(upstream.requests().size() == 1);
}

// Requests that two HTTP parsers could interpret differently are refused, and no request that is
// hidden in them reaches an upstream.
BOOST_AUTO_TEST_CASE(an_ambiguous_request_is_refused)
{
    const std::string hidden = "POST /safe/hidden HTTP/1.1\r\nHost: api.example\r\n\r\n";
    const std::vector<std::string> requests{
        "POST /safe/a HTTP/1.1\r\nHost: api.example\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + hidden,
        "POST /safe/a HTTP/1.1\r\nHost: api.example\r\nContent-Length: 0\r\nContent-Length: "
        "60\r\n\r\n"
            + hidden,
        "POST /safe/a HTTP/1.1\r\nHost: api.example\r\nTransfer-Encoding: xchunked\r\n\r\n"
            + hidden,
        "POST /safe/a HTTP/1.1\r\nHost: api.example\r\nHost: other.example\r\n\r\n",
        "POST http://api.example/safe/a HTTP/1.1\r\nHost: api.example\r\n\r\n",
    };
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", servesAll);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    for (const auto &request : requests) {
        auto caller = gateway.caller();
        caller.send(request);
        BOOST_TEST(caller.receives("HTTP/1.1 400"), request);
        BOOST_TEST(caller.seesClose(), request);
    }
    BOOST_TEST(upstream.requests().empty());
}

// Requests that exceed one of the operator's limits are refused with the status for that limit.
BOOST_AUTO_TEST_CASE(limits_of_the_configuration_are_enforced)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", servesAll);
    Gateway gateway(loop);
    auto configuration = testConfiguration();
    configuration->limits.headerBytes = 1000;
    configuration->limits.bodyBytes = 100;
    configuration->limits.headerTimeout = 200ms;
    gateway.applyRegistry(configuration, {upstream.entry("pool")});
    auto large = gateway.caller();
    large.send(testing::requestText("/safe/a", "r1", "X-Fill: " + std::string(2000, 'x') + "\r\n"));
    BOOST_TEST(large.receives("HTTP/1.1 431"));
    auto body = gateway.caller();
    body.send(testing::requestText("/safe/a", "r2", {}, std::string(200, 'x')));
    BOOST_TEST(body.receives("HTTP/1.1 413"));
    auto slow = gateway.caller();
    slow.send("POST /safe/a HTTP/1.1\r\nHost:");
    BOOST_TEST(slow.receives("HTTP/1.1 408"));
    BOOST_TEST(upstream.requests().empty());
}

// Connecting to an upstream takes a second on a congested link. Meanwhile the upstream starts to
// drain and would cut the request when it exits. Nothing was sent yet, so another upstream gets it.
BOOST_AUTO_TEST_CASE(an_upstream_that_left_while_connecting_gets_nothing)
{
    asio::io_context loop(1);
    ScriptedUpstream draining(loop, "leaver", servesAll);
    ScriptedUpstream other(loop, "other", servesAll);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {draining.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/once/a", "r1"));
    BOOST_REQUIRE(runHandlersUntil(loop, [&] { return gateway.host.pool().opened() == 1; }));
    auto drainingEntry = draining.entry("pool");
    drainingEntry.state = direct::UpstreamState::Leaving;
    gateway.applyRegistry(testConfiguration(2), {drainingEntry, other.entry("pool")});
    BOOST_TEST(caller.receives("served"));
    BOOST_TEST(draining.requests().empty());
    BOOST_TEST(other.requests().size() == 1);
}

// The registry refuses one router and serves the other. The first router gets configuration and
// upstreams from its peer, found through a seed, and refuses a revoked key like all others.
BOOST_AUTO_TEST_CASE(a_router_without_the_registry_learns_from_its_peer)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", servesAll);
    Gateway informed(loop);
    Gateway cutOff(loop, {informed.settings.peers});
    cutOff.host.registryLost("turned away");
    cutOff.registry.configuration = testConfiguration(7);
    cutOff.registry.upstreams = {upstream.entry("pool")};
    BOOST_TEST(!cutOff.host.isReady());
    informed.applyRegistry(testConfiguration(7), {upstream.entry("pool")});
    BOOST_TEST(runUntil(loop, [&] { return cutOff.host.isReady(); }));
    auto caller = cutOff.caller();
    caller.send(testing::requestText("/safe/a", "r1"));
    BOOST_TEST(caller.receives("served"));
}

// Three routers read the registry for all. The other router must learn of a change from them at
// once; otherwise it would still refuse a customer's new key seconds after the operator was told
// that the key is valid.
BOOST_AUTO_TEST_CASE(a_router_that_does_not_read_learns_of_each_change)
{
    asio::io_context loop(1);
    ReadingFleet fleet(loop);
    const auto follower = fleet.waitForFollower();
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
        fleet.gateways[i]->registry.configuration = testConfiguration(2);
        if (i != follower)
            fleet.gateways[i]->applyRegistry(testConfiguration(2), {});
    }
    BOOST_TEST(runUntil(loop, [&] {
        return fleet.gateways[follower]->host.dispatcher().configuration()->version == 2;
    }));
    BOOST_TEST(std::count(fleet.reads.begin(), fleet.reads.end(), true) == 3);
}

// The registry refuses the routers that read it and would serve the other. That router notices that
// no router reads and reads the registry itself; otherwise the fleet would miss every change until
// the fault is over.
BOOST_AUTO_TEST_CASE(a_router_reads_when_the_readers_are_turned_away)
{
    asio::io_context loop(1);
    ReadingFleet fleet(loop);
    const auto follower = fleet.waitForFollower();
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
        if (i != follower)
            fleet.gateways[i]->host.registryLost("turned away");
    }
    BOOST_TEST(runUntil(loop, [&] { return fleet.reads[follower] == true; }));
}

// Guards against a router that never stops reading because reading stalls it: hundreds of routers
// that start together would then all continue to read, and none would serve.
BOOST_AUTO_TEST_CASE(a_router_that_is_always_held_up_still_stops_reading)
{
    asio::io_context loop(1);
    asio::steady_timer work(loop);
    std::function<void()> stallLoop = [&] {
        std::this_thread::sleep_for(300ms);
        work.expires_after(1ms);
        work.async_wait([&](boost::system::error_code) { stallLoop(); });
    };
    asio::post(loop, [&] { stallLoop(); });
    ReadingFleet fleet(loop);
    fleet.waitForFollower();
}

// Guards against a router that considers its peers dead because it was stalled itself.
BOOST_AUTO_TEST_CASE(a_router_that_was_held_up_loses_no_peer)
{
    asio::io_context loop(1);
    Gateway stalled(loop);
    const RunningPeers peers(stalled.settings.peers);
    BOOST_REQUIRE(runUntil(loop, [&] { return knowsAllPeers(loop, stalled); }));
    for (int times = 0; times < 3; ++times) {
        std::this_thread::sleep_for(2 * PeerTable::aliveTimeout);
        runFor(loop, 300ms);
    }
    const auto metrics = scrape(loop, stalled);
    BOOST_TEST(metrics.find("event=\"held-up\"") != std::string::npos);
    BOOST_TEST(metrics.find("event=\"peer-lost\"") == std::string::npos);
}

// Guards against a router that is starved of processor time, so that all its timers run late, and
// mistakes that for silence of its peers.
BOOST_AUTO_TEST_CASE(a_starved_router_loses_no_peer)
{
    asio::io_context loop(1);
    Gateway starved(loop);
    const RunningPeers peers(starved.settings.peers);
    BOOST_REQUIRE(runUntil(loop, [&] { return knowsAllPeers(loop, starved); }));
    for (int turn = 0; turn < 10; ++turn) {
        std::this_thread::sleep_for(800ms);
        loop.restart();
        loop.poll_one();
        loop.poll_one();
    }
    BOOST_TEST(scrape(loop, starved).find("event=\"peer-lost\"") == std::string::npos);
}

// A router advertised a new revision, was killed, and answers again without any state while its
// peers still trust the old advertisement. Asking it again at once would keep both busy until the
// advertisement expires, at the moment when all routers restart.
BOOST_AUTO_TEST_CASE(a_peer_with_nothing_new_is_not_asked_again_at_once)
{
    asio::io_context loop(1);
    ScriptedUpstream peer(loop, "peer", [](ScriptedConnection &connection, const std::string &) {
        const auto nothing = encodeDelta({});
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(nothing.size())
                        + "\r\n\r\n" + nothing);
    });
    Gateway gateway(loop);
    PeerDigest digest;
    digest.sender = peer.entry("").address;
    digest.incarnation = 1;
    digest.sequence = 1;
    digest.revision = 1000;
    asio::ip::udp::socket socket(loop, asio::ip::udp::v4());
    const auto &to = gateway.settings.peers;
    socket.send_to(asio::buffer(encodeDigest(digest)), {asio::ip::make_address(to.ip), to.port});
    BOOST_REQUIRE(runUntil(loop, [&] { return !peer.requests().empty(); }));
    runFor(loop, 500ms);
    BOOST_TEST(peer.requests().size() > 1U, "the peer is asked again");
    BOOST_TEST(peer.requests().size() < 10U,
               "the peer is asked at each check for newer revisions, ten a second");
}

// A router stalls for a moment because of a large configuration or a slow host. A request arrives
// just before the idle timeout of its connection, and both events are handled together. The request
// must be answered; otherwise its caller would see the connection close without an answer.
BOOST_AUTO_TEST_CASE(a_request_that_comes_with_the_idle_limit_is_answered)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", servesAll);
    Gateway gateway(loop);
    auto configuration = testConfiguration();
    configuration->limits.idleTimeout = 100ms; // Closed 2 s after it.
    gateway.applyRegistry(configuration, {upstream.entry("pool")});
    auto fresh = gateway.caller();
    auto kept = gateway.caller();
    kept.send(testing::requestText("/safe/a", "r1"));
    BOOST_TEST(kept.receives("served"));
    kept.received.clear();
    runFor(loop, 1900ms);
    fresh.send(testing::requestText("/safe/a", "r2"));
    kept.send(testing::requestText("/safe/a", "r3"));
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(fresh.receives("served"));
    BOOST_TEST(kept.receives("served"));
}

// The metrics that an operator scrapes include the request that was just answered.
BOOST_AUTO_TEST_CASE(metrics_count_requests)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", servesAll);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    auto caller = gateway.caller();
    caller.send(testing::requestText("/safe/a", "r1"));
    BOOST_TEST(caller.receives("served"));
    Caller scraper(loop, gateway.settings.metrics);
    scraper.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(
        scraper.receives("applehatch_requests_total{outcome=\"answered\",status=\"200\"} 1"));
    BOOST_TEST(scraper.receives("applehatch_request_first_byte_seconds_bucket"));
    BOOST_TEST(scraper.receives("applehatch_loop_delay_seconds_bucket"));
}

BOOST_AUTO_TEST_SUITE_END()
