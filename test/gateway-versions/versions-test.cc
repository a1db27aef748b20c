// Streams while engines of two versions of one service serve.
#include "version-fleet.h"

#include "applehatch/direct/version-choice.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

/// Streams in each case. Without knowledge of versions half of them would change theirs.
constexpr int streams = 8;

auto isAnswered(const std::string &answer) -> bool
{
    return answer.starts_with("HTTP/1.1 200") && answer.find("piece-3") != std::string::npos;
}

/// A refusal that tells when to come back.
auto isRefused(const std::string &answer) -> bool
{
    return answer.starts_with("HTTP/1.1 503") && !headerOf(answer, "Retry-After").empty();
}

auto nameOf(const char *kind, int number) -> std::string
{
    return std::string(kind) + '-' + std::to_string(number);
}

/// Two engines of each of two versions, and gateways that know each other.
class TwoVersions : public VersionFleet
{
public:
    TwoVersions()
    {
        for (const auto *version : {"v1", "v2"}) {
            addEngine(version);
            addEngine(version);
        }
        publish();
        BOOST_REQUIRE(meet());
    }

    auto v1() -> VersionedEngine & { return engines.front(); }
    auto v2() -> VersionedEngine & { return engines.back(); }
};

/// Returns the version at which the stream that a request begins has to begin among these engines.
auto ownerOf(const std::string &id, const std::list<const VersionedEngine *> &engines)
    -> std::string
{
    direct::UpstreamList list;
    for (const auto *engine : engines) {
        list.push_back(engine->upstream.entry("pool"));
        list.back().version = engine->version;
    }
    direct::VersionChoice choice;
    choice.setUpstreams(list, 1, {});
    return *choice.versionFor("pool", direct::streamKey("acme", id));
}

/// One engine of each of the versions, and gateways that know each other.
class MetFleet : public VersionFleet
{
public:
    explicit MetFleet(const std::vector<std::string> &versions)
    {
        for (const auto &version : versions)
            addEngine(version);
        publish();
        BOOST_REQUIRE(meet());
    }

    auto firstEngine() -> VersionedEngine & { return engines.front(); }
};

/// A stream began at the first version; since then all engines are of the second.
class ReplacedVersion : public TwoVersions
{
public:
    ReplacedVersion()
    {
        beginAndBreak(*first, "a", v1());
        openAll();
        for (auto &engine : engines) {
            if (engine.version == v1().version)
                setState(engine, "");
        }
        publish();
    }

    auto expectNothingTakenUp() -> void
    {
        for (int i = 0; i < streams; ++i) {
            BOOST_TEST(isRefused(resume(*first, nameOf("b", i), "a")));
            BOOST_TEST(isRefused(resume(*second, nameOf("c", i), "a")));
            BOOST_TEST(isRefused(ask(*second, nameOf("d", i), "Last-Event-Id: 1\r\n")));
        }
        BOOST_TEST(resumedAt("v2") == 0U);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_versions)

// Guards against events of two versions in one answer.
BOOST_AUTO_TEST_CASE(within_one_answer_a_stream_goes_on_at_its_version_alone)
{
    TwoVersions fleet;
    fleet.v1().ending = Ending::Reset;
    for (int i = 0; i < 3 * streams; ++i)
        fleet.ask(*fleet.first, nameOf("a", i), {}, "/thrice/");
    BOOST_TEST(fleet.resumedAt("v1") > 0U);
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against a stream that changes its version because no other engine of its own is left.
BOOST_AUTO_TEST_CASE(a_stream_whose_version_has_no_engine_left_is_broken_off)
{
    TwoVersions fleet;
    fleet.setState(fleet.v1(), "draining");
    fleet.publish();
    auto &lastOfV1 = *std::next(fleet.engines.begin());
    lastOfV1.ending = Ending::Reset;
    for (int i = 0; i < 3 * streams; ++i)
        fleet.ask(*fleet.first, nameOf("a", i), {}, "/thrice/");
    BOOST_TEST(lastOfV1.requests() > 0U);
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against a caller that takes its stream up at another version.
BOOST_AUTO_TEST_CASE(a_stream_taken_up_goes_on_at_its_version_at_any_gateway)
{
    TwoVersions fleet;
    for (int i = 0; i < streams; ++i) {
        fleet.beginAndBreak(*fleet.first, nameOf("a", i), fleet.v1());
        fleet.openAll();
        auto &gateway = i % 2 == 0 ? *fleet.first : *fleet.second;
        BOOST_TEST(isAnswered(fleet.resume(gateway, nameOf("b", i), nameOf("a", i))));
    }
    BOOST_TEST(fleet.resumedAt("v1") == static_cast<std::size_t>(streams));
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against forgetting a stream's version with the gateway that ends at its first event.
BOOST_AUTO_TEST_CASE(a_stream_outlives_the_gateway_that_ended_at_its_first_event)
{
    for (const auto *version : {"v1", "v2"}) {
        TwoVersions fleet;
        fleet.beginAndBreak(*fleet.first, "a",
                            version == fleet.v1().version ? fleet.v1() : fleet.v2());
        fleet.first->isRunning = false;
        fleet.openAll();
        for (int i = 0; i < streams; ++i)
            BOOST_TEST(isAnswered(fleet.resume(*fleet.second, nameOf("b", i), "a")));
        BOOST_TEST(fleet.resumedAt(version) == static_cast<std::size_t>(streams));
    }
}

// Guards against forgetting the streams that began before the second version came.
BOOST_AUTO_TEST_CASE(a_stream_from_before_the_second_version_goes_on_at_the_first)
{
    TwoVersions fleet;
    fleet.beginAndBreak(*fleet.first, "a", fleet.v1(), "");
    fleet.openAll();
    fleet.runFor(100ms);
    fleet.first->isRunning = false;
    for (int i = 0; i < streams; ++i)
        BOOST_TEST(isAnswered(fleet.resume(*fleet.second, nameOf("b", i), "a")));
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against a guess by a gateway that has just started.
BOOST_AUTO_TEST_CASE(a_gateway_that_has_just_started_learns_the_version_from_a_peer)
{
    TwoVersions fleet;
    fleet.beginAndBreak(*fleet.first, "a", fleet.v2());
    fleet.openAll();
    fleet.restartSecond();
    BOOST_REQUIRE(fleet.meet());
    for (int i = 0; i < streams; ++i)
        BOOST_TEST(isAnswered(fleet.resume(*fleet.second, nameOf("b", i), "a")));
    BOOST_TEST(fleet.resumedAt("v1") == 0U);
}

// Guards against a stream that is taken up twice and changes its version the second time.
BOOST_AUTO_TEST_CASE(a_stream_taken_up_again_and_again_stays_at_its_version)
{
    TwoVersions fleet;
    fleet.beginAndBreak(*fleet.first, "a", fleet.v1());
    fleet.openAll();
    for (auto &engine : fleet.engines)
        engine.ending = Ending::Silent;
    for (int i = 0; i < streams; ++i) {
        auto &gateway = i % 2 == 0 ? *fleet.first : *fleet.second;
        fleet.resume(gateway, nameOf("b", i), "a", "piece-2");
    }
    BOOST_TEST(fleet.resumedAt("v1") == static_cast<std::size_t>(streams));
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against a guess where nobody knows what began the stream.
BOOST_AUTO_TEST_CASE(a_stream_that_nobody_knows_is_refused_at_once_while_two_versions_serve)
{
    TwoVersions fleet;
    fleet.history = std::nullopt;
    for (int i = 0; i < streams; ++i) {
        BOOST_TEST(isRefused(fleet.resume(*fleet.first, nameOf("b", i), "never-sent")));
        BOOST_TEST(isRefused(fleet.ask(*fleet.first, nameOf("c", i), "Last-Event-Id: 1\r\n")));
    }
    BOOST_TEST(fleet.resumedAt("v1") + fleet.resumedAt("v2") == 0U);
}

// Guards against refusing a stream that can have begun at one version alone, and against letting it
// go on at another.
BOOST_AUTO_TEST_CASE(a_stream_that_nobody_knows_goes_on_at_the_version_of_its_owner)
{
    TwoVersions fleet;
    std::list<const VersionedEngine *> engines;
    for (const auto &engine : fleet.engines)
        engines.push_back(&engine);
    for (int i = 0; i < 3 * streams; ++i) {
        const auto owner = ownerOf(nameOf("a", i), engines);
        const auto before = fleet.resumedAt(owner);
        BOOST_TEST(isAnswered(fleet.resume(*fleet.first, nameOf("b", i), nameOf("a", i))));
        BOOST_TEST(fleet.resumedAt(owner) == before + 1);
        BOOST_TEST(isRefused(fleet.ask(*fleet.first, nameOf("c", i), "Last-Event-Id: 1\r\n")));
    }
    BOOST_TEST(fleet.resumedAt("v1") > 0U);
    BOOST_TEST(fleet.resumedAt("v2") > 0U);
}

// Guards against a stream that begins where nobody would look for it once all gateways have ended.
BOOST_AUTO_TEST_CASE(a_stream_begins_at_the_version_of_its_owner)
{
    TwoVersions fleet;
    std::list<const VersionedEngine *> engines;
    for (const auto &engine : fleet.engines)
        engines.push_back(&engine);
    const auto requestsAt = [&](const std::string &version) {
        std::size_t requests = 0;
        for (const auto &engine : fleet.engines)
            requests += engine.version == version ? engine.requests() : 0;
        return requests;
    };
    for (int i = 0; i < 3 * streams; ++i) {
        const auto owner = ownerOf(nameOf("a", i), engines);
        const auto before = requestsAt(owner);
        BOOST_TEST(isAnswered(fleet.ask(*fleet.first, nameOf("a", i))));
        BOOST_TEST(requestsAt(owner) == before + 1);
    }
}

// Guards against telling one customer of another's stream.
BOOST_AUTO_TEST_CASE(a_stream_of_another_customer_is_not_found)
{
    TwoVersions fleet;
    fleet.beginAndBreak(*fleet.first, "a", fleet.v1());
    fleet.openAll();
    fleet.history = std::nullopt;
    fleet.key = "key-2";
    BOOST_TEST(isRefused(fleet.resume(*fleet.first, "b", "a")));
    fleet.key = "key-1";
    BOOST_TEST(isAnswered(fleet.resume(*fleet.first, "c", "a")));
}

// Guards against waiting, or changing the version, when that of the stream serves no more.
BOOST_AUTO_TEST_CASE(a_stream_whose_version_serves_no_more_is_refused_at_once)
{
    TwoVersions fleet;
    fleet.beginAndBreak(*fleet.first, "a", fleet.v1());
    fleet.openAll();
    for (auto &engine : fleet.engines) {
        if (engine.version == "v1")
            fleet.setState(engine, "draining");
    }
    fleet.publish();
    BOOST_TEST(isRefused(fleet.resume(*fleet.first, "b", "a")));
    BOOST_TEST(isRefused(fleet.resume(*fleet.second, "c", "a")));
    BOOST_TEST(fleet.resumedAt("v1") + fleet.resumedAt("v2") == 0U);
}

// Guards against refusing streams where there is only one version.
BOOST_AUTO_TEST_CASE(with_one_version_every_stream_is_taken_up)
{
    MetFleet fleet({"v1", "v1"});
    for (int i = 0; i < streams; ++i) {
        BOOST_TEST(isAnswered(fleet.resume(*fleet.first, nameOf("b", i), "never-sent")));
        BOOST_TEST(isAnswered(fleet.ask(*fleet.second, nameOf("c", i), "Last-Event-Id: 1\r\n")));
    }
}

// Guards against taking the version that is left, when all gateways ended, for the only one.
BOOST_AUTO_TEST_CASE(a_stream_of_a_version_that_left_as_all_gateways_ended_is_refused)
{
    ReplacedVersion fleet;
    fleet.history = direct::RegistryHistory{{fleet.removed(fleet.v1())}, 20s, 1};
    fleet.restartAll();
    fleet.expectNothingTakenUp();
    BOOST_REQUIRE(fleet.meet()); // Two that know nothing do not become sure together.
    fleet.expectNothingTakenUp();
}

// Guards against reading only the list, where the store's history names the version that left.
BOOST_AUTO_TEST_CASE(a_stream_of_a_version_that_the_history_names_is_refused)
{
    ReplacedVersion fleet;
    fleet.history = direct::RegistryHistory{
        {fleet.written(fleet.v1(), "draining"), fleet.removed(fleet.v1())}, 20s, 1};
    fleet.restartAll();
    fleet.expectNothingTakenUp();
    BOOST_REQUIRE(fleet.meet());
    fleet.expectNothingTakenUp();
}

// Guards against trusting a store that has forgotten its history, or does not answer.
BOOST_AUTO_TEST_CASE(a_stream_is_refused_while_the_history_cannot_be_read)
{
    ReplacedVersion fleet;
    fleet.history = std::nullopt;
    fleet.restartAll();
    fleet.expectNothingTakenUp();
}

// Guards against callers that wait for a store that is slow in telling its history.
BOOST_AUTO_TEST_CASE(nobody_waits_long_for_a_history_that_does_not_come)
{
    ReplacedVersion fleet;
    fleet.restartAll();
    fleet.first->host.onHistoryWanted([] {});
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < streams; ++i)
        BOOST_TEST(isRefused(fleet.resume(*fleet.first, nameOf("b", i), "a")));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 3s));
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against a history that is shorter than streams last.
BOOST_AUTO_TEST_CASE(a_history_that_is_too_short_proves_nothing)
{
    ReplacedVersion fleet;
    fleet.history = direct::RegistryHistory{{}, 1s, 1};
    fleet.restartAll();
    fleet.expectNothingTakenUp();
}

// Guards against refusing the streams of a fleet that never had another version.
BOOST_AUTO_TEST_CASE(with_one_version_every_stream_is_taken_up_after_all_gateways_ended)
{
    MetFleet fleet({"v1", "v1"});
    auto &engine = fleet.firstEngine();
    fleet.beginAndBreak(*fleet.first, "a", engine);
    fleet.openAll();
    fleet.history = direct::RegistryHistory{{fleet.written(engine, "ready")}, 20s, 1};
    fleet.restartAll();
    BOOST_TEST(isAnswered(fleet.resume(*fleet.first, "b", "a")));
    for (int i = 0; i < streams; ++i) {
        BOOST_TEST(isAnswered(fleet.resume(*fleet.second, nameOf("c", i), "a")));
        BOOST_TEST(isAnswered(fleet.ask(*fleet.second, nameOf("d", i), "Last-Event-Id: 1\r\n")));
    }
}

// Guards against a version that joined and left again between two looks at the list.
BOOST_AUTO_TEST_CASE(a_version_that_came_and_went_within_one_answer_counts)
{
    MetFleet fleet({"v1", "v1"});
    fleet.openAll();
    VersionedEngine brief(fleet.loop, "brief", "v2");
    auto written = fleet.written(brief, "ready");
    auto removed = fleet.removed(brief);
    written.item.revision = 1000;
    removed.item.revision = 1001;
    fleet.first->host.registryChanged({written, removed}, 1001);
    std::list<const VersionedEngine *> engines = {&brief};
    for (const auto &engine : fleet.engines)
        engines.push_back(&engine);
    std::size_t unowned = 0;
    for (int i = 0; i < 8 * streams; ++i) {
        const auto answer = fleet.resume(*fleet.first, nameOf("b", i), nameOf("a", i));
        const auto wasBrief = ownerOf(nameOf("a", i), engines) == "v2";
        BOOST_TEST((wasBrief ? isRefused(answer) : isAnswered(answer)));
        unowned += wasBrief ? 0 : 1;
    }
    BOOST_TEST(unowned < static_cast<std::size_t>(8 * streams));
    BOOST_TEST(fleet.resumedAt("v1") == unowned);
}

// Guards against an odd entry that makes all streams of a fleet of one version unknown.
BOOST_AUTO_TEST_CASE(an_entry_that_could_never_be_read_leaves_the_history_whole)
{
    for (const auto wasWrittenBefore : {false, true}) {
        MetFleet fleet({"v1", "v1"});
        fleet.beginAndBreak(*fleet.first, "a", fleet.firstEngine());
        fleet.openAll();
        direct::RegistryChange odd{{"servers/odd", "[", 8, 8}, false};
        odd.item.created = wasWrittenBefore ? 4 : 8;
        fleet.history = direct::RegistryHistory{{odd}, 20s, 1};
        fleet.restartAll();
        const auto answer = fleet.resume(*fleet.first, "b", "a");
        BOOST_TEST((wasWrittenBefore ? isRefused(answer) : isAnswered(answer)));
    }
}

// Guards against a stream that is taken up at the only version and sent again to one that has come.
BOOST_AUTO_TEST_CASE(a_stream_taken_up_at_the_only_version_stays_there_when_another_comes)
{
    MetFleet fleet({"v1"});
    auto &engine = fleet.firstEngine();
    engine.ending = Ending::ResetAtOnce;
    engine.answered = [&] {
        fleet.addEngine("v2");
        fleet.publish();
        engine.answered = nullptr;
    };
    fleet.ask(*fleet.first, "b", "Last-Event-Id: 1\r\nResumes: a\r\n", "/thrice/");
    BOOST_TEST(fleet.resumedAt("v1") > 0U);
    BOOST_TEST(fleet.resumedAt("v2") == 0U);
}

// Guards against mixing engines that tell their version with engines that do not.
BOOST_AUTO_TEST_CASE(engines_that_tell_no_version_are_a_version_of_their_own)
{
    MetFleet fleet({"", "v1"});
    fleet.beginAndBreak(*fleet.first, "a", fleet.firstEngine());
    fleet.openAll();
    for (int i = 0; i < streams; ++i)
        BOOST_TEST(isAnswered(fleet.resume(*fleet.second, nameOf("b", i), "a")));
    BOOST_TEST(fleet.resumedAt("v1") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
