#include "experiment-plan.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace {

using namespace applehatch::experiment;

const std::string valid = R"({
  // A plan may hold comments.
  "deployment": {"name": "d", "dataCenters": ["a"], "engines": 2, "cacheChats": 5,
                 "pool": {"loadMultiple": 1.5}},
  "customers": {"c1": {"weight": 2.0}},
  "workload": {"tokens": 3, "chatsAtOnce": 4, "priorities": {"c1": 9}},
  "surges": [{"customer": "c1", "from": 0.2, "until": 0.4}],
  "churn": [{"at": 0.5, "kind": "crash-engine"}],
  "variants": [{"name": "one"}, {"name": "two", "pool": {"queueLimit": 7}}],
  "seeds": [1, 2], "seconds": 10
})";

auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    const auto at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(experiment_plan)

BOOST_AUTO_TEST_CASE(a_plan_is_read_whole)
{
    const auto read = parsePlan(valid);
    BOOST_REQUIRE(read.plan.has_value());
    const auto &plan = *read.plan;
    BOOST_TEST(plan.deployment.engines == 2U);
    BOOST_TEST(plan.deployment.priorities.at("c1") == 9);
    BOOST_TEST(plan.deployment.surges.at(0).until == 0.4);
    BOOST_TEST((plan.churn.at(0).kind == ChurnKind::CrashEngine));
    BOOST_TEST(plan.variants.at(1).pool.at("queueLimit") == 7);
    BOOST_TEST(plan.seeds.size() == 2U);
    BOOST_TEST(plan.length.count() == 10);
}

BOOST_AUTO_TEST_CASE(the_examples_are_accepted)
{
    for (const auto *name : {"cwm-taf-deadlines", "ledgerworks-placement"}) {
        std::ifstream file(std::string("examples/experiments/") + name + ".jsonc");
        std::ostringstream text;
        text << file.rdbuf();
        BOOST_TEST(parsePlan(text.str()).plan.has_value(), name);
    }
}

// Each row has one fault; the answer names the key and its line.
BOOST_AUTO_TEST_CASE(a_fault_is_told_with_its_key)
{
    struct Row
    {
        std::string from;
        std::string to;
        std::string path;
        std::uint32_t line;
    };
    const std::vector<Row> rows = {
        {R"("engines": 2)", R"("engines": "2")", "deployment.engines", 3},
        {R"("engines": 2)", R"("engines": 0)", "deployment.engines", 3},
        {R"("engines")", R"("engine": 1, "engines")", "deployment.engine", 3},
        {R"(["a"])", "[]", "deployment.dataCenters", 3},
        {"1.5", "0.5", "deployment.pool.loadMultiple", 4},
        {R"({"loadMultiple": 1.5})", R"({"members": []})", "deployment.pool.members", 4},
        {R"({"weight": 2.0})", "3", "customers.c1", 5},
        {R"({"c1": 9})", R"({"c2": 9})", "workload.priorities.c2", 6},
        {R"("customer": "c1")", R"("customer": "c3")", "surges[0].customer", 7},
        {R"("from": 0.2)", R"("from": 0.6)", "surges[0]", 7},
        {"crash-engine", "explode", "churn[0].kind", 8},
        {R"("name": "two")", R"("name": "one")", "variants[1].name", 9},
        {R"("queueLimit")", R"("queueLimits")", "variants[1].pool.queueLimits", 9},
        {R"([1, 2])", R"([-1])", "seeds[0]", 10},
        {R"("seconds": 10)", R"("seconds": 9)", "seconds", 10},
    };
    for (const auto &row : rows) {
        const auto read = parsePlan(replaced(valid, row.from, row.to));
        BOOST_TEST_CONTEXT(row.from << " -> " << row.to)
        {
            BOOST_REQUIRE(read.problems.size() == 1U);
            BOOST_TEST(read.problems[0].path == row.path);
            BOOST_TEST(read.problems[0].line.value_or(0) == row.line);
        }
    }
}

BOOST_AUTO_TEST_CASE(all_problems_are_told_at_once)
{
    auto text = replaced(valid, R"("engines": 2)", R"("engines": "2")");
    text = replaced(text, "crash-engine", "explode");
    text = replaced(text, R"("seconds": 10)", R"("seconds": 1)");
    BOOST_TEST(parsePlan(text).problems.size() == 3U);
    BOOST_TEST(parsePlan("{").problems.size() == 1U);
    BOOST_TEST(parsePlan("{}").problems.size() >= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
