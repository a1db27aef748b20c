// What a gateway reads of the registry's past.
#include "directory-decoder.h"
#include "platform-vocabulary.h"
#include "registry-history.h"

#include "applehatch/telemetry/clock.h"
#include "gateway/gateway-fixture.h"
#include "support/base64.h"

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <map>

namespace {

using namespace applehatch;
using namespace applehatch::gateway::testing;
using applehatch::telemetry::steadyNow;
using applehatch::testing::base64;

/// Revision of the store when the gateway reads its list.
constexpr std::uint64_t newest = 1000;
constexpr auto promised = core::Duration(20s);

auto entry(const std::string &version) -> std::string
{
    return R"({"service":"pool","addr":"127.0.0.1:9","zone":"here","slots":4,"state":"ready",)"
           R"("version":")"
        + version + "\"}";
}

/// A store that holds the changes after one revision, and a gateway whose list has one engine of
/// version v2.
class Past
{
public:
    explicit Past(std::uint64_t held)
        : held_(held)
        , server(loop, "store",
                 [this](auto &connection, const auto &request) { answer(connection, request); })
        , gateway(loop, {}, platform::platformVocabulary(), platform::DirectoryDecoder())
        , reader(loop, gateway, server.entry("store").address, promised)
    {
        gateway.onHistoryWanted([this] { reader.start(); });
        gateway.registryRead(
            {newest,
             {{"servers/now", entry("v2"), 1}, {"op/config", R"({"version":1,"routes":[]})", 1}}});
    }

    auto write(std::uint64_t revision, const std::string &name, const std::string &version) -> void
    {
        changes_[revision] = R"({"key":"servers/)" + name + R"(","value":")"
            + base64(entry(version)) + R"(","revision":)" + std::to_string(revision) + "}";
    }
    auto remove(std::uint64_t revision, const std::string &name) -> void
    {
        changes_[revision] = R"({"key":"servers/)" + name + R"(","removed":true,"revision":)"
            + std::to_string(revision) + "}";
    }

    auto read() -> void
    {
        reader.start();
        BOOST_TEST(runUntil(loop, [this] { return isEnded(); }));
    }
    [[nodiscard]] auto knowledge() -> core::Duration
    {
        return gateway.dispatcher().streams().ownKnowledge(steadyNow());
    }
    [[nodiscard]] auto isMixed() -> bool
    {
        return gateway.dispatcher().streams().isMixed("pool", steadyNow());
    }

    std::size_t calls = 0;
    std::string failure; ///< Answers all calls if it is set.
    asio::io_context loop{1};

private:
    auto answer(ScriptedConnection &connection, const std::string &request) -> void
    {
        ++calls;
        const auto send = [&](const std::string &status, const std::string &body) {
            connection.send("HTTP/1.1 " + status + "\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body);
        };
        if (!failure.empty())
            return send(failure, "");
        const auto at = request.find("after=") + 6;
        std::uint64_t after = 0;
        std::from_chars(request.data() + at, request.data() + request.size(), after);
        if (after < held_)
            return send("410 Gone", "{}");
        std::string events;
        for (auto change = changes_.upper_bound(after); change != changes_.end(); ++change)
            events += (events.empty() ? "" : ",") + change->second;
        send("200 OK",
             R"({"events":[)" + events + R"(],"current-rev":)" + std::to_string(newest) + "}");
    }
    /// No call came for a while.
    auto isEnded() -> bool
    {
        const auto before = calls;
        loop.restart();
        loop.run_for(50ms);
        return calls == before;
    }

    std::uint64_t held_;
    std::map<std::uint64_t, std::string> changes_;

public:
    ScriptedUpstream server;
    gateway::GatewayHost gateway;
    platform::RegistryHistoryReader reader;
};

} // namespace

BOOST_AUTO_TEST_SUITE(registry_history)

BOOST_AUTO_TEST_CASE(a_calm_registry_costs_one_call)
{
    Past past(newest);
    past.read();
    BOOST_TEST(past.calls == 1U);
    BOOST_TEST((past.knowledge() >= promised));
    BOOST_TEST(!past.isMixed());
}

// Guards against a search that ends before the oldest change, or costs a call for each.
BOOST_AUTO_TEST_CASE(all_changes_that_are_held_are_found_in_a_few_calls)
{
    for (const std::uint64_t held : {0U, 1U, 500U, 937U, 998U}) {
        Past past(held);
        past.write(held + 1, "before", "v1");
        past.remove(newest, "before");
        past.read();
        BOOST_TEST(past.calls <= 16U);
        BOOST_TEST(past.isMixed());
        BOOST_TEST((past.knowledge() >= promised));
    }
}

// Guards against an engine of an unknown version that left.
BOOST_AUTO_TEST_CASE(a_removal_of_what_the_history_does_not_name_proves_nothing)
{
    Past past(900);
    past.remove(950, "before");
    past.read();
    BOOST_TEST((past.knowledge() < 5s));
}

// Guards against an entry that cannot be read and may be of another version.
BOOST_AUTO_TEST_CASE(a_change_that_cannot_be_read_proves_nothing)
{
    Past past(900);
    past.write(950, "before", "v1\"broken");
    past.read();
    BOOST_TEST((past.knowledge() < 5s));
}

// Guards against a registry that refuses, or is busy, and is taken for a calm one.
BOOST_AUTO_TEST_CASE(a_registry_that_does_not_answer_proves_nothing)
{
    for (const auto *failure : {"503 Busy", "429 Slow Down"}) {
        Past past(newest);
        past.failure = failure;
        past.read();
        BOOST_TEST((past.knowledge() < 5s));
    }
}

BOOST_AUTO_TEST_SUITE_END()
