// A process that is out of descriptors for a while.
#include "gateway/gateway-fixture.h"

#include "applehatch/gateway/peer-fetch.h"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

bool isOutOfDescriptors = false;

/// Lets no socket be opened as long as it lives. The limit of the process stays as it is, since
/// sanitizers need descriptors of their own.
class NoDescriptors
{
public:
    NoDescriptors() { isOutOfDescriptors = true; }
    ~NoDescriptors() { isOutOfDescriptors = false; }
    NoDescriptors(const NoDescriptors &) = delete;
    auto operator=(const NoDescriptors &) -> NoDescriptors & = delete;
};

auto versionAt(Gateway &gateway) -> std::uint64_t
{
    const auto &configuration = gateway.host.dispatcher().configuration();
    return configuration ? configuration->version : 0;
}

} // namespace

/// Takes the place of the C library's function in this program.
extern "C" auto socket(int domain, int type, int protocol) noexcept -> int
{
    if (isOutOfDescriptors) {
        errno = EMFILE;
        return -1;
    }
    return static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}

BOOST_AUTO_TEST_SUITE(gateway_descriptors)

// Guards against a call that reports its failure before it returns: what it returns would then be
// taken for a fetch that still runs.
BOOST_AUTO_TEST_CASE(a_fetch_that_fails_at_once_is_reported_after_its_start)
{
    asio::io_context loop(1);
    UpstreamPool pool(loop);
    int failed = 0;
    std::shared_ptr<PeerFetch> fetch;
    {
        const NoDescriptors none;
        fetch = PeerFetch::start(loop, pool, ownAddress(), "/", 1s,
                                 [&](const auto &body, const auto &) { failed += body ? 0 : 1; });
        BOOST_TEST(failed == 0);
    }
    BOOST_TEST(runUntil(loop, [&] { return failed == 1; }));
    runFor(loop, 50ms);
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
        runFor(loop, 1500ms);
        BOOST_TEST(versionAt(follower) == 1U);
    }
    BOOST_TEST(runUntil(loop, [&] { return versionAt(follower) == 2; }));
    runFor(loop, 200ms);
    const auto metrics = scrape(loop, follower);
    BOOST_TEST(metrics.find("applehatch_registry_behind_seconds 0") != std::string::npos);
    BOOST_TEST(metrics.find("event=\"registry-behind\"") != std::string::npos);
    BOOST_TEST(metrics.find("event=\"registry-caught-up\"") != std::string::npos);
}

// Guards against an alarm at a router that keeps up while one change follows another.
BOOST_AUTO_TEST_CASE(a_router_that_follows_many_changes_is_not_behind)
{
    asio::io_context loop(1);
    Gateway reader(loop);
    Gateway follower(loop, {reader.settings.peers});
    std::uint64_t version = 0;
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 4s) {
        ++version;
        follower.registry.configuration = testConfiguration(version);
        reader.applyRegistry(testConfiguration(version), {});
        runFor(loop, 20ms);
    }
    BOOST_TEST(runUntil(loop, [&] { return versionAt(follower) == version; }));
    BOOST_TEST(scrape(loop, follower).find("event=\"registry-behind\"") == std::string::npos);
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
