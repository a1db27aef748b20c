#include "load-plan.h"

#include "applehatch/experiment/socket.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace {

using namespace applehatch;
using namespace applehatch::experiment;
using namespace std::chrono_literals;

auto planFor(const std::string &routers, const std::string &more = "") -> std::string
{
    return R"({"routers": [)" + routers + "]" + more + R"(,
  "team": "t", "model": "m", "mostRequests": 5,
  "customers": {"c1": {"weight": 1.0}},
  "workload": {"tokens": 1, "chatsAtOnce": 3}, "seconds": 10})";
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_plan)

// An operator copies an example and forgets the address in it: a fleet at work would be loaded.
BOOST_AUTO_TEST_CASE(other_hosts_must_be_allowed)
{
    BOOST_TEST(parseLoadPlan(planFor(R"("127.0.0.1:8080")")).plan.has_value());
    const auto refused = parseLoadPlan(planFor(R"("10.0.0.1:8080", "127.0.0.1:8080", 3)"));
    BOOST_REQUIRE(refused.problems.size() == 2U);
    BOOST_TEST(refused.problems[0].path == "routers[0]");
    BOOST_TEST(refused.problems[1].path == "routers[2]");
    const auto allowed = planFor(R"("10.0.0.1:8080")", R"(, "allowOtherHosts": true)");
    BOOST_TEST(parseLoadPlan(allowed).plan.has_value());
    BOOST_TEST(parseLoadPlan(planFor("")).problems.size() == 1U);
    BOOST_TEST(parseLoadPlan(planFor("", R"(, "router": 1)")).problems.size() >= 1U);
}

BOOST_AUTO_TEST_CASE(the_example_is_accepted)
{
    std::ifstream file("examples/experiments/load.jsonc");
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_TEST(parseLoadPlan(text.str()).plan.has_value());
}

// The fleet answers nothing, and callers would send again and again.
BOOST_AUTO_TEST_CASE(no_more_is_sent_than_the_plan_allows)
{
    const RawServer server("127.0.42.2", [](Socket &) {});
    auto plan = parseLoadPlan(planFor(R"("127.0.0.1:1")")).plan.value();
    plan.target.routers = {server.address()};
    const auto chats = planChats(plan.deployment, 500ms, plan.seed);
    const auto turns = driveChats(plan.target, plan.deployment, chats, 500ms, true);
    BOOST_TEST(server.accepted() <= 5U);
    BOOST_TEST(!turns.empty());
}

BOOST_AUTO_TEST_SUITE_END()
