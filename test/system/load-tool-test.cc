#include "system/expect.h"

#include "applehatch/experiment/process.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace system_test;
using nlohmann::json;

auto text(const core::Address &address) -> std::string
{
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_tool)

BOOST_AUTO_TEST_CASE(chats_of_a_plan_return_to_a_running_fleet)
{
    experiment::FleetOptions options;
    options.routers = 2;
    options.dataCenters = {"bole"};
    Fleet fleet(options);
    const json plan = {{"routers", {text(fleet.router(0).callers), text(fleet.router(1).callers)}},
                       {"team", Fleet::team},
                       {"model", Fleet::model},
                       {"mostRequests", 40},
                       {"seconds", 5},
                       {"customers", {{"branch-east", {{"weight", 1.0}}}}},
                       {"workload", {{"tokens", 4}, {"chatsAtOnce", 4}, {"shortPauseMs", 300}}}};
    const experiment::TemporaryFile file(plan.dump());
    experiment::Process load({experiment::programPath("load"), file.path()});
    BOOST_TEST((load.wait() == experiment::ExitStatus{}));
    const auto figures = json::parse(load.output());
    BOOST_TEST(figures.at("answered") > 0);
    BOOST_TEST(figures.at("answered") == figures.at("turns"));
    BOOST_TEST(figures.at("warm") > 0);
    BOOST_TEST(fleet.runs().size() <= 80U);
}

BOOST_AUTO_TEST_SUITE_END()
