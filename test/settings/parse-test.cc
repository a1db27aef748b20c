#include "applehatch/settings/check.h"
#include "applehatch/settings/process-file.h"
#include "applehatch/settings/settings.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <random>
#include <sstream>

namespace {

using namespace applehatch::settings;

// Valid subtree; each row of the tests replaces one part of it. Line 1 opens the object.
const std::string valid = R"({
  "pools": {
    // "commented": {"kind": "}{"},
    "drafting": {
      "kind": "model",
      "models": ["writer"],
      "loadMultiple": 1.25, "queueLimit": 64, "queueWaitMs": 5000,
      "defaultDeadlineMs": 120000, "maxDeadlineMs": 600000,
      "rolloutWidth": 1,
      "members": [
        {"name": "e1", "dataCenter": "a", "slots": 8,
         "sidecar": "10.0.0.1:7000", "digest": "10.0.0.1:7001", "upstream": "10.0.0.1:8000"},
        /* a comment
           over lines */
        {"name": "e2", "dataCenter": "b",
         "sidecar": "10.0.0.2:7000", "digest": "10.0.0.2:7001", "upstream": "10.0.0.2:8000"}
      ]
    },
    "jobs": {
      "kind": "service",
      "pathPrefix": "/jobs",
      "members": [
        {"name": "j1", "dataCenter": "a",
         "sidecar": "10.0.0.3:7000", "digest": "10.0.0.3:7001", "upstream": "10.0.0.3:8000"}
      ]
    }
  },
  "customers": {
    "branch": {"weight": 1.0, "inFlightLimit": 0}
  },
  "adminTokenHash": ""
}
)";

const std::string validSidecar = R"({
  "name": "s", "dataCenter": "a", "admin": "127.0.0.1:1",
  "digest": "127.0.0.1:2", "links": "127.0.0.1:3", "upstream": "127.0.0.1:4",
  "team": "t", "pool": "p", "member": "m",
  "settings": "127.0.0.1:5", "hostList": "127.0.0.1:6", "weights": "127.0.0.1:7",
  "bootstrapPeers": ["127.0.0.2:3"], "drainDeadlineMs": 1000
})";

struct Row
{
    std::string from;
    std::string to;
    std::string path;
    std::uint32_t line;
    std::string message; ///< Expected part of the message.
};

auto replaced(std::string text, const Row &row) -> std::string
{
    const auto at = text.find(row.from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, row.from.size(), row.to);
}

auto checkRow(const Row &row, const std::vector<Problem> &problems) -> void
{
    BOOST_TEST_CONTEXT(row.from << " -> " << row.to)
    {
        BOOST_REQUIRE_EQUAL(problems.size(), 1U);
        BOOST_TEST(problems[0].path == row.path);
        BOOST_TEST(problems[0].line.value_or(0) == row.line);
        BOOST_TEST(problems[0].expected.find(row.message) != std::string::npos,
                   problems[0].expected << " lacks " << row.message);
    }
}

auto readFile(const std::string &path) -> std::string
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(parse)

BOOST_AUTO_TEST_CASE(a_valid_subtree_is_typed)
{
    const auto result = parseTeam("ledgerworks", valid, 7);
    BOOST_TEST(printProblems(result.problems) == "");
    BOOST_REQUIRE(result.team != nullptr);
    const auto &pool = result.team->pools.at("drafting");
    BOOST_TEST(result.team->index == 7U);
    BOOST_TEST(pool.members.size() == 2U);
    BOOST_TEST(pool.members[0].slots == 8U);
    BOOST_TEST(pool.members[1].slots == 1U);
    BOOST_TEST(pool.members[0].id == upstreamId("ledgerworks", "drafting", "e1"));
    BOOST_TEST((pool.members[1].sidecar == Address{"10.0.0.2", 7000}));
    BOOST_TEST((pool.queueWait == std::chrono::seconds(5)));
    BOOST_TEST((pool.queueOrder == QueueOrder::DeadlineWithRefusal));
    BOOST_TEST((result.team->pools.at("jobs").kind == PoolKind::Service));
    BOOST_TEST(result.team->customers.at("branch").weight == 1.0);
}

// A mistyped key that is silently ignored leaves its default in force: the limit meant to protect
// an engine is missing, and nobody notices until the engine is overloaded.
BOOST_AUTO_TEST_CASE(each_mistake_is_reported_with_its_path_and_line)
{
    const std::string drafting = "pools.drafting";
    const std::string first = "pools.drafting.members[0]";
    const std::string second = "pools.drafting.members[1]";
    const std::vector<Row> rows{
        // Errors of the whole text.
        {valid, "", "", 1, "JSON with comments"},
        {valid, "[]", "", 1, "an object, found an array"},
        {R"("adminTokenHash": "")", R"("adminTokenHash": ")", "", 31, "JSON with comments"},
        {R"("rolloutWidth": 1,)", R"("rolloutWidth": 1)", "", 10, "JSON with comments"},
        {R"("rolloutWidth": 1,)", R"("rolloutWidth": 01,)", "", 9, "JSON with comments"},
        {R"("rolloutWidth": 1,)", R"("queueLimit": 5,)", drafting + ".queueLimit", 9,
         "line 7 already"},
        {R"("weight": 1.0,)", R"("weight": 1.0, "weight": 2,)", "customers.branch.weight", 29,
         "line 29 already"},
        {R"("adminTokenHash": "")", R"("customers": {})", "customers", 31, "line 28 already"},
        {R"("loadMultiple": 1.25)", R"("loadMultiple": [[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]])", "", 7,
         "16 levels"},
        // Unknown keys and wrong types.
        {R"("adminTokenHash")", R"("adminToken")", "adminToken", 31, "a known key"},
        {R"("rolloutWidth")", R"("rollOutWidth")", drafting + ".rollOutWidth", 9, "a known key"},
        {R"("slots": 8)", R"("slot": 8)", first + ".slot", 11, "a known key"},
        {R"("inFlightLimit")", R"("inflightLimit")", "customers.branch.inflightLimit", 29,
         "a known key"},
        {R"({"weight": 1.0, "inFlightLimit": 0})", "7", "customers.branch", 29,
         "an object, found 7"},
        {R"("kind": "model")", R"("kind": 7)", drafting + ".kind", 5, "found 7"},
        {R"("kind": "model")", R"("kind": "models")", drafting + ".kind", 5,
         R"(one of "model", "service", found "models")"},
        {R"("models": ["writer"])", R"("models": "writer")", drafting + ".models", 6, "an array"},
        {R"("models": ["writer"])", R"("models": [])", drafting + ".models", 6, "at least one"},
        {R"(["writer"])", R"(["writer", 7])", drafting + ".models[1]", 6, "a model name"},
        {R"(["writer"])", R"(["../x"])", drafting + ".models[0]", 6, "a model name"},
        {R"(["writer"])", R"(["a b"])", drafting + ".models[0]", 6, "a model name"},
        {R"(["writer"])", R"(["w", "w"])", drafting + ".models[1]", 6, "one pool only"},
        // Ranges.
        {R"("loadMultiple": 1.25)", R"("loadMultiple": 0.9)", drafting + ".loadMultiple", 7,
         "a number from 1.0 to 10.0, found 0.9"},
        {R"("loadMultiple": 1.25)", R"("loadMultiple": 11)", drafting + ".loadMultiple", 7,
         "found 11"},
        {R"("loadMultiple": 1.25)", R"("loadMultiple": "2")", drafting + ".loadMultiple", 7,
         R"(found "2")"},
        {R"("queueLimit": 64)", R"("queueLimit": -1)", drafting + ".queueLimit", 7,
         "a whole number from 0 to 100000, found -1"},
        {R"("queueLimit": 64)", R"("queueLimit": 6.5)", drafting + ".queueLimit", 7, "found 6.5"},
        {R"("queueLimit": 64)", R"("queueLimit": 99999999999)", drafting + ".queueLimit", 7,
         "found 99999999999"},
        {R"("queueWaitMs": 5000)", R"("queueWaitMs": "5s")", drafting + ".queueWaitMs", 7,
         "a whole number"},
        {R"("queueWaitMs": 5000)", R"("queueWaitMs": 5000, "homeWaitMs": 3600001)",
         drafting + ".homeWaitMs", 7, "from 0 to 3600000"},
        {R"("maxDeadlineMs": 600000)", R"("maxDeadlineMs": 0)", drafting + ".maxDeadlineMs", 8,
         "from 1 to 3600000"},
        {R"("defaultDeadlineMs": 120000)", R"("defaultDeadlineMs": 700000)",
         drafting + ".defaultDeadlineMs", 8, "at most maxDeadlineMs, found 700000"},
        {R"("rolloutWidth": 1)", R"("rolloutWidth": 0)", drafting + ".rolloutWidth", 9,
         "from 1 to 1000"},
        {R"("rolloutWidth": 1)", R"("retryBudget": 1.5)", drafting + ".retryBudget", 9,
         "from 0.0 to 1.0"},
        {R"("rolloutWidth": 1)", R"("resendWindowMs": 86400001)", drafting + ".resendWindowMs", 9,
         "to 86400000"},
        {R"("rolloutWidth": 1)", R"("preferOwnDataCenter": 1)", drafting + ".preferOwnDataCenter",
         9, "true or false, found 1"},
        {R"("rolloutWidth": 1)", R"("fencing": "on")", drafting + ".fencing", 9, "honored"},
        {R"("rolloutWidth": 1)", R"("queueOrder": null)", drafting + ".queueOrder", 9,
         "found null"},
        {R"("slots": 8)", R"("slots": 0)", first + ".slots", 11, "from 1 to 65536"},
        {R"("weight": 1.0)", R"("weight": 0)", "customers.branch.weight", 29, "0.001"},
        {R"("adminTokenHash": "")", R"("adminTokenHash": "ABC")", "adminTokenHash", 31,
         "64 lower-case hex digits"},
        // Keys that depend on the kind of pool.
        {R"("models": ["writer"],)", "", drafting + ".models", 4, "an array, found nothing"},
        {R"("rolloutWidth": 1)", R"("pathPrefix": "/x")", drafting + ".pathPrefix", 9,
         "no pathPrefix"},
        {R"("pathPrefix": "/jobs")", R"("pathPrefix": "/jobs", "models": ["x"])",
         "pools.jobs.models", 21, "no models"},
        {R"("pathPrefix": "/jobs")", R"("pathPrefix": "jobs")", "pools.jobs.pathPrefix", 21,
         "begins but does not end with a slash"},
        {R"("pathPrefix": "/jobs")", R"("pathPrefix": "/jobs/")", "pools.jobs.pathPrefix", 21,
         "slash"},
        {R"("pathPrefix": "/jobs")", R"("pathPrefix": "/a/../b")", "pools.jobs.pathPrefix", 21,
         "a path of"},
        {R"("pathPrefix": "/jobs")", R"("pathPrefix": "/v1")", "pools.jobs.pathPrefix", 21,
         "the router's own"},
        // Members and values that must be unique.
        {R"("name": "e2")", R"("name": "e1")", second + ".name", 15, "members[0].name already"},
        {R"("name": "e2")", R"("name": "e/2")", second + ".name", 15, "a name of 1 to 100"},
        {R"("name": "e2")", R"("name": "e\n2")", second + ".name", 15, R"(found "e\n2")"},
        {R"("name": "e2", )", "", second + ".name", 15, "found nothing"},
        {R"("dataCenter": "b")", R"("dataCenter": "")", second + ".dataCenter", 15, "a name"},
        {"10.0.0.2:7000", "10.0.0.1:7000", second + ".sidecar", 16, "members[0].sidecar already"},
        {"10.0.0.2:7001", "10.0.0.1:7001", second + ".digest", 16, "members[0].digest already"},
        {"10.0.0.3:8000", "10.0.0.1:8000", "pools.jobs.members[0].upstream", 24,
         "pools.drafting.members[0].upstream already"},
        {"10.0.0.2:7000", "localhost:7000", second + ".sidecar", 16, "127.0.0.1:8080"},
        {"10.0.0.2:7000", "10.0.0.256:7000", second + ".sidecar", 16, "an address"},
        {"10.0.0.2:7000", "10.0.0.2", second + ".sidecar", 16, "an address"},
        {"10.0.0.2:7000", "10.0.0.2:0", second + ".sidecar", 16, "a port from 1 to 65535"},
        {"10.0.0.2:7000", "10.0.0.2:70000", second + ".sidecar", 16, "an address"},
        {R"("branch": {)", R"("a/b": {)", "customers.a/b", 29, "a name of"},
    };
    BOOST_TEST(rows.size() >= 40U);
    for (const auto &row : rows) {
        const auto result = parseTeam("ledgerworks", replaced(valid, row), 1);
        BOOST_TEST((result.team == nullptr));
        checkRow(row, result.problems);
    }
}

// If two pools served the same model or had overlapping path prefixes, the order of a table would
// decide which of them receives a request, and the wrong service might book a job.
BOOST_AUTO_TEST_CASE(pools_must_not_compete_for_requests)
{
    const auto pool = [](const std::string &name, const std::string &how, int host) {
        const auto ip = "10.1.0." + std::to_string(host);
        return "\"" + name + "\": {" + how + R"(, "members": [{"name": "m", "dataCenter": "a", )"
            + R"("sidecar": ")" + ip + R"(:1", "digest": ")" + ip + R"(:2", "upstream": ")" + ip
            + ":3\"}]}";
    };
    const auto at = [](const std::string &prefix) {
        return R"("kind": "service", "pathPrefix": ")" + prefix + '"';
    };
    const auto of = [](const std::string &models) {
        return R"("kind": "model", "models": )" + models;
    };
    struct Pair
    {
        std::string first;
        std::string second;
        std::string path; ///< Path of the problem; empty when both pools are accepted.
    };
    const std::vector<Pair> pairs{
        {at("/jobs"), at("/jobs"), "pools.b.pathPrefix"},
        {at("/jobs"), at("/jobs/new"), "pools.b.pathPrefix"},
        {at("/jobs/new"), at("/jobs"), "pools.b.pathPrefix"},
        {at("/jobs"), at("/jobs2"), ""},
        {at("/v1/jobs"), at("/v2/jobs"), ""},
        {of(R"(["x"])"), of(R"(["y", "x"])"), "pools.b.models[1]"},
        {of(R"(["x"])"), of(R"(["X"])"), ""},
        {of(R"(["jobs"])"), at("/jobs"), ""},
    };
    for (const auto &pair : pairs) {
        const auto text =
            "{\"pools\": {" + pool("a", pair.first, 1) + ",\n" + pool("b", pair.second, 2) + "}}";
        const auto result = parseTeam("t", text, 1);
        BOOST_TEST_CONTEXT(pair.first << " and " << pair.second)
        {
            BOOST_REQUIRE_EQUAL(result.problems.size(), pair.path.empty() ? 0U : 1U);
            if (!pair.path.empty()) {
                BOOST_TEST(result.problems[0].path == pair.path);
                BOOST_TEST(result.problems[0].line.value_or(0) == 2U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(all_problems_are_reported_at_once_ordered_by_line)
{
    auto text = replaced(valid, {R"("kind": "model")", R"("kind": 7)", "", 0, ""});
    text = replaced(text, {R"("weight": 1.0)", R"("weight": -1)", "", 0, ""});
    text = replaced(text, {R"("rolloutWidth": 1)", R"("rolloutwidth": 1)", "", 0, ""});
    const auto report = checkSettings(text);
    BOOST_TEST(report.exitCode == 1);
    BOOST_TEST(report.text
               == "5: pools.drafting.kind: expected one of \"model\", \"service\", found 7\n"
                  "9: pools.drafting.rolloutwidth: expected a known key, found an unknown one\n"
                  "29: customers.branch.weight: expected a number from 0.001 to 1000.0, found "
                  "-1\n");
    BOOST_TEST(checkSettings(valid).exitCode == 0);
}

BOOST_AUTO_TEST_CASE(oversized_texts_and_invalid_team_names_are_refused)
{
    const auto large = valid + std::string(1000001 - valid.size(), ' ');
    BOOST_TEST(parseTeam("t", large, 1).problems.size() == 1U);
    BOOST_TEST((parseTeam("t", large.substr(1), 1).team == nullptr));
    BOOST_TEST((parseTeam("t", large.substr(0, 1000000), 1).team != nullptr));
    for (const auto *name : {"", "a b", "a/b", "a\n"}) {
        BOOST_TEST((parseTeam(name, valid, 1).team == nullptr));
    }
}

// The text comes from a store that other systems write. A megabyte of brackets or a truncated file
// must be refused; a crash would take down all processes of the fleet at the same moment.
BOOST_AUTO_TEST_CASE(damaged_texts_never_crash_the_parser)
{
    const std::string brackets(500000, '[');
    BOOST_TEST((parseTeam("t", brackets, 1).team == nullptr));
    BOOST_TEST((parseTeam("t", brackets + std::string(500000, ']'), 1).team == nullptr));
    for (std::size_t size = 0; size + 2 < valid.size(); ++size) {
        BOOST_TEST((parseTeam("t", valid.substr(0, size), 1).team == nullptr));
    }
    std::mt19937 random(3);
    for (auto change = 0; change < 3000; ++change) {
        auto text = valid;
        text[random() % text.size()] = static_cast<char>(random());
        const auto result = parseTeam("t", text, 1);
        BOOST_TEST((result.team == nullptr) != result.problems.empty());
        BOOST_TEST((parseTeam("t", text, 1).problems == result.problems));
    }
}

BOOST_AUTO_TEST_CASE(process_files_are_checked_as_strictly)
{
    const auto sidecar = parseProcessFile(validSidecar, Role::Sidecar);
    BOOST_TEST(printProblems(sidecar.problems) == "");
    BOOST_REQUIRE(sidecar.file != nullptr);
    BOOST_TEST((sidecar.file->links == Address{"127.0.0.1", 3}));
    BOOST_TEST(sidecar.file->bootstrapPeers.size() == 1U);
    BOOST_TEST((sidecar.file->drainDeadline == std::chrono::seconds(1)));

    const std::vector<Row> rows{
        {R"("name": "s")", R"("name": "")", "name", 2, "a name"},
        {R"("dataCenter": "a", )", "", "dataCenter", 1, "found nothing"},
        {R"("admin": "127.0.0.1:1")", R"("admin": "127.0.0.1:3")", "admin", 2, "of its own"},
        {R"("links": "127.0.0.1:3")", R"("links": "127.0.0.1:0")", "links", 3, "from 1"},
        {R"("upstream": "127.0.0.1:4")", R"("callers": "127.0.0.1:4")", "callers", 3,
         "no such key for a sidecar"},
        {R"("member": "m")", R"("member": 5)", "member", 4, "found 5"},
        {R"("member": "m")", R"("member": "m", "mode": 5)", "mode", 4, "a known key"},
        {R"("settings": "127.0.0.1:5")", R"("settings": "host:5")", "settings", 5, "an address"},
        {R"(["127.0.0.2:3"])", R"(["127.0.0.2"])", "bootstrapPeers[0]", 6, "an address"},
        {R"(["127.0.0.2:3"])", R"(["1.2.3.4:5", "1.2.3.4:5"])", "bootstrapPeers[1]", 6, "once"},
        {R"(["127.0.0.2:3"])", R"("127.0.0.2:3")", "bootstrapPeers", 6, "an array"},
        {R"("drainDeadlineMs": 1000)", R"("drainDeadlineMs": -1)", "drainDeadlineMs", 6, "-1"},
        {R"("team": "t", )", R"("team": "t", "team": "u", )", "team", 4, "line 4 already"},
    };
    for (const auto &row : rows) {
        auto problems = parseProcessFile(replaced(validSidecar, row), Role::Sidecar).problems;
        if (row.path == "callers") {
            BOOST_REQUIRE_EQUAL(problems.size(), 2U); // The missing `upstream` is also reported.
            problems.erase(problems.begin() + (problems[0].path == "upstream" ? 0 : 1));
        }
        checkRow(row, problems);
    }
    BOOST_TEST(parseProcessFile(validSidecar, Role::Router).problems.size() == 7U);
}

BOOST_AUTO_TEST_CASE(the_examples_are_valid_and_agree_with_each_other)
{
    for (const auto *team : {"ledgerworks", "cwm-taf"}) {
        const auto result =
            parseTeam(team, readFile("examples/" + std::string(team) + ".jsonc"), 1);
        BOOST_TEST(printProblems(result.problems) == "");
        BOOST_REQUIRE(result.team != nullptr);
        BOOST_TEST(result.team->customers.size() == 10U);
        BOOST_TEST(result.team->pools.size() == 2U);
    }
    const auto router = parseProcessFile(readFile("examples/router.jsonc"), Role::Router);
    BOOST_TEST(printProblems(router.problems) == "");
    const auto sidecar = parseProcessFile(readFile("examples/sidecar.jsonc"), Role::Sidecar);
    BOOST_TEST(printProblems(sidecar.problems) == "");
    const auto team = parseTeam("ledgerworks", readFile("examples/ledgerworks.jsonc"), 1).team;
    const auto &member = team->pools.at(sidecar.file->pool).members.at(0);
    BOOST_TEST(member.name == sidecar.file->member);
    BOOST_TEST((member.sidecar == sidecar.file->links));
    BOOST_TEST((member.digest == sidecar.file->digest));
    BOOST_TEST((member.upstream == sidecar.file->upstream));
}

BOOST_AUTO_TEST_SUITE_END()
