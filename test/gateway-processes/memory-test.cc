// The memory of a gateway's process while much comes at once.
#include "process-fleet.h"

#include "gateway/body-sender.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <list>
#include <string>

namespace {

using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

/// Most memory that a process has had, in bytes.
auto peakMemory(pid_t process) -> std::size_t
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
    }
    return 0;
}

auto answerPlainly(ScriptedConnection &connection, const std::string &request) -> void
{
    connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
                    + "\r\nX-Response-Seal: seal\r\nContent-Length: 4\r\n\r\ndone");
}

} // namespace

BOOST_AUTO_TEST_SUITE(memory)

// Guards against a process that is killed for its memory, with all that runs in it, when large
// requests come together.
BOOST_AUTO_TEST_CASE(forty_requests_of_four_megabytes_at_once_stay_within_the_memory_of_a_process)
{
    constexpr std::size_t most = 260 * mebibyte;
    constexpr std::size_t bodyBytes = 4000000;
    ProcessFleet fleet(1);
    ScriptedUpstream engine(fleet.loop, "engine", answerPlainly);
    fleet.store.put("servers/engine",
                    R"({"service":"pool","addr":"127.0.0.1:)"
                        + std::to_string(engine.entry("pool").address.port)
                        + R"(","zone":"here","slots":200,"state":"ready"})");
    fleet.store.put("op/config",
                    R"({"version":2,"routes":[{"name":"once","host":"api.example",)"
                    R"("path-prefix":"/once/","type":"unsafe","timeout-ms":10000,"slo-ms":2000,)"
                    R"("service":"pool","attempts":1}],"services":[{"name":"pool"}]})");
    fleet.awaitLog("event=configuration version=2", "");
    auto &gateway = *fleet.gateways.front();
    std::list<BodySender> callers;
    for (int number = 0; number < 40; ++number)
        callers.emplace_back(fleet.loop, gateway.callers,
                             "POST /once/x HTTP/1.1\r\nHost: api.example\r\nConnection: close\r\n"
                             "X-Attempt-Id: try-"
                                 + std::to_string(number)
                                 + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                                 + std::string(bodyBytes, 'b'));
    BOOST_TEST(runUntil(fleet.loop, [&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto &caller) { return caller.ended; });
    }));
    std::size_t served = 0;
    for (const auto &caller : callers) {
        const auto isServed = caller.received.starts_with("HTTP/1.1 200");
        BOOST_TEST((isServed || caller.received.starts_with("HTTP/1.1 503")), caller.received);
        served += isServed ? 1 : 0;
    }
    BOOST_TEST(served > 0U);
    const auto peak = peakMemory(gateway.id());
    BOOST_TEST_MESSAGE(served << " of 40 served, at most " << peak / mebibyte << " MiB");
    BOOST_TEST(peak < most);
}

BOOST_AUTO_TEST_SUITE_END()
