#include "applehatch/admin/api.h"

#include "admin/openapi.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>

namespace {

using namespace applehatch;
using namespace applehatch::admin;
using namespace std::chrono_literals;
using nlohmann::json;

// The SHA-256 of "orchard".
constexpr auto orchardHash = "68566dc699f6bb9ea6330371b5dd1c402ae6f717dd30ef15a88d1a7a6afaf8c7";

auto teamOf(const std::string &name, const std::string &hash)
    -> std::shared_ptr<const settings::Team>
{
    settings::Team team;
    team.name = name;
    team.index = 7;
    team.adminTokenHash = hash;
    auto &pool = team.pools["drafting"];
    pool.team = name;
    pool.name = "drafting";
    pool.models = {"sheet-writer"};
    for (const auto *memberName : {"eng-01", "eng-02"}) {
        settings::Member member;
        member.name = memberName;
        member.id = settings::upstreamId(name, pool.name, memberName);
        member.slots = 8;
        pool.members.push_back(member);
    }
    team.customers["branch-east"] = {"branch-east", 2.0, 4};
    return std::make_shared<const settings::Team>(std::move(team));
}

auto settingsOf(const std::string &hash) -> core::SettingsPtr
{
    settings::Settings all;
    all.index = 9;
    all.teams["ledgerworks"] = teamOf("ledgerworks", hash);
    return std::make_shared<const settings::Settings>(std::move(all));
}

auto sourceOf(const std::string &hash = {}) -> Source
{
    Source source;
    source.process = [] { return ProcessStatus{"router-1", "router", "bole", true, false, 3}; };
    source.settings = [settings = settingsOf(hash)] { return settings; };
    source.subtrees = [] {
        return std::vector{core::SubtreeStatus{
            "ledgerworks", 7, core::Instant{1s}, 8, {{"pools.drafting", 3, "an object"}}}};
    };
    source.load = [](core::UpstreamId id) -> std::optional<core::DigestEntry> {
        if (id != settings::upstreamId("ledgerworks", "drafting", "eng-01"))
            return std::nullopt;
        return core::DigestEntry{id, 1, 1, 5, 2, 8, core::UpstreamState::Leaving, 20ms};
    };
    source.poolLoad = [](const core::Pool &) { return core::PoolLoad{2, 10, 16}; };
    source.explain = [](const auto &, const auto &, const auto &, const auto &) {
        return std::vector{core::Candidate{1, "eng-02", true, "home", 1, 8},
                           core::Candidate{2, "eng-01", false, "leaving", 7, 8}};
    };
    source.now = [] { return core::Instant{5s}; };
    return source;
}

auto get(const std::string &path, const std::string &query = {}) -> Request
{
    return {"GET", path, query, {}, {}, true};
}

auto openApi() -> test::OpenApi
{
    std::ifstream file("docs/openapi.json");
    return test::OpenApi(json::parse(file));
}

auto fillPathParameters(std::string path) -> std::string
{
    for (const auto &[name, value] :
         {std::pair{"{team}", "ledgerworks"}, std::pair{"{pool}", "drafting"}}) {
        if (const auto at = path.find(name); at != std::string::npos)
            path.replace(at, std::string_view(name).size(), value);
    }
    return path;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admin_api)

BOOST_AUTO_TEST_CASE(every_operation_answers_as_openapi_describes)
{
    const auto api = openApi();
    for (const auto &[path, operations] : api.paths().items()) {
        for (const auto &[method, operation] : operations.items()) {
            Request request = get(fillPathParameters(path));
            request.method = method == "post" ? "POST" : "GET";
            request.body = "{}";
            const auto answer = handle(request, sourceOf());
            BOOST_REQUIRE_MESSAGE(answer.status == 200, path << ' ' << answer.body);
            BOOST_TEST(api.mismatch(path, method, json::parse(answer.body)) == "", path);
        }
    }
}

BOOST_AUTO_TEST_CASE(upstreams_report_their_state)
{
    const auto answer =
        handle(get("/admin/v1/teams/ledgerworks/pools/drafting/upstreams"), sourceOf());
    const auto upstreams = json::parse(answer.body);
    BOOST_TEST(upstreams[0]["state"] == "leaving");
    BOOST_TEST(upstreams[1]["state"] == "unknown");
    BOOST_TEST(upstreams[0]["bound"] == core::loadBound({2, 10, 16}, 8, 1.25));
}

// An operator guesses the name of another team and requests its subtree. The answer must not reveal
// whether that team exists.
BOOST_AUTO_TEST_CASE(access_is_by_token)
{
    struct Row
    {
        const char *hash;
        const char *authorization;
        bool loopback;
        int status;
    };
    const auto rows = {
        Row{"", "", true, 200},
        Row{"", "", false, 401},
        Row{"", "Bearer orchard", false, 401},
        Row{orchardHash, "", true, 401},
        Row{orchardHash, "Bearer orchard", false, 200},
        Row{orchardHash, "Bearer orcharD", false, 401},
        Row{orchardHash, "Bearer ", false, 401},
        Row{orchardHash, "Basic orchard", false, 401},
    };
    for (const auto &row : rows) {
        auto request = get("/admin/v1/teams/ledgerworks");
        request.authorization = row.authorization;
        request.fromLoopback = row.loopback;
        BOOST_TEST(handle(request, sourceOf(row.hash)).status == row.status,
                   row.hash << '/' << row.authorization);
    }
    const auto known =
        handle({"GET", "/admin/v1/teams/ledgerworks", {}, {}, {}, false}, sourceOf());
    const auto unknown = handle({"GET", "/admin/v1/teams/nobody", {}, {}, {}, false}, sourceOf());
    BOOST_TEST(known.status == unknown.status);
    BOOST_TEST(known.body == unknown.body);
}

BOOST_AUTO_TEST_CASE(bad_requests_get_an_error_status_and_a_kind)
{
    struct Row
    {
        const char *method;
        const char *path;
        const char *query;
        int status;
    };
    const auto rows = {
        Row{"GET", "/admin/v2/process", "", 404},
        Row{"GET", "/admin/v1/", "", 404},
        Row{"GET", "/admin/v1/teams/ledgerworks/pools/none", "", 404},
        Row{"GET", "/admin/v1/teams/ledgerworks/pools/drafting/none", "", 404},
        Row{"GET", "/admin/v1/teams/%zz", "", 400},
        Row{"GET", "/admin/v1/teams/%4", "", 400},
        Row{"GET", "/admin/v1/teams/ledgerworks/pools/drafting/explain", "chat=%", 400},
        Row{"POST", "/admin/v1/process", "", 405},
        Row{"DELETE", "/admin/v1/teams/ledgerworks", "", 405},
        Row{"GET", "/admin/v1/teams/ledgerworks/check", "", 405},
    };
    for (const auto &row : rows) {
        const auto answer = handle({row.method, row.path, row.query, {}, {}, true}, sourceOf());
        BOOST_TEST(answer.status == row.status, row.method << ' ' << row.path);
        BOOST_TEST(json::parse(answer.body).contains("kind"));
    }
}

// The answer repeats the chat name. Invalid UTF-8 in it must not end the process.
BOOST_AUTO_TEST_CASE(names_that_are_not_utf8_are_answered)
{
    const auto answer = handle(
        get("/admin/v1/teams/ledgerworks/pools/drafting/explain", "chat=%ff%fe"), sourceOf());
    BOOST_TEST(answer.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
