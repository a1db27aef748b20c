// Which upstreams get requests while the operator has a data centre evacuated.
#include "directory-decoder.h"
#include "platform-vocabulary.h"

#include "gateway/gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway::testing;

constexpr auto requestCount = 40;

const std::string configurationText = R"({"version": 1, "routes": [
    {"name": "safe", "host": "api.example", "path-prefix": "/safe/", "type": "safe",
     "timeout-ms": 3000, "slo-ms": 400, "attempts": 2, "service": "pool"}],
    "services": [{"name": "pool", "max-conns": 100, "cold-s": 3.0, "cold-per-s": 13.0}]})";

/// The complete answer of an upstream of the platform to `request`.
auto sealedAnswer(const std::string &request) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
        + "\r\nX-Response-Seal: seal\r\nContent-Length: 6\r\n\r\nserved";
}

/// A gateway with one upstream in each of the data centres `east` and `west`.
class TwoDataCenters
{
public:
    TwoDataCenters()
        : east(loop, "engine-east", answer())
        , west(loop, "engine-west", answer())
        , host(loop, settings(), platform::platformVocabulary(), platform::DirectoryDecoder())
    {
        BOOST_REQUIRE(!host.start());
        host.registryAnswered();
        host.registryRead({revision_,
                           {{"op/config", configurationText, 1},
                            {"servers/engine-east", entry(east, "east"), 2},
                            {"servers/engine-west", entry(west, "west"), 3}}});
    }

    /// Writes `value` to a key of the registry.
    auto write(const std::string &key, const std::string &value = "{}") -> void
    {
        ++revision_;
        host.registryChanged({{{key, value, revision_}, false}}, revision_);
    }

    auto remove(const std::string &key) -> void
    {
        ++revision_;
        host.registryChanged({{{key, {}, revision_}, true}}, revision_);
    }

    /// Sends requests one after the other and returns the last answer.
    auto ask(int count = requestCount) -> std::string
    {
        std::string last;
        for (int i = 0; i < count; ++i) {
            Caller caller(loop, callers_);
            caller.send("GET /safe/a HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: r"
                        + std::to_string(++asked_) + "\r\nConnection: close\r\n\r\n");
            BOOST_TEST(caller.seesClose());
            last = caller.received;
        }
        return last;
    }

    asio::io_context loop{1};
    ScriptedUpstream east;
    ScriptedUpstream west;

private:
    static auto answer() -> ScriptedConnection::Script
    {
        return [](ScriptedConnection &connection, const std::string &request) {
            connection.send(sealedAnswer(request));
        };
    }

    static auto entry(const ScriptedUpstream &upstream, const std::string &dataCenter)
        -> std::string
    {
        const auto address = upstream.entry("pool").address;
        return R"({"service":"pool","addr":")" + address.ip + ':' + std::to_string(address.port)
            + R"(","zone":")" + dataCenter
            + R"(","slots":8,"state":"ready","cold-left-ms":0,"seq":1})";
    }

    auto settings() -> gateway::GatewaySettings
    {
        gateway::GatewaySettings made;
        made.name = "gateway";
        made.dataCenter = "east";
        callers_ = ownAddress();
        made.callers = callers_;
        made.readiness = ownAddress();
        made.peers = ownAddress();
        return made;
    }

    core::Address callers_;
    std::uint64_t revision_ = 10;
    int asked_ = 0;

public:
    gateway::GatewayHost host;
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

// Guards against sending requests to a data centre that the operator evacuates.
BOOST_AUTO_TEST_CASE(an_evacuated_data_center_gets_no_request)
{
    TwoDataCenters world;
    world.write("op/evacuate/east");
    world.ask();
    BOOST_TEST(world.east.requests().empty());
    BOOST_TEST(world.west.requests().size() == requestCount);
}

// Guards against ignoring an evacuation whose value holds nothing, or nothing that can be read.
BOOST_AUTO_TEST_CASE(an_evacuation_counts_whatever_its_value_is)
{
    for (const auto *value : {"", "{", "null", "7", "\xff\xfe"}) {
        TwoDataCenters world;
        world.write("op/evacuate/east", value);
        world.ask();
        BOOST_TEST(world.east.requests().empty());
    }
}

// Guards against refusing callers over an evacuation that names no data centre of any upstream.
BOOST_AUTO_TEST_CASE(an_unknown_data_center_changes_nothing)
{
    TwoDataCenters world;
    world.write("op/evacuate/north");
    world.write("op/evacuate/");
    world.ask();
    BOOST_TEST(world.east.requests().size() + world.west.requests().size() == requestCount);
    BOOST_TEST(!world.east.requests().empty());
}

// Guards against callers that wait for their deadline while every data centre is evacuated.
BOOST_AUTO_TEST_CASE(callers_are_refused_at_once_while_all_is_evacuated)
{
    TwoDataCenters world;
    world.write("op/evacuate/east");
    world.write("op/evacuate/west");
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = world.ask(1);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(!headerOf(answer, "Retry-After").empty());
    BOOST_TEST(answer.find(R"("run":"not-run")") != std::string::npos);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 500ms));
    BOOST_TEST(world.east.requests().size() + world.west.requests().size() == 0U);
}

// Guards against a data centre that stays without requests after the operator took it back, also
// where this router alone cannot reach the registry and hears so from a peer.
BOOST_AUTO_TEST_CASE(a_data_center_taken_back_gets_requests_again)
{
    for (const auto lost : {false, true}) {
        TwoDataCenters world;
        world.write("op/evacuate/east");
        world.ask();
        if (lost)
            world.host.registryLost("cut off");
        world.remove("op/evacuate/east");
        BOOST_TEST(runUntil(
            world.loop,
            [&] {
                world.ask(1);
                return !world.east.requests().empty();
            },
            5s));
    }
}

// Guards against a router that starts while the registry is away and does not learn of an
// evacuation from its peers, which may be of an earlier version and know nothing of evacuations.
BOOST_AUTO_TEST_CASE(an_evacuation_is_learned_from_a_peer)
{
    direct::RegistryReplica peer;
    peer.apply(direct::RegistrySnapshot{5, {{"op/config", configurationText, 1}}}, core::Instant());
    peer.apply({{{"op/evacuate/east", "{}", 6}, false}}, 6, core::Instant());
    for (const std::uint64_t known : {0U, 5U}) {
        const auto delta = gateway::decodeDelta(gateway::encodeDelta(peer.deltaSince(known)));
        BOOST_REQUIRE(delta);
        direct::RegistryReplica replica;
        if (known > 0)
            replica.apply(direct::RegistrySnapshot{5, {{"op/config", configurationText, 1}}},
                          core::Instant());
        BOOST_TEST(replica.apply(*delta, core::Instant()));
        BOOST_TEST(platform::DirectoryDecoder()(replica.items()).evacuated.contains("east"));
    }
}

// Guards against an evacuation that is lost with a read of the registry in pages: the pages are of
// different moments, and the key was written between two of them.
BOOST_AUTO_TEST_CASE(an_evacuation_newer_than_a_read_is_kept)
{
    TwoDataCenters world;
    world.write("op/evacuate/east");
    world.host.registryRead({9, {{"op/config", configurationText, 1}}});
    world.ask();
    BOOST_TEST(world.east.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()
