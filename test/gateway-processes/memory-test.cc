// The memory of a gateway's process while much comes at once.
#include "process-fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <list>
#include <string>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// AddressSanitizer keeps what was freed for a while, so that a process's memory tells nothing.
#ifdef __SANITIZE_ADDRESS__
constexpr bool isFreedAtOnce = false;
#else
constexpr bool isFreedAtOnce = true;
#endif

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

/// Memory of a process in bytes, by its name in the system's status file.
auto memoryOf(pid_t process, const std::string &name) -> std::size_t
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name + ':'))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
    }
    return 0;
}

auto answerPlainly(ScriptedConnection &connection, const std::string &request) -> void
{
    connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
                    + "\r\nX-Response-Seal: seal\r\nContent-Length: 4\r\n\r\ndone");
}

/// One gateway before one engine, and a route for requests that run once.
class PlainFleet : public ProcessFleet
{
public:
    PlainFleet()
        : ProcessFleet(1)
        , engine_(loop, "engine", answerPlainly)
    {
        store.put("servers/engine",
                  R"({"service":"pool","addr":"127.0.0.1:)"
                      + std::to_string(engine_.entry("pool").address.port)
                      + R"(","zone":"here","slots":200,"state":"ready"})");
        store.put("op/config",
                  R"({"version":2,"routes":[{"name":"once","host":"api.example",)"
                  R"("path-prefix":"/once/","type":"unsafe","timeout-ms":10000,"slo-ms":2000,)"
                  R"("service":"pool","attempts":1}],"services":[{"name":"pool"}]})");
        awaitLog("event=configuration version=2", "");
    }

    /// A caller that sends a body of so many bytes.
    auto addCaller(std::size_t bodyBytes, const std::string &headers = {}) -> Caller &
    {
        const auto id = "try-" + std::to_string(callers.size());
        auto &caller = callers.emplace_back(loop, gateway().callers);
        caller.sendLarge("POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: " + id
                         + "\r\n" + headers + "Content-Length: " + std::to_string(bodyBytes)
                         + "\r\n\r\n" + std::string(bodyBytes, 'b'));
        return caller;
    }
    auto gateway() -> GatewayProcess & { return *gateways.front(); }

    std::list<Caller> callers;

private:
    ScriptedUpstream engine_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(memory)

// Guards against a process that is killed for its memory, with all that runs in it, when large
// requests come together.
BOOST_AUTO_TEST_CASE(forty_requests_of_four_megabytes_at_once_stay_within_the_memory_of_a_process)
{
    constexpr std::size_t most = 260 * mebibyte;
    constexpr std::size_t bodyBytes = 4000000;
    PlainFleet fleet;
    for (int number = 0; number < 40; ++number)
        fleet.addCaller(bodyBytes, "Connection: close\r\n");
    BOOST_TEST(runUntil(fleet.loop, [&] {
        return std::all_of(fleet.callers.begin(), fleet.callers.end(),
                           [](const auto &caller) { return caller.ended; });
    }));
    std::size_t served = 0;
    for (const auto &caller : fleet.callers) {
        const auto isServed = caller.received.starts_with("HTTP/1.1 200");
        BOOST_TEST((isServed || caller.received.starts_with("HTTP/1.1 503")), caller.received);
        served += isServed ? 1 : 0;
    }
    BOOST_TEST(served > 0U);
    const auto peak = memoryOf(fleet.gateway().id(), "VmHWM");
    BOOST_TEST_MESSAGE(served << " of 40 served, at most " << peak / mebibyte << " MiB");
    BOOST_TEST((!isFreedAtOnce || peak < most));
}

// Guards against kept connections that go on holding what they have carried.
BOOST_AUTO_TEST_CASE(a_thousand_idle_connections_hold_no_body)
{
    constexpr std::size_t connections = 1000;
    constexpr std::size_t bodyBytes = 200000;
    constexpr std::size_t mostEach = 16384;
    PlainFleet fleet;
    const auto isAnswered = [](const auto &caller) { return caller.received.ends_with("done"); };
    BOOST_TEST(runUntil(fleet.loop,
                        [&, &first = fleet.addCaller(bodyBytes)] { return isAnswered(first); }));
    const auto before = memoryOf(fleet.gateway().id(), "VmRSS");
    while (fleet.callers.size() < connections) {
        auto &caller = fleet.addCaller(bodyBytes);
        BOOST_REQUIRE(runUntil(fleet.loop, [&] { return isAnswered(caller); }));
    }
    const auto after = memoryOf(fleet.gateway().id(), "VmRSS");
    BOOST_TEST_MESSAGE("from " << before / 1024 << " to " << after / 1024 << " KiB");
    BOOST_TEST((!isFreedAtOnce || after < before + connections * mostEach));
}

BOOST_AUTO_TEST_SUITE_END()
