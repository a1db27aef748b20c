#include "directory-decoder.h"
#include "registry-client.h"
#include "words.h"

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

/// A stand-in for the platform's store; `script` answers the calls of a client, in order.
class Store
{
public:
    using Script = std::function<void(UpstreamSide &, const std::string &call, std::size_t number)>;

    explicit Store(Script script)
        : script_(std::move(script))
        , side(loop, "store",
               [this](UpstreamSide &one, const std::string &request) {
                   script_(one, request, calls.size());
                   calls.push_back(request.substr(0, request.find(" HTTP")));
               })
        , gateway(loop, settings(), platform::platformVocabulary(), platform::DirectoryDecoder())
        , client(loop, gateway, side.entry("store").address)
    {
        client.start();
    }

    auto hasVersion(std::uint64_t version) -> bool
    {
        return runUntil(loop, [&] {
            const auto &held = gateway.dispatcher().configuration();
            return held && held->version == version;
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
    ScriptedUpstream side;
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

// The store tells of a change as soon as there is one; it takes one waiting call, not a poll.
BOOST_AUTO_TEST_CASE(a_change_comes_by_a_waiting_watch)
{
    Store store([](UpstreamSide &side, const std::string &call, std::size_t number) {
        if (isRange(call))
            return side.send(answer("200 OK", page(item(versionOne, 5), 7)));
        if (number == 1)
            side.send(answer("200 OK", events(item(versionTwo, 9), 9)));
    });
    BOOST_TEST(store.hasVersion(2));
    BOOST_TEST(runUntil(store.loop, [&] { return store.calls.size() == 3; }));
    BOOST_TEST(store.calls.at(1).find("after=7&") != std::string::npos);
    BOOST_TEST(store.calls.at(2).find("after=9&") != std::string::npos);
}

// Dozens of upstreams start at once, and the store has a change for each call. Calls are limited
// over the whole fleet: one brings what would take several, and no more than ten a second are made.
BOOST_AUTO_TEST_CASE(changes_in_quick_succession_share_calls)
{
    int revision = 7;
    Store store([&](UpstreamSide &side, const std::string &call, std::size_t) {
        if (isRange(call))
            return side.send(answer("200 OK", page(item(versionOne, 5), revision)));
        ++revision;
        side.send(answer("200 OK", events(item(versionTwo, revision), revision)));
    });
    BOOST_TEST(store.hasVersion(2));
    const auto before = store.calls.size();
    runUntil(
        store.loop, [] { return false; }, 500ms);
    BOOST_TEST(store.calls.size() > before);
    BOOST_TEST(store.calls.size() - before <= 6U);
}

// The list is longer than a page. What is read is all pages, watched from the first one's revision,
// so that no change between two pages is missed.
BOOST_AUTO_TEST_CASE(all_pages_are_read)
{
    Store store([](UpstreamSide &side, const std::string &call, std::size_t number) {
        if (!isRange(call))
            return;
        const auto other = std::string(R"({"key":"a/x","value":"","revision":1})");
        side.send(number == 0 ? answer("200 OK", page(other, 7, true))
                              : answer("200 OK", page(item(versionOne, 5), 8)));
    });
    BOOST_TEST(store.hasVersion(1));
    BOOST_TEST(store.calls.at(1).find("after=a%2Fx") != std::string::npos);
    BOOST_TEST(runUntil(store.loop, [&] { return store.calls.size() == 3; }));
    BOOST_TEST(store.calls.at(2).find("after=7&") != std::string::npos);
}

// The store has dropped the history that the watch asked for: a change may have been missed, so
// everything is read again.
BOOST_AUTO_TEST_CASE(lost_history_is_made_up_by_a_read)
{
    Store store([](UpstreamSide &side, const std::string &call, std::size_t number) {
        if (!isRange(call))
            return number == 1 ? side.send(answer("410 Gone", "{}")) : void();
        side.send(answer(
            "200 OK",
            page(item(number == 0 ? versionOne : versionTwo, 5 + int(number)), 7 + int(number))));
    });
    BOOST_TEST(store.hasVersion(2));
}

// The store turns this process away, resets the connection, answers nonsense. What is known stays
// in force, the calls keep their distance, and the first good answer counts.
BOOST_AUTO_TEST_CASE(failures_leave_what_is_known_in_force)
{
    Store store([](UpstreamSide &side, const std::string &call, std::size_t number) {
        switch (number) {
        case 0:
            return side.send(answer("200 OK", page(item(versionOne, 5), 7)));
        case 1:
            return side.send(answer("503 Busy", ""));
        case 2:
            return side.reset();
        case 3:
            return side.send(answer("200 OK", "{\"entries\": 5}"));
        case 4:
            return side.send(answer("429 Slow Down", ""));
        default:
            return isRange(call) ? side.send(answer("200 OK", page(item(versionTwo, 8), 9)))
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

// Guards against whole reads repeated by hundreds of routers that start together: the first of this
// one failed, and it has meanwhile been given everything by a peer.
BOOST_AUTO_TEST_CASE(a_first_read_that_failed_goes_on_from_what_a_peer_gave)
{
    Store store([](UpstreamSide &side, const std::string &call, std::size_t) {
        side.send(isRange(call) ? answer("503 Busy", "")
                                : answer("200 OK", events(item(versionTwo, 9), 9)));
    });
    store.gateway.registryRead({7, {{"op/config", *core::decodeBase64(versionOne), 5}}});
    BOOST_TEST(store.hasVersion(2));
    BOOST_TEST(store.calls.at(0).find("/v1/kv-range?") != std::string::npos);
    BOOST_TEST(store.calls.at(1).find("after=7&wait-ms=50") != std::string::npos);
}

// The answer to a watch is lost, and nothing more comes on that connection. After the time that a
// watch may take at most, everything is read again on another connection.
BOOST_AUTO_TEST_CASE(a_watch_without_an_answer_is_given_up)
{
    Store store([](UpstreamSide &side, const std::string &call, std::size_t number) {
        if (isRange(call))
            side.send(answer("200 OK",
                             page(item(number == 0 ? versionOne : versionTwo, 5 + int(number)),
                                  7 + int(number))));
    });
    BOOST_TEST(store.hasVersion(1));
    BOOST_TEST(store.hasVersion(2));
    BOOST_TEST(store.side.sides.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
