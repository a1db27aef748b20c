#include "directory-decoder.h"
#include "platform-vocabulary.h"
#include "settings.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace applehatch::platform;
using direct::RouteKind;
using direct::UpstreamState;
using namespace std::chrono_literals;

const std::string upstreamText =
    R"({"service":"pool","addr":"10.0.0.9:8080","zone":"east","version":"v1","slots":64,)"
    R"("state":"ready","cold-left-ms":0,"seq":4,"born":1700000000000})";

const std::string configurationText = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "A.Example", "path-prefix": "/x/", "type": "streaming",
     "timeout-ms": 15000, "slo-ms": 800, "priority": 1, "attempts": 2, "resumable": true,
     "split": [{"service": "pool", "weight": 90}, {"service": "other", "weight": 10}],
     "public": false, "sticky": true, "itl-target-ms": 250},
    {"name": "r2", "host": "a.example", "path-prefix": "/y/", "type": "unheard-of",
     "service": "other", "timeout-ms": 600, "slo-ms": 100}],
  "services": [{"name": "pool", "max-conns": 360, "backend": {"slots": 64, "kv-capacity": 90000, "moves": true}},
               {"name": "other", "max-conns": 96}],
  "limits": {"max-header-bytes": 1000, "max-body-bytes": 2000, "header-timeout-ms": 300,
             "idle-timeout-ms": 4000},
  "tenants": [{"name": "acme", "api-keys": ["k1"], "priority": 0}]})";

const std::string settingsText = R"({
  "node-name": "edge-1", "zone": "east", "ip": "10.0.0.1", "new-field": [1],
  "listen": {"front": "10.0.0.1:8000", "ready": "10.0.0.1:8001", "control": "10.0.0.1:8002"},
  "port-range": [7000, 7010], "seeds": ["10.0.0.1:8002", "10.0.0.2:8002", 5, "nonsense"],
  "bounds": {"retry-ratio": 0.2, "retry-window-s": 10, "retry-extra": 52, "grace-s": 8,
             "config-ms": 4000},
  "platform": {"addr": "10.9.0.1:8223"}})";

auto heldItem(const std::string &value, std::uint64_t revision) -> direct::ReplicaItem
{
    return {value, revision, std::nullopt};
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_adapter)

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded)
{
    std::string problem;
    const auto configuration = decodeConfiguration(configurationText, problem);
    BOOST_REQUIRE_MESSAGE(configuration, problem);
    BOOST_TEST(configuration->version == 7);
    const auto *route = configuration->findRoute("a.example", "/x/1");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST((route->kind == RouteKind::Stream));
    BOOST_TEST(route->resumable);
    BOOST_TEST((route->timeout == 15s));
    BOOST_TEST((route->maxEventGap == 250ms));
    BOOST_TEST(route->targets.size() == 2);
    // A route of an unknown type gets the most restrictive kind: a request runs at most once.
    BOOST_TEST((configuration->findRoute("a.example", "/y/1")->kind == RouteKind::Unsafe));
    BOOST_TEST(configuration->services.at("pool").sharesContexts);
    BOOST_TEST(configuration->services.at("pool").memoryTokens == 90000U);
    BOOST_TEST(!configuration->services.at("other").isModel);
    BOOST_TEST((configuration->limits.headerTimeout == 300ms));
    BOOST_TEST(configuration->findCustomer("k1")->priority.value() == 0);
}

// Guards against a router that serves nobody because one entry of another writer is unusable.
// Entries with fields missing or of another type are skipped; the others stay valid.
BOOST_AUTO_TEST_CASE(unusable_entries_are_skipped)
{
    const std::vector<std::string> unusable{
        "",
        "\xff\xfe",
        "[]",
        "7",
        "{}",
        R"({"service":"pool","addr":"10.0.0.9:8080","zone":"east","slots":64})",
        R"({"service":"pool","addr":"10.0.0.9:8080","zone":"east","slots":64,"state":"asleep"})",
        R"({"service":"pool","addr":"10.0.0.9","zone":"east","slots":64,"state":"ready"})",
        R"({"service":7,"addr":"10.0.0.9:8080","zone":"east","slots":64,"state":"ready"})",
        R"({"service":"pool","addr":"10.0.0.9:8080","zone":"east","slots":"64","state":"ready"})",
        R"({"service":"pool","addr":"10.0.0.9:8080","zone":"east","slots":64,"state":"ready","born":1.5})",
    };
    std::map<std::string, direct::ReplicaItem> items;
    items["servers/good"] = heldItem(upstreamText, 1);
    for (std::size_t i = 0; i < unusable.size(); ++i)
        items["servers/bad-" + std::to_string(i)] = heldItem(unusable[i], 2);
    DirectoryDecoder decoder;
    const auto decoded = decoder(items);
    BOOST_TEST(decoded.upstreams.size() == 1);
    BOOST_TEST(decoded.problems.size() == unusable.size());
    BOOST_TEST(
        decoder(items).problems.empty()); // Reported once, not at each change of another entry.
}

// An engine restarts under the same name. State recorded for its earlier incarnation must not apply
// to the new one.
// Guards against joining what two versions wrote because an entry spells its version oddly.
BOOST_AUTO_TEST_CASE(versions_are_read_as_they_are_spelled)
{
    const auto versionOf = [](const std::string &field, bool isNamed) {
        std::string problem;
        const auto upstream = decodeUpstream(
            "e",
            R"({"service":"pool","addr":"10.0.0.9:8080","zone":"east","slots":64,"state":"ready")"
                + field + '}',
            problem);
        BOOST_REQUIRE(upstream.has_value());
        BOOST_TEST(problem.empty() != isNamed);
        return upstream->version;
    };
    BOOST_TEST(versionOf(R"(,"version":"v1.2")", false) == "v1.2");
    BOOST_TEST(versionOf(R"(,"version":"V1.2")", false) == "V1.2");
    BOOST_TEST(versionOf("", false).empty());
    BOOST_TEST(versionOf(R"(,"version":null)", false).empty());
    BOOST_TEST(versionOf(R"(,"version":7)", true) == "7");
    BOOST_TEST(versionOf(R"(,"version":["v1"])", true) == R"(["v1"])");
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_is_a_different_upstream)
{
    std::string problem;
    auto later = upstreamText;
    later.replace(later.find("1700000000000"), 13, "1700000009999");
    const auto first = decodeUpstream("e", upstreamText, problem);
    const auto second = decodeUpstream("e", later, problem);
    BOOST_REQUIRE(first);
    BOOST_REQUIRE(second);
    BOOST_TEST(first->id != second->id);
    BOOST_TEST(first->instance == second->instance);
}

BOOST_AUTO_TEST_CASE(leaving_and_lapsed_entries_are_told_apart)
{
    auto leaving = upstreamText;
    leaving.replace(leaving.find("ready"), 5, "draining");
    std::map<std::string, direct::ReplicaItem> items;
    items["servers/a"] = heldItem(leaving, 1);
    items["servers/b"] = {upstreamText, 2, direct::Instant(5s)};
    const auto decoded = DirectoryDecoder()(items);
    BOOST_TEST((decoded.upstreams.at(0).state == UpstreamState::Leaving));
    BOOST_TEST((decoded.upstreams.at(1).state == UpstreamState::Doubtful));
}

// A configuration that cannot be parsed must not replace the one in force.
BOOST_AUTO_TEST_CASE(an_unreadable_configuration_keeps_the_last_one)
{
    DirectoryDecoder decoder;
    std::map<std::string, direct::ReplicaItem> items;
    items["op/config"] = heldItem(configurationText, 1);
    BOOST_TEST(decoder(items).configuration->version == 7);
    items["op/config"] = heldItem("{", 2);
    const auto decoded = decoder(items);
    BOOST_TEST(decoded.configuration->version == 7);
    BOOST_TEST(decoded.problems.size() == 1);
}

// Guards against taking a cold upstream for a warm one, or for one that bears nothing for good,
// over a number that makes no sense.
BOOST_AUTO_TEST_CASE(cold_times_are_read_within_limits)
{
    struct Reading
    {
        std::string text;
        std::optional<direct::Duration> left;
        bool isNamed = false; ///< Reported as a problem.
    };
    const std::vector<Reading> readings{
        {"0", 0s},
        {"2500", 2500ms},
        {"0.5", 500us},
        {"1e300", 60s},
        {"-1", std::nullopt, true},
        {"\"3000\"", std::nullopt, true},
        {"null", std::nullopt, true},
        {"[]", std::nullopt, true},
    };
    for (const auto &reading : readings) {
        auto text = upstreamText;
        text.replace(text.find("\"cold-left-ms\":0"), 16, "\"cold-left-ms\":" + reading.text);
        const auto decoded = DirectoryDecoder()({{"servers/a", heldItem(text, 1)}});
        BOOST_REQUIRE(decoded.upstreams.size() == 1);
        BOOST_TEST((decoded.upstreams.front().coldLeft == reading.left), reading.text);
        BOOST_TEST(decoded.problems.empty() != reading.isNamed, reading.text);
    }
    auto text = upstreamText;
    text.erase(text.find("\"cold-left-ms\":0,"), 17);
    const auto silent = DirectoryDecoder()({{"servers/a", heldItem(text, 1)}});
    BOOST_TEST(!silent.upstreams.at(0).coldLeft);
    BOOST_TEST(silent.problems.empty());
}

// Guards against a configuration that is not applied over a limit on cold upstreams.
BOOST_AUTO_TEST_CASE(limits_on_cold_upstreams_are_read)
{
    const auto decode = [](const std::string &fields, std::string &problem) {
        return decodeConfiguration(R"({"version":1,"routes":[],"services":[{"name":"pool")" + fields
                                       + "}]}",
                                   problem)
            ->services.at("pool");
    };
    std::string problem;
    const auto usual = decode(R"(,"cold-s":3.0,"cold-per-s":13.0)", problem);
    BOOST_TEST((usual.coldTime == 3s));
    BOOST_TEST(usual.coldRequestsPerSecond == 13);
    BOOST_TEST((decode("", problem).coldTime == 0s));
    BOOST_TEST((decode(R"(,"cold-s":1e300)", problem).coldTime == 60s));
    BOOST_TEST(problem.empty());
    BOOST_TEST(decode(R"(,"cold-per-s":-4)", problem).coldRequestsPerSecond == 0);
    BOOST_TEST(problem.find("cold-per-s") != std::string::npos);
    BOOST_TEST((decode(R"(,"cold-s":"3")", problem).coldTime == 0s));
    BOOST_TEST(problem.find("cold-s") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(settings_are_decoded)
{
    std::string problem;
    const auto settings = parseSettings(settingsText, problem);
    BOOST_REQUIRE_MESSAGE(settings, problem);
    BOOST_TEST(settings->gateway.callers.port == 8000);
    BOOST_TEST(settings->gateway.peers.port == 7000);
    BOOST_TEST(settings->gateway.seeds.size() == 2);
    BOOST_TEST(settings->gateway.retries.extra == 52);
    BOOST_TEST((settings->gateway.maxPropagationTime == 4s));
    BOOST_TEST(settings->gateway.coldTolerance.overrun == 1);
    BOOST_TEST(settings->gateway.coldTolerance.extra == 0);
    auto text = settingsText;
    text.replace(text.find("4000"), 4,
                 R"(9000, "evacuate-ms": 5000, "cold-overrun": 1.5, "cold-extra": 5)");
    const auto grown = parseSettings(text, problem);
    BOOST_REQUIRE_MESSAGE(grown, problem);
    BOOST_TEST((grown->gateway.maxPropagationTime == 5s));
    BOOST_TEST(grown->gateway.coldTolerance.overrun == 1.5);
    BOOST_TEST(grown->gateway.coldTolerance.extra == 5);
    BOOST_TEST(settings->registry.ip == "10.9.0.1");
}

// Guards against a promise of the registry that is misread and believed.
BOOST_AUTO_TEST_CASE(the_promised_history_is_read)
{
    const auto parse = [](const std::string &promise, std::string &problem) {
        auto text = settingsText;
        const std::string address = R"("addr": "10.9.0.1)";
        const auto at = text.find(address);
        BOOST_REQUIRE(at != std::string::npos);
        text.insert(at, promise);
        return parseSettings(text, problem);
    };
    std::string problem;
    BOOST_TEST((parse("", problem)->registryHistory == 0s));
    BOOST_TEST((parse(R"("history-s": 20, )", problem)->registryHistory == 20s));
    BOOST_TEST((parse(R"("history-s": 1e300, )", problem)->registryHistory == 120s));
    BOOST_TEST(!parse(R"("history-s": -1, )", problem));
    BOOST_TEST(problem.find("/platform/history-s") != std::string::npos);
    BOOST_TEST(!parse(R"("history-s": "20", )", problem));
}

// Guards against a limit that is misread, so that the process is ended for what it uses.
BOOST_AUTO_TEST_CASE(the_limits_of_the_process_are_read)
{
    const auto parse = [](const std::string &limits, std::string &problem) {
        auto text = settingsText;
        text.insert(text.find('{') + 1, R"("limits": {)" + limits + "},");
        return parseSettings(text, problem);
    };
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    std::string problem;
    BOOST_TEST(parse("", problem)->gateway.maxSockets == 3896U);
    BOOST_TEST(parse(R"("max-fds": 500)", problem)->gateway.maxSockets == 300U);
    BOOST_TEST(parse(R"("memory-mb": 64)", problem)->gateway.maxMemory == 64 * mebibyte);
    for (const auto *bad : {"263", "1e300", "-1", "\"500\"", "null"})
        BOOST_TEST(!parse(R"("max-fds": )" + std::string(bad), problem), bad);
    BOOST_TEST(!parse(R"("memory-mb": 0)", problem));
}

BOOST_AUTO_TEST_CASE(bad_settings_name_what_is_wrong)
{
    std::string problem;
    auto text = settingsText;
    text.replace(text.find("10.0.0.1:8000"), 13, "10.0.0.1-8000");
    BOOST_TEST(!parseSettings(text, problem));
    BOOST_TEST(problem.find("/listen/front") != std::string::npos);
    BOOST_TEST(!parseSettings("{}", problem));
    BOOST_TEST(problem.find("node-name") != std::string::npos);
    BOOST_TEST(!parseSettings("", problem));
    text = settingsText;
    text.replace(text.find("4000"), 4, "0");
    BOOST_TEST(!parseSettings(text, problem));
    BOOST_TEST(problem.find("/bounds/config-ms") != std::string::npos);
    for (const auto *bad : {R"(4000, "evacuate-ms": 0)", R"(4000, "cold-overrun": -1)",
                            R"(4000, "cold-extra": -5)"}) {
        text = settingsText;
        text.replace(text.find("4000"), 4, bad);
        BOOST_TEST(!parseSettings(text, problem), bad);
    }
}

BOOST_AUTO_TEST_CASE(prompts_and_loads_are_read)
{
    const auto prompt = readPrompt("5c1e07a2:800,zz:1,91bd3f06:410");
    BOOST_TEST(prompt.size() == 2);
    BOOST_TEST(prompt.at(1).id == 0x91bd3f06U);
    BOOST_TEST(prompt.at(1).tokens == 410);
    BOOST_TEST(readLoad("3,1,8")->waiting == 1);
    BOOST_TEST(!readLoad("3"));
    BOOST_TEST(readMaxOutputTokens("1460,80") == 80);
    BOOST_TEST(readMaxOutputTokens("1460") == 0);
    BOOST_TEST(!readLoad("a,b,c"));
}

// Guards against believing a pace that no upstream can have.
BOOST_AUTO_TEST_CASE(a_load_report_may_tell_the_pace)
{
    const auto whole = readLoad("3,1,8,250");
    BOOST_TEST((whole->slowdown == 2.5));
    BOOST_TEST((readLoad("3,1,8,100,7")->slowdown == 1.0));
    BOOST_TEST(!readLoad("3,1,8")->slowdown);
    BOOST_TEST(!readLoad("3,1")->slowdown);
    for (const auto *none : {"3,1,8,", "3,1,8,0", "3,1,8,-250", "3,1,8,10001", "3,1,8,nan",
                             "3,1,8,2.5", "3,1,8,99999999999999999999", "3,1,8, 250"}) {
        BOOST_TEST((readLoad(none)->running == 3U), none);
        BOOST_TEST(!readLoad(none)->slowdown, none);
    }
    for (const auto *bad : {"", ",", "3,", ",1,8,100", "-3,1,8,100"})
        BOOST_TEST(!readLoad(bad), bad);
}

// Guards against granting a rest that was not asked for, or one without end.
BOOST_AUTO_TEST_CASE(rest_is_granted_for_positive_seconds_alone)
{
    BOOST_TEST((readRestRequest("3") == 3000ms));
    BOOST_TEST((readRestRequest("0.5") == 500ms));
    BOOST_TEST((readRestRequest("0.0001") == 1ms));
    for (const auto *huge : {"301", "99999999999999999999", "1000000000000000000000000000000000"})
        BOOST_TEST((readRestRequest(huge) == maxRest));
    for (const auto *none : {"", "0", "0.0", "-0", "-3", "soon", "3s", " 3", "3 ", "+3", "1e3",
                             "inf", "nan", "0x10", "Wed, 21 Oct 2026 07:28:00 GMT"})
        BOOST_TEST(!readRestRequest(none), none);
}

// Guards against avoiding an upstream that does not say that it leaves.
BOOST_AUTO_TEST_CASE(only_a_one_says_that_an_upstream_leaves)
{
    BOOST_TEST(readLeaving("1"));
    for (const auto *none : {"", "0", "-1", "2", "yes", "1.0", "11", " 1"})
        BOOST_TEST(!readLeaving(none), none);
}

BOOST_AUTO_TEST_SUITE_END()
