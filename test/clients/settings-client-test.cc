#include "applehatch/clients/http.h"
#include "applehatch/clients/settings-client.h"
#include "applehatch/emulator/platform.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

namespace {

using namespace applehatch;
using namespace std::chrono_literals;
using emulator::Service;

template <typename Condition>
auto waitUntil(Condition condition) -> void
{
    while (!condition()) {
        std::this_thread::sleep_for(1ms);
    }
}

auto http(const std::string &headers, const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

/// A complete response whose Content-Length is correct.
auto whole(const std::string &headers, const std::string &body) -> std::string
{
    return http(headers + "Content-Length: " + std::to_string(body.size()) + "\r\n", body);
}

auto row(const std::string &value) -> std::string
{
    return whole("X-Consul-Index: 5\r\n",
                 R"([{"Key": "teams/ledgerworks", "ModifyIndex": 4, "Value": )" + value + "}]");
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_client)

BOOST_AUTO_TEST_CASE(a_read_gives_every_team_with_its_index)
{
    emulator::Platform platform;
    const clients::SettingsClient client(platform.address());
    core::SettingsRead read;
    BOOST_TEST(!client.read(std::nullopt, 1s, read));
    BOOST_TEST(read.index == 1U);
    BOOST_TEST(read.texts.empty());

    for (const std::string text : {"", "a", "ab", "abc", "{ \"pools\": {} } // \xc3\xa9"}) {
        const auto index = platform.putTeam("ledgerworks", text);
        BOOST_TEST(!client.read(std::nullopt, 1s, read));
        BOOST_TEST(read.index == index);
        BOOST_REQUIRE(read.texts.size() == 1U);
        BOOST_TEST(read.texts[0].team == "ledgerworks");
        BOOST_TEST(read.texts[0].index == index);
        BOOST_TEST(*read.texts[0].text == text);
    }
}

BOOST_AUTO_TEST_CASE(a_watch_is_held_until_the_index_rises_and_counts_as_one_call)
{
    emulator::Platform platform;
    const auto index = platform.putTeam("ledgerworks", "{}");
    const clients::SettingsClient client(platform.address());
    core::SettingsRead read;
    auto watch = std::async(std::launch::async, [&] { return client.read(index, 60s, read); });
    waitUntil([&] { return platform.calls().waiting == 1; });
    const auto next = platform.putTeam("cwm-taf", "{}");
    BOOST_TEST(!watch.get());
    BOOST_TEST(read.index == next);
    BOOST_TEST(read.texts.size() == 2U);
    BOOST_TEST(platform.calls().settings == 1U);
}

// Guards against two faults when a watch ends without a change: sending the whole tree each time,
// which would be most of a reader's control traffic, and taking the bodiless answer for an empty
// tree, which would remove every team.
BOOST_AUTO_TEST_CASE(a_watch_that_ends_without_a_change_brings_no_tree)
{
    emulator::Platform platform;
    const auto index = platform.putTeam("ledgerworks", "{}");
    const clients::SettingsClient client(platform.address());
    core::SettingsRead read;
    BOOST_TEST(!client.read(index, 0s, read));
    BOOST_TEST(read.unchanged);
    BOOST_TEST(read.index == index);
    BOOST_TEST(platform.calls().settingsUnchanged == 1U);
    BOOST_TEST(!client.read(index - 1, 0s, read));
    BOOST_TEST(!read.unchanged);
    BOOST_TEST(read.texts.size() == 1U);
    BOOST_TEST(platform.calls().settingsUnchanged == 1U);
}

// Guards against a stop that waits for a pending watch: when a host is replaced, each stop would
// take seconds longer, and a rollout over the fleet minutes.
BOOST_AUTO_TEST_CASE(a_watch_under_way_ends_when_its_reader_stops)
{
    emulator::Platform platform;
    const auto index = platform.putTeam("ledgerworks", "{}");
    clients::SettingsClient client(platform.address());
    core::SettingsRead read;
    auto watch = std::async(std::launch::async, [&] { return client.read(index, 600s, read); });
    waitUntil([&] { return platform.calls().waiting == 1; });
    client.stop();
    BOOST_TEST(watch.get() == std::make_error_code(std::errc::operation_canceled));
    BOOST_TEST(client.read(std::nullopt, 1s, read)
               == std::make_error_code(std::errc::operation_canceled));
}

BOOST_AUTO_TEST_CASE(a_stale_or_reverted_service_answers_an_older_tree)
{
    emulator::Platform platform;
    const auto older = platform.putTeam("ledgerworks", "old");
    platform.putTeam("ledgerworks", "new");
    const clients::SettingsClient client(platform.address());
    core::SettingsRead read;
    platform.setStale(older);
    BOOST_TEST(!client.read(std::nullopt, 1s, read));
    BOOST_TEST(*read.texts.at(0).text == "old");
    platform.setStale(std::nullopt);
    BOOST_TEST(!client.read(std::nullopt, 1s, read));
    BOOST_TEST(*read.texts.at(0).text == "new");
    platform.revertTo(older);
    BOOST_TEST(!client.read(std::nullopt, 1s, read));
    BOOST_TEST(read.index == older);
}

// Guards against malformed answers from the configuration service and the host list, which are
// external programs: behind a broken proxy or during a restart they may answer anything. Accepting
// half an answer would remove teams, and a crash would leave users without a router.
BOOST_AUTO_TEST_CASE(a_broken_answer_is_an_error_and_changes_nothing)
{
    struct Row
    {
        const char *name;
        Service service;
        std::string bytes;
        std::errc error;
    };
    const std::string list = R"({"version": 1, "hosts": [{"ip": "127.0.0.1", "state": )";
    const auto bad = std::errc::bad_message;
    const std::vector<Row> rows{
        {"no bytes", Service::Settings, "", bad},
        {"garbage", Service::Settings, std::string("\x00\x01\xff garbage\r\n\r\n", 14), bad},
        {"head cut short", Service::Settings, "HTTP/1.1 200 OK\r\nX-Consul", bad},
        {"no index", Service::Settings, whole("", "[]"), bad},
        {"index is no number", Service::Settings, whole("X-Consul-Index: 5x\r\n", "[]"), bad},
        {"index is negative", Service::Settings, whole("X-Consul-Index: -5\r\n", "[]"), bad},
        {"index too large", Service::Settings,
         whole("X-Consul-Index: 99999999999999999999\r\n", "[]"), bad},
        {"no JSON", Service::Settings, whole("X-Consul-Index: 5\r\n", "<html>"), bad},
        {"JSON cut short", Service::Settings, whole("X-Consul-Index: 5\r\n", "[{"), bad},
        {"no array", Service::Settings, whole("X-Consul-Index: 5\r\n", "{}"), bad},
        {"row is no object", Service::Settings, whole("X-Consul-Index: 5\r\n", "[7]"), bad},
        {"key of wrong type", Service::Settings, whole("X-Consul-Index: 5\r\n", R"([{"Key": 7}])"),
         bad},
        {"body shorter than told", Service::Settings,
         http("X-Consul-Index: 5\r\nContent-Length: 200\r\n", "[]"), bad},
        {"body larger than taken", Service::Settings,
         http("X-Consul-Index: 5\r\nContent-Length: 999999999\r\n", "[]"), std::errc::message_size},
        {"unchanged, unasked", Service::Settings, "HTTP/1.1 304 -\r\nX-Consul-Index: 5\r\n\r\n",
         bad},
        {"value missing", Service::Settings, row("null"), bad},
        {"value not base64", Service::Settings, row("\"****\""), bad},
        {"base64 with blanks", Service::Settings, row("\"e30 \""), bad},
        {"base64 without padding", Service::Settings, row("\"e30\""), bad},
        {"base64 with stray bits", Service::Settings, row("\"e31=\""), bad},
        {"padding inside", Service::Settings, row("\"e3==e30=\""), bad},
        {"status 500", Service::Settings,
         "HTTP/1.1 500 -\r\nX-Consul-Index: 9\r\nContent-Length: 2\r\n\r\n[]", bad},
        {"hosts: no JSON", Service::HostList, whole("", "hosts"), bad},
        {"hosts: cut short", Service::HostList, whole("", list), bad},
        {"hosts: unknown state", Service::HostList, whole("", list + R"("gone"}]})"), bad},
        {"hosts: no version", Service::HostList, whole("", R"({"hosts": []})"), bad},
        {"hosts: an array", Service::HostList, whole("", "[]"), bad},
        {"hosts: row is no object", Service::HostList, whole("", R"({"version":1,"hosts":[1]})"),
         bad},
    };
    emulator::Platform platform;
    const clients::SettingsClient settings(platform.address());
    const clients::HostListClient hosts(platform.address());
    for (const auto &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            platform.setRawAnswer(row.service, row.bytes);
            core::SettingsRead read{77, {}};
            core::HostList list77{77, {}};
            const auto failed = row.service == Service::Settings
                ? settings.read(std::nullopt, 1s, read)
                : hosts.read(1s, list77);
            BOOST_TEST(failed == std::make_error_code(row.error));
            BOOST_TEST(read.index == 77U);
            BOOST_TEST(list77.version == 77U);
        }
    }
}

// Guards against one stray key blocking every team's changes: a key below a team, or a folder's own
// key, is no team and must not make the whole answer invalid.
BOOST_AUTO_TEST_CASE(keys_that_are_no_team_are_passed_over)
{
    emulator::Platform platform;
    platform.setRawAnswer(Service::Settings,
                          whole("X-Consul-Index: 5\r\n",
                                R"([{"Key": "teams/", "Value": null, "ModifyIndex": 1},
                  {"Key": "teams/a/b", "Value": "e30=", "ModifyIndex": 2},
                  {"Key": "teams/a", "Value": "e30=", "ModifyIndex": 3}])"));
    core::SettingsRead read;
    BOOST_TEST(!clients::SettingsClient(platform.address()).read(std::nullopt, 1s, read));
    BOOST_REQUIRE(read.texts.size() == 1U);
    BOOST_TEST(*read.texts[0].text == "{}");
}

// Guards against resending an unchanged list: every process reads the list every few seconds, and
// it changes a few hundred times a day. It would be the largest part of all control traffic.
BOOST_AUTO_TEST_CASE(an_unchanged_host_list_is_not_sent_again)
{
    emulator::Platform platform;
    platform.setHost("127.0.0.9", core::HostState::Live);
    const clients::HostListClient client(platform.address());
    core::HostList list;
    BOOST_TEST(!client.read(5s, list));
    const auto first = list;
    BOOST_TEST(!client.read(5s, list));
    BOOST_TEST(platform.calls().hostListUnchanged == 1U);
    BOOST_TEST((list.hosts == first.hosts));
    BOOST_TEST(list.version == first.version);
    platform.setHost("127.0.0.9", core::HostState::Leaving);
    BOOST_TEST(!client.read(5s, list));
    BOOST_TEST(platform.calls().hostListUnchanged == 1U);
    BOOST_TEST((list.hosts == std::vector{core::Host{"127.0.0.9", core::HostState::Leaving}}));
}

// Guards against a stale list after the platform is set up anew: it counts from 1 again and reaches
// the version that a process has, with other hosts, so a conditional read answers "unchanged". Only
// a process that discards its version learns that a host left; others keep sending it work.
BOOST_AUTO_TEST_CASE(a_list_without_a_version_is_read_whole)
{
    emulator::Platform before;
    emulator::Platform anew;
    before.setHost("127.0.0.9", core::HostState::Live);
    anew.setHost("127.0.0.9", core::HostState::Leaving);
    core::HostList list;
    BOOST_TEST(!clients::HostListClient(before.address()).read(5s, list));
    const auto version = list.version;
    const clients::HostListClient client(anew.address());
    BOOST_TEST(!client.read(5s, list));
    BOOST_TEST(anew.calls().hostListUnchanged == 1U);
    list.version = 0;
    BOOST_TEST(!client.read(5s, list));
    BOOST_TEST(list.version == version);
    BOOST_TEST((list.hosts == std::vector{core::Host{"127.0.0.9", core::HostState::Leaving}}));
}

// Guards against a read that never returns: while the service restarts, connections are refused,
// closed at once, or accepted and left silent. The thread would hang and receive no more changes.
BOOST_AUTO_TEST_CASE(a_service_that_is_down_or_silent_is_reported_in_time)
{
    auto platform = std::make_unique<emulator::Platform>();
    platform->setHost("127.0.0.9", core::HostState::Leaving);
    const auto address = platform->address();
    const clients::HostListClient client(address);
    core::HostList list;
    BOOST_TEST(!client.read(5s, list));
    BOOST_TEST((list.hosts == std::vector{core::Host{"127.0.0.9", core::HostState::Leaving}}));

    platform->setDown(Service::HostList, true);
    BOOST_TEST(client.read(5s, list) == std::make_error_code(std::errc::bad_message));
    platform->setDown(Service::HostList, false);
    platform->setDelay(60s);
    BOOST_TEST(client.read(50ms, list) == std::make_error_code(std::errc::timed_out));
    platform.reset();
    BOOST_TEST(client.read(5s, list) == std::make_error_code(std::errc::connection_refused));
}

// Guards against a firewall that drops the connection state in the middle of an answer, so that
// neither more bytes nor an end arrive. The reading thread would wait forever, and the process
// would never receive another change.
BOOST_AUTO_TEST_CASE(an_answer_that_falls_silent_half_way_is_given_up_in_time)
{
    emulator::Platform platform;
    const auto head = std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n");
    for (const auto &bytes : {head + "\r\n{\"version\"", head, std::string()}) {
        platform.setRawAnswer(Service::HostList, bytes, true);
        core::HostList list;
        const auto failed = clients::HostListClient(platform.address()).read(100ms, list);
        BOOST_TEST(failed == std::make_error_code(std::errc::timed_out));
    }
}

BOOST_AUTO_TEST_CASE(the_weight_store_refuses_beyond_its_rate)
{
    emulator::Platform platform;
    platform.setWeightRate(1);
    clients::HttpRequest request;
    request.server = platform.address();
    request.path = "/v1/weights/sheet-writer";
    clients::HttpResponse response;
    BOOST_TEST(!clients::exchange(request, response));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(!clients::exchange(request, response));
    BOOST_TEST(response.status == 429);
    BOOST_TEST(response.header("retry-after") == "1");
}

BOOST_AUTO_TEST_CASE(control_calls_change_the_standin)
{
    emulator::Platform platform;
    clients::HttpRequest request;
    request.server = platform.address();
    request.method = "POST";
    request.path = "/control";
    request.body = R"({"putTeam": {"team": "a", "text": "{}"}, "down": ["hostList"]})";
    clients::HttpResponse response;
    BOOST_TEST(!clients::exchange(request, response));
    BOOST_TEST(response.status == 200);
    core::SettingsRead read;
    core::HostList list;
    BOOST_TEST(!clients::SettingsClient(platform.address()).read(std::nullopt, 1s, read));
    BOOST_TEST(read.texts.size() == 1U);
    BOOST_TEST(!!clients::HostListClient(platform.address()).read(1s, list));
    request.body = R"({"noSuchOrder": 1})";
    BOOST_TEST(!clients::exchange(request, response));
    BOOST_TEST(response.status == 400);
}

BOOST_AUTO_TEST_SUITE_END()
