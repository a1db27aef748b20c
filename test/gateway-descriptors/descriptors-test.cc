// A process that is out of descriptors for a while.
#include "gateway/gateway-fixture.h"

#include "applehatch/gateway/peer-fetch.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// Lets no descriptor be opened as long as it lives.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit none{0, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
    NoDescriptors(const NoDescriptors &) = delete;
    auto operator=(const NoDescriptors &) -> NoDescriptors & = delete;

private:
    rlimit before_{};
};

auto versionAt(Gateway &gateway) -> std::uint64_t
{
    const auto &configuration = gateway.host.dispatcher().configuration();
    return configuration ? configuration->version : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_descriptors)

// Guards against a call that reports its failure before it returns: what it returns would then be
// taken for a fetch that still runs.
BOOST_AUTO_TEST_CASE(a_fetch_that_fails_at_once_is_reported_after_its_start)
{
    asio::io_context loop(1);
    const asio::steady_timer timer(loop); // Makes the loop open its own descriptors.
    UpstreamPool pool(loop);
    int failed = 0;
    const auto start = [&] {
        return PeerFetch::start(loop, pool, ownAddress(), "/", 1s,
                                [&](const auto &body, const auto &) { failed += body ? 0 : 1; });
    };
    // A first one with descriptors: the sanitizer opens some when it meets a type for the first
    // time.
    auto fetch = start();
    BOOST_TEST(runUntil(loop, [&] { return failed == 1; }));
    failed = 0;
    {
        const NoDescriptors none;
        fetch = start();
        BOOST_TEST(failed == 0);
    }
    BOOST_TEST(runUntil(loop, [&] { return failed == 1; }));
    runUntil(
        loop, [] { return false; }, 50ms);
    BOOST_TEST(failed == 1);
}

// Guards against a router that never learns of a configuration again after its fetch of one failed
// for want of descriptors.
BOOST_AUTO_TEST_CASE(a_router_without_descriptors_follows_once_it_has_some)
{
    asio::io_context loop(1);
    Gateway reader(loop);
    Gateway follower(loop, {reader.settings.peers});
    follower.registry.configuration = testConfiguration(1);
    reader.applyRegistry(testConfiguration(1), {});
    BOOST_TEST(runUntil(loop, [&] { return versionAt(follower) == 1; }));
    follower.host.pool().drop(reader.settings.peers);
    follower.registry.configuration = testConfiguration(2);
    {
        const NoDescriptors none;
        reader.applyRegistry(testConfiguration(2), {});
        runUntil(
            loop, [] { return false; }, 1500ms);
        BOOST_TEST(versionAt(follower) == 1U);
    }
    BOOST_TEST(runUntil(loop, [&] { return versionAt(follower) == 2; }));
    runUntil(
        loop, [] { return false; }, 200ms);
    const auto metrics = scrape(loop, follower);
    BOOST_TEST(metrics.find("applehatch_registry_behind_seconds 0") != std::string::npos);
    BOOST_TEST(metrics.find("event=\"registry-behind\"") != std::string::npos);
    BOOST_TEST(metrics.find("event=\"registry-caught-up\"") != std::string::npos);
}

// Guards against a request that waits for its deadline on a connection that was closed while idle.
BOOST_AUTO_TEST_CASE(a_request_on_a_closed_connection_fails_at_once)
{
    asio::io_context loop(1);
    tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket peer(loop);
    peer.connect(acceptor.local_endpoint());
    const auto connection = std::make_shared<UpstreamConnection>(acceptor.accept());
    connection->start({});
    peer.close();
    BOOST_TEST(runUntil(loop, [&] { return !connection->isOpen(); }));
    int failed = 0;
    AnswerHooks hooks;
    hooks.failed = [&](const std::string &) { ++failed; };
    connection->send({"GET / HTTP/1.1\r\n\r\n", "", "", false}, std::move(hooks));
    BOOST_TEST(failed == 0);
    BOOST_TEST(runUntil(loop, [&] { return failed == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
