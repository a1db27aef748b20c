// Clients that take up a router's or a sidecar's threads and say nothing, or hardly anything.
#include "system/expect.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::system_test;
using experiment::Socket;

constexpr std::size_t callerThreads = 64;
constexpr std::size_t clients = 200;
/// Many times the threads of an admin address.
constexpr std::size_t adminClients = 20;

auto options() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = 1;
    options.tokensPerSecond = 200;
    options.routerFlags = {"--caller_threads=" + std::to_string(callerThreads)};
    return options;
}

auto connectMany(const core::Address &address, std::size_t count, const std::string &text)
    -> std::list<Socket>
{
    std::list<Socket> sockets;
    for (std::size_t number = 0; number < count; ++number) {
        sockets.push_back(Socket::connect(address));
        (void)sockets.back().sendSome(text);
    }
    return sockets;
}

auto checkServes(Fleet &fleet, const std::string &mark) -> void
{
    BOOST_REQUIRE(fleet.router().process->running());
    const auto request = fleet.chat(mark, 5);
    const auto answer = experiment::call(fleet.router().callers, request);
    BOOST_TEST(isWholeAndOwn(request, answer), mark << ": " << answer.status);
}

auto checkAdmin(const core::Address &address, const std::string &text) -> void
{
    const auto crowd = connectMany(address, adminClients, text);
    BOOST_TEST(experiment::get(address, "/health/live").status == 200);
}

} // namespace

BOOST_AUTO_TEST_SUITE(silent)

// Guards against clients that say nothing and hold all threads of a router.
BOOST_AUTO_TEST_CASE(clients_that_say_nothing)
{
    Fleet fleet(options());
    auto crowd = connectMany(fleet.router().callers, clients, "");
    checkServes(fleet, "while the crowd stays");
    crowd.clear();
    checkServes(fleet, "after the crowd has left");
}

// Guards against the same by clients that begin a head and do not end it.
BOOST_AUTO_TEST_CASE(clients_whose_head_stops_short)
{
    Fleet fleet(options());
    auto crowd = connectMany(fleet.router().callers, clients, "POST /v1/chat/completions HTT");
    checkServes(fleet, "while the crowd stays");
    crowd.clear();
    checkServes(fleet, "after the crowd has left");
}

// Guards against a probe or a scrape that is not answered because of clients that say nothing.
BOOST_AUTO_TEST_CASE(clients_that_say_nothing_at_admin_addresses)
{
    Fleet fleet(options());
    checkAdmin(fleet.router().admin, "");
    checkAdmin(fleet.router().admin, "GET /hea");
    checkAdmin(fleet.members().front().admin, "");
    checkServes(fleet, "a request");
}

BOOST_AUTO_TEST_SUITE_END()
