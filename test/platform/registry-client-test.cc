#include "directory-decoder.h"
#include "platform-vocabulary.h"
#include "registry-client.h"

#include "applehatch/core/base64.h"
#include "applehatch/telemetry/logger.h"
#include "gateway/gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace {

using namespace applehatch;
using namespace applehatch::gateway::testing;
using applehatch::platform::RegistryClient;

struct LogSetup
{
    LogSetup() { telemetry::startLog(); }
};

// {"version":V,"routes":[]} for V = 1 and 2.
const std::string versionOne = "eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdfQ==";
const std::string versionTwo = "eyJ2ZXJzaW9uIjoyLCJyb3V0ZXMiOltdfQ==";

auto answer(const std::string &status, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto item(const std::string &value, int revision) -> std::string
{
    return R"({"key":"op/config","value":")" + value + R"(","revision":)" + std::to_string(revision)
        + R"(,"created":1,"lease":0})";
}

auto page(const std::string &entries, int revision, bool more = false) -> std::string
{
    return R"({"entries":[)" + entries + R"(],"has-more":)" + (more ? "true" : "false")
        + R"(,"current-rev":)" + std::to_string(revision) + "}";
}

auto events(const std::string &list, int revision) -> std::string
{
    return R"({"events":[)" + list + R"(],"current-rev":)" + std::to_string(revision) + "}";
}

/// A fake of the platform's registry and a client that reads it; `script` answers the client's
/// calls in order.
class Store
{
public:
    using Script =
        std::function<void(ScriptedConnection &, const std::string &call, std::size_t number)>;

    explicit Store(Script script)
        : script_(std::move(script))
        , server(loop, "store",
                 [this](ScriptedConnection &connection, const std::string &request) {
                     script_(connection, request, calls.size());
                     calls.push_back(request.substr(0, request.find(" HTTP")));
                 })
        , gateway(loop, settings(), platform::platformVocabulary(), platform::DirectoryDecoder())
        , client(loop, gateway, server.entry("store").address)
    {
        client.start();
    }

    auto hasVersion(std::uint64_t version) -> bool
    {
        return runUntil(loop, [&] {
            const auto &configuration = gateway.dispatcher().configuration();
            return configuration && configuration->version == version;
        });
    }

    std::vector<std::string> calls;
    asio::io_context loop{1};

private:
    auto settings() -> gateway::GatewaySettings
    {
        gateway::GatewaySettings made;
        made.name = "gateway";
        return made;
    }

    Script script_;

public:
    ScriptedUpstream server;
    gateway::GatewayHost gateway;
    RegistryClient client;
};

auto isRange(const std::string &call) -> bool
{
    return call.find("/v1/kv-range?") != std::string::npos;
}

} // namespace

BOOST_GLOBAL_FIXTURE(LogSetup);

BOOST_AUTO_TEST_SUITE(registry_client)

// The registry answers a waiting watch as soon as there is a change, so one long-poll call replaces
// repeated polling.
BOOST_AUTO_TEST_CASE(a_change_arrives_through_a_long_poll)
{
    Store store([](ScriptedConnection &connection, const std::string &call, std::size_t number) {
        if (isRange(call))
            return connection.send(answer("200 OK", page(item(versionOne, 5), 7)));
        if (number == 1)
            connection.send(answer("200 OK", events(item(versionTwo, 9), 9)));
    });
    BOOST_TEST(store.hasVersion(2));
    BOOST_TEST(runUntil(store.loop, [&] { return store.calls.size() == 3; }));
    BOOST_TEST(store.calls.at(1).find("after=7&") != std::string::npos);
    BOOST_TEST(store.calls.at(2).find("after=9&") != std::string::npos);
}

// Dozens of upstreams start at once, and the registry has a change for each call. Calls are limited
// over the whole fleet, so one call brings several changes and at most ten calls a second are made.
BOOST_AUTO_TEST_CASE(changes_in_quick_succession_share_calls)
{
    int revision = 7;
    Store store([&](ScriptedConnection &connection, const std::string &call, std::size_t) {
        if (isRange(call))
            return connection.send(answer("200 OK", page(item(versionOne, 5), revision)));
        ++revision;
        connection.send(answer("200 OK", events(item(versionTwo, revision), revision)));
    });
    BOOST_TEST(store.hasVersion(2));
    const auto before = store.calls.size();
    runUntil(
        store.loop, [] { return false; }, 500ms);
    BOOST_TEST(store.calls.size() > before);
    BOOST_TEST(store.calls.size() - before <= 6U);
}

// The list is longer than a page. All pages are read, and the watch starts from the revision of the
// first page, so that no change between two pages is missed.
BOOST_AUTO_TEST_CASE(all_pages_are_read)
{
    Store store([](ScriptedConnection &connection, const std::string &call, std::size_t number) {
        if (!isRange(call))
            return;
        const auto other = std::string(R"({"key":"a/x","value":"","revision":1})");
        connection.send(number == 0 ? answer("200 OK", page(other, 7, true))
                                    : answer("200 OK", page(item(versionOne, 5), 8)));
    });
    BOOST_TEST(store.hasVersion(1));
    BOOST_TEST(store.calls.at(1).find("after=a%2Fx") != std::string::npos);
    BOOST_TEST(runUntil(store.loop, [&] { return store.calls.size() == 3; }));
    BOOST_TEST(store.calls.at(2).find("after=7&") != std::string::npos);
}

// The registry has dropped the history that the watch asked for. A change may have been missed, so
// all entries are read again.
BOOST_AUTO_TEST_CASE(lost_history_causes_a_full_read)
{
    Store store([](ScriptedConnection &connection, const std::string &call, std::size_t number) {
        if (!isRange(call))
            return number == 1 ? connection.send(answer("410 Gone", "{}")) : void();
        connection.send(answer(
            "200 OK",
            page(item(number == 0 ? versionOne : versionTwo, 5 + int(number)), 7 + int(number))));
    });
    BOOST_TEST(store.hasVersion(2));
}

// The registry refuses this process, resets the connection and sends malformed answers. The known
// configuration stays in force, retries are delayed, and the first valid answer is applied.
BOOST_AUTO_TEST_CASE(failures_keep_the_known_configuration_in_force)
{
    Store store([](ScriptedConnection &connection, const std::string &call, std::size_t number) {
        switch (number) {
        case 0:
            return connection.send(answer("200 OK", page(item(versionOne, 5), 7)));
        case 1:
            return connection.send(answer("503 Busy", ""));
        case 2:
            return connection.reset();
        case 3:
            return connection.send(answer("200 OK", "{\"entries\": 5}"));
        case 4:
            return connection.send(answer("429 Slow Down", ""));
        default:
            return isRange(call) ? connection.send(answer("200 OK", page(item(versionTwo, 8), 9)))
                                 : void();
        }
    });
    BOOST_TEST(store.hasVersion(1));
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(runUntil(store.loop, [&] { return store.calls.size() == 5; }));
    BOOST_TEST(store.gateway.dispatcher().configuration()->version == 1);
    BOOST_TEST((std::chrono::steady_clock::now() - begin > 500ms));
    BOOST_TEST(store.hasVersion(2));
}

// Guards against full reads repeated by hundreds of routers that start together. The first read of
// this router failed, and a peer has meanwhile supplied all entries.
BOOST_AUTO_TEST_CASE(a_failed_first_read_resumes_from_a_peers_revision)
{
    Store store([](ScriptedConnection &connection, const std::string &call, std::size_t) {
        connection.send(isRange(call) ? answer("503 Busy", "")
                                      : answer("200 OK", events(item(versionTwo, 9), 9)));
    });
    store.gateway.registryRead({7, {{"op/config", *core::decodeBase64(versionOne), 5}}});
    BOOST_TEST(store.hasVersion(2));
    BOOST_TEST(store.calls.at(0).find("/v1/kv-range?") != std::string::npos);
    BOOST_TEST(store.calls.at(1).find("after=7&wait-ms=50") != std::string::npos);
}

// The answer to a watch is lost, and nothing more arrives on that connection. When the watch times
// out, all entries are read again on another connection.
BOOST_AUTO_TEST_CASE(a_watch_without_an_answer_times_out)
{
    Store store([](ScriptedConnection &connection, const std::string &call, std::size_t number) {
        if (isRange(call))
            connection.send(
                answer("200 OK",
                       page(item(number == 0 ? versionOne : versionTwo, 5 + int(number)),
                            7 + int(number))));
    });
    BOOST_TEST(store.hasVersion(1));
    BOOST_TEST(store.hasVersion(2));
    BOOST_TEST(store.server.connections.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
