/// One gateway's process before one engine that answers plainly, and what the process uses.
#pragma once

#include "process-fleet.h"
#include "process-memory.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <list>
#include <string>

namespace applehatch::gateway::testing {

using applehatch::testing::isFreedAtOnce;
using applehatch::testing::mebibyte;
using applehatch::testing::memoryOf;

inline auto answerPlainly(ScriptedConnection &connection, const std::string &request) -> void
{
    connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
                    + "\r\nX-Response-Seal: seal\r\nContent-Length: 4\r\n\r\ndone");
}

/// One gateway before one engine, and a route for requests that run once.
class PlainFleet : public ProcessFleet
{
public:
    /// `limits` are those of the gateway's settings, as JSON members.
    explicit PlainFleet(const std::string &limits = {},
                        ScriptedConnection::Script script = answerPlainly)
        : ProcessFleet(1, false, limits)
        , engine_(loop, "engine", std::move(script))
    {
        store.put("servers/engine",
                  R"({"service":"pool","addr":"127.0.0.1:)"
                      + std::to_string(engine_.entry("pool").address.port)
                      + R"(","zone":"here","slots":5000,"state":"ready"})");
        store.put("op/config",
                  R"({"version":2,"routes":[{"name":"once","host":"api.example",)"
                  R"("path-prefix":"/once/","type":"unsafe","timeout-ms":10000,"slo-ms":2000,)"
                  R"("service":"pool","attempts":1},{"name":"stream","host":"api.example",)"
                  R"("path-prefix":"/stream/","type":"streaming","timeout-ms":20000,)"
                  R"("slo-ms":2000,"service":"pool","attempts":1}],)"
                  R"("services":[{"name":"pool"}]})");
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

} // namespace applehatch::gateway::testing
