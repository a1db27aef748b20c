#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::eventually;

constexpr std::size_t engines = 4;
constexpr std::size_t streams = 300;
constexpr std::size_t tokens = 240;
constexpr auto longWait = 15000ms;

auto busyFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = engines;
    options.routers = 2;
    options.slots = 128;
    options.tokensPerSecond = 40;
    // What is refused at the bound on load is another test's matter.
    options.pool = {{"loadMultiple", 10.0}};
    return options;
}

auto endedInOrder(experiment::Process &process) -> bool
{
    return process.wait(longWait) == experiment::ExitStatus{false, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_stop)

// An entry host is replaced at the close of the day, when three hundred reports are being written
// through it. Each officer whose stream was cut would have nothing to present.
BOOST_AUTO_TEST_CASE(a_router_stopped_under_three_hundred_streams_cuts_none)
{
    Fleet fleet(busyFleet());
    OpenStreams open(fleet, streams, tokens);
    auto &router = fleet.router(0);
    router.process->terminate();
    BOOST_TEST(
        eventually([&] { return experiment::get(router.admin, "/health/ready").status == 503; }));
    BOOST_TEST(open.underWay() > static_cast<std::ptrdiff_t>(streams / 2));
    open.expectWhole();
    BOOST_TEST(endedInOrder(*router.process));
    expectServedBy(fleet, 1);
}

// Sidecars are replaced while their engines run three hundred streams for them.
BOOST_AUTO_TEST_CASE(sidecars_stopped_under_three_hundred_streams_cut_none)
{
    Fleet fleet(busyFleet());
    OpenStreams open(fleet, streams, tokens);
    for (std::size_t number = 0; number < engines / 2; ++number) {
        fleet.engine(number).sidecar->terminate();
    }
    for (std::size_t number = 0; number < engines / 2; ++number) {
        BOOST_TEST(eventually([&] {
            return experiment::get(fleet.engine(number).admin, "/health/ready").status == 503;
        }));
    }
    BOOST_TEST(open.underWay() > static_cast<std::ptrdiff_t>(streams / 2));
    open.expectWhole();
    for (std::size_t number = 0; number < engines / 2; ++number) {
        BOOST_TEST(endedInOrder(*fleet.engine(number).sidecar));
    }
    expectServedBy(fleet, 0);
}

// A new version is rolled out: each sidecar of the pool in turn is stopped and started again, with
// callers coming all the time. None of them may notice.
BOOST_AUTO_TEST_CASE(a_pool_rolled_one_sidecar_at_a_time_cuts_none)
{
    auto options = busyFleet();
    options.engines = 3;
    options.tokensPerSecond = 200;
    Fleet fleet(options);
    Traffic traffic(
        fleet,
        [&](std::size_t caller, std::size_t turn) {
            return fleet.chat(std::to_string(caller) + "/" + std::to_string(turn), 40);
        },
        [](std::size_t caller, std::size_t turn) { return (caller + turn) % 2; });
    traffic.add(12);
    for (auto &member : fleet.members()) {
        BOOST_TEST(eventually([&] { return !fleet.record(member)["runs"].empty(); }));
        member.sidecar->terminate();
        BOOST_TEST(endedInOrder(*member.sidecar));
        fleet.startSidecar(member);
        fleet.waitReady();
    }
    traffic.finish();
    expectNoViolation(fleet, traffic.history());
    BOOST_TEST(traffic.history().size() > 50U);
    BOOST_TEST_CONTEXT(fleet.outputs())
    {
        BOOST_TEST(traffic.history().whole() == traffic.history().size());
    }
}

// Hosts are replaced while the configuration service and the host list do not answer, so that
// nobody can read who is leaving. The stop must not wait for them, nor cut anything.
BOOST_AUTO_TEST_CASE(stops_during_a_settings_outage_cut_none)
{
    Fleet fleet(busyFleet());
    OpenStreams open(fleet, streams, tokens);
    fleet.platform().setDown(emulator::Service::Settings, true);
    fleet.platform().setDown(emulator::Service::HostList, true);
    const auto calls = fleet.platform().calls().hostList;
    fleet.router(0).process->terminate();
    fleet.engine(0).sidecar->terminate();
    BOOST_TEST(open.underWay() > static_cast<std::ptrdiff_t>(streams / 2));
    open.expectWhole();
    BOOST_TEST(endedInOrder(*fleet.router(0).process));
    BOOST_TEST(endedInOrder(*fleet.engine(0).sidecar));
    BOOST_TEST(fleet.platform().calls().hostList >= calls);
    expectServedBy(fleet, 1);
}

BOOST_AUTO_TEST_SUITE_END()
