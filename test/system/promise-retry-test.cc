#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::eventually;

constexpr auto budget = 0.1;
/// A quiet router's retries: three at the start, and one more each two seconds.
constexpr auto floorAtStart = 3.0;
constexpr auto floorPerSecond = 0.5;

/// The value of a counter without labels; 0 when it is absent.
auto counter(const core::Address &admin, const std::string &name) -> double
{
    std::istringstream lines(experiment::get(admin, "/metrics").body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_retry)

// Every engine of a pool hangs with all its slots taken, so that each further request is refused
// wherever it goes. If the router tried each one everywhere, the pool would get many times its load
// at the moment when it can least bear it, and stay down.
BOOST_AUTO_TEST_CASE(a_pool_that_fails_whole_gets_no_multiple_of_its_load)
{
    experiment::FleetOptions options;
    options.engines = 4;
    options.routers = 1;
    options.slots = 1;
    options.pool = {{"loadMultiple", 10.0},
                    {"retryBudget", budget},
                    {"queueLimit", 0},
                    {"defaultDeadlineMs", 4000}};
    options.coldPrefill = 30000ms;
    Fleet fleet(options);
    const auto &admin = fleet.router().admin;
    const auto startMs = steadyMs();
    Traffic traffic(
        fleet,
        [&](std::size_t caller, std::size_t turn) {
            return fleet.chat(std::to_string(caller) + "/" + std::to_string(turn), 5);
        },
        [](std::size_t, std::size_t) { return 0U; });
    traffic.add(12);
    BOOST_TEST(eventually([&] { return counter(admin, "applehatch_requests_total") > 200; }));
    traffic.finish();
    const auto seconds = static_cast<double>(steadyMs() - startMs) / 1000;
    const auto requests = static_cast<double>(traffic.history().size());
    const auto attempts = counter(admin, "applehatch_attempts_total");
    const auto allowed = requests * (1 + budget) + floorAtStart + floorPerSecond * seconds;
    BOOST_TEST_MESSAGE(requests << " requests, " << attempts << " attempts, " << seconds << " s");
    BOOST_TEST(traffic.history().whole() == 0U);
    BOOST_TEST(counter(admin, "applehatch_requests_total") == requests);
    BOOST_TEST(attempts > requests);
    BOOST_TEST(attempts <= allowed);
    BOOST_TEST(counter(admin, "applehatch_retries_denied_total") > 0);
    for (const auto &violation : traffic.history().violations(fleet)) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
