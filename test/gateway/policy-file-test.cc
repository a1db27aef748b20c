#include "applehatch/gateway/policy-file.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <string>

namespace {

using applehatch::gateway::parsePolicies;

} // namespace

BOOST_AUTO_TEST_SUITE(policy_file)

BOOST_AUTO_TEST_CASE(a_policy_is_off_unless_the_file_turns_it_on)
{
    std::string problem;
    const auto none = parsePolicies("{}", problem);
    BOOST_REQUIRE(none);
    BOOST_TEST((!none->admitsByTimeLeft && !none->followsPace && !none->weighsPrompts));
    const auto one = parsePolicies("{ // A comment.\n \"followsPace\": true }", problem);
    BOOST_REQUIRE(one);
    BOOST_TEST((one->followsPace && !one->weighsPrompts));
    BOOST_TEST(problem.empty());
}

// Guards against a misspelt key that leaves a policy off unnoticed.
BOOST_AUTO_TEST_CASE(what_is_no_policy_is_refused_by_name)
{
    for (const auto *text : {"", "[]", "{\"followPace\": true}", "{\"followsPace\": 1}", "{"}) {
        std::string problem;
        BOOST_TEST(!parsePolicies(text, problem), text);
        BOOST_TEST(!problem.empty(), text);
    }
}

BOOST_AUTO_TEST_CASE(the_deployed_file_is_valid)
{
    std::ifstream file("deploy/policies.jsonc");
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    std::string problem;
    BOOST_TEST(parsePolicies(text, problem).has_value(), problem);
}

BOOST_AUTO_TEST_SUITE_END()
