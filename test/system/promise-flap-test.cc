#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;

constexpr std::size_t engines = 5;
constexpr std::size_t flapping = 3;
constexpr auto flapPeriod = 1000ms;
constexpr auto fewestFlaps = 10;
constexpr auto mostFlaps = 60;
constexpr std::size_t leavesOfEach =
    2; ///< Seen by its own sidecar, which reads the list now and then.

auto requestOf(Fleet &fleet) -> Traffic::Request
{
    return [&fleet](std::size_t caller, std::size_t turn) {
        return fleet.chat(std::to_string(caller) + "/" + std::to_string(turn), 30);
    };
}

auto countOf(const experiment::Process &process, std::string_view text) -> std::size_t
{
    const auto output = process.output();
    std::size_t count = 0;
    for (auto at = output.find(text); at != std::string::npos; at = output.find(text, at + 1)) {
        ++count;
    }
    return count;
}

/// Each of the flapping engines went and came back more than once.
auto allFlapped(Fleet &fleet) -> bool
{
    for (std::size_t number = 0; number < flapping; ++number) {
        const auto &sidecar = *fleet.engine(number).sidecar;
        if (countOf(sidecar, "event=state state=leaving") < leavesOfEach) {
            return false;
        }
    }
    return true;
}

/// Gives the second router a host list of its own.
auto useOwnHostList(Fleet &fleet, const emulator::Platform &list) -> void
{
    auto &router = fleet.router(1);
    auto config = nlohmann::json::parse(router.config->read());
    const auto at = list.address();
    config["hostList"] = at.ip + ":" + std::to_string(at.port);
    router.config = std::make_unique<experiment::TemporaryFile>(config.dump(1));
    router.process->kill();
    fleet.startRouter(router);
    fleet.waitReady();
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_flap)

// Three engines of five come and go each second, and the two routers read lists of hosts that say
// the opposite of one another. Callers must not lose or mix up an answer for it.
BOOST_AUTO_TEST_CASE(flapping_engines_under_differing_lists_cost_no_answer)
{
    experiment::FleetOptions options;
    options.engines = engines;
    options.routers = 2;
    options.tokensPerSecond = 100;
    options.pool = {{"loadMultiple", 10.0}};
    Fleet fleet(options);
    emulator::Platform otherList;
    for (const auto &member : fleet.members()) {
        otherList.setHost(member.ip, core::HostState::Live);
    }
    useOwnHostList(fleet, otherList);
    Traffic traffic(fleet, requestOf(fleet),
                    [](std::size_t caller, std::size_t turn) { return (caller + turn) % 2; });
    traffic.add(10);
    auto next = experiment::Clock::now();
    for (auto flap = 0; flap < fewestFlaps || (flap < mostFlaps && !allFlapped(fleet)); ++flap) {
        const auto live = flap % 2 == 0;
        for (std::size_t number = 0; number < flapping; ++number) {
            const auto &ip = fleet.engine(number).ip;
            fleet.platform().setHost(ip, live ? core::HostState::Live : core::HostState::Leaving);
            otherList.setHost(ip, live ? core::HostState::Leaving : core::HostState::Live);
            fleet.control(fleet.engine(number), {{"frozen", (flap + number) % 3 == 0}});
        }
        next += flapPeriod;
        std::this_thread::sleep_until(next);
    }
    for (std::size_t number = 0; number < flapping; ++number) {
        fleet.control(fleet.engine(number), {{"frozen", false}});
    }
    traffic.finish();
    const auto &history = traffic.history();
    for (const auto &violation : history.violations(fleet)) {
        BOOST_ERROR(violation);
    }
    for (const auto &[problem, count] : history.problems()) {
        BOOST_TEST_MESSAGE(count << " times " << problem);
    }
    std::size_t toldOf = 0;
    for (const auto &[problem, count] : history.problems()) {
        toldOf += count;
    }
    BOOST_TEST_MESSAGE(history.whole() << " of " << history.size() << " whole");
    BOOST_TEST(otherList.calls().hostList > 0U);
    BOOST_TEST(allFlapped(fleet));
    BOOST_TEST(history.size() > 100U);
    // Two engines of five stand throughout, so each answer is whole: nobody is told of a failure,
    // or left with a connection that just ended.
    BOOST_TEST(toldOf == 0U);
    BOOST_TEST(history.whole() == history.size());
}

BOOST_AUTO_TEST_SUITE_END()
