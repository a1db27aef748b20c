// Who gives way when there is no room for requests.
#include "gateway-fixture.h"

#include "applehatch/gateway/request-memory.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <optional>
#include <string>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t limit = 4 * mebibyte;

/// One request, and what became of its wait.
class Request
{
public:
    explicit Request(RequestMemory &memory)
    {
        RequestMemory::Hooks hooks;
        hooks.granted = [this] { isGranted = true; };
        hooks.giveWay = [this] {
            gaveWay = true;
            reading.reset();
        };
        reading.emplace(memory, std::move(hooks));
    }
    Request(const Request &) = delete;
    auto operator=(const Request &) -> Request & = delete;

    auto hold(std::size_t bytes, std::size_t present = 0) -> bool
    {
        return reading->hold(bytes, present);
    }

    std::optional<RequestMemory::Reading> reading;
    bool isGranted = false;
    bool gaveWay = false;
};

struct World
{
    asio::io_context loop{1};
    RequestMemory memory{loop, limit};

    auto settle() -> void { runFor(loop, 100ms); }
    auto standStill() -> void
    {
        runFor(loop,
               std::chrono::duration_cast<std::chrono::milliseconds>(telemetry::Progress::stillTime)
                   + 100ms);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_memory)

// Guards against requests of unknown length that each hold a part and wait for the others.
BOOST_AUTO_TEST_CASE(of_two_that_wait_for_each_other_the_older_goes_on)
{
    World world;
    Request older(world.memory);
    Request younger(world.memory);
    BOOST_TEST(older.hold(limit / 2));
    BOOST_TEST(younger.hold(limit / 2));
    BOOST_TEST(!older.hold(limit));
    BOOST_TEST(!younger.hold(limit));
    world.settle();
    BOOST_TEST(older.isGranted);
    BOOST_TEST(younger.gaveWay);
    BOOST_TEST(world.memory.budget().kept() == limit);
    BOOST_TEST(world.memory.takeGivenWay() == 1U);
}

// Guards against requests that never go on and keep others out.
BOOST_AUTO_TEST_CASE(who_stands_still_gives_way_and_who_goes_on_does_not)
{
    World world;
    Request still(world.memory);
    Request active(world.memory);
    BOOST_TEST(still.hold(limit / 2));
    BOOST_TEST(active.hold(limit / 2));
    world.standStill();
    active.reading->noteReceived(telemetry::Progress::minBytes);
    still.reading->noteReceived(1); // Too little to count as going on.
    Request next(world.memory);
    BOOST_TEST(!next.hold(limit / 2));
    world.settle();
    BOOST_TEST(next.isGranted);
    BOOST_TEST(still.gaveWay);
    BOOST_TEST(!active.gaveWay);
}

// Guards against clients that are ended although nobody needs their room.
BOOST_AUTO_TEST_CASE(who_stands_still_stays_while_there_is_room)
{
    World world;
    Request still(world.memory);
    BOOST_TEST(still.hold(limit / 2));
    world.standStill();
    Request next(world.memory);
    BOOST_TEST(next.hold(limit / 2));
    world.settle();
    BOOST_TEST(!still.gaveWay);
}

// Guards against usual requests that wait behind a large one.
BOOST_AUTO_TEST_CASE(usual_requests_pass_a_large_one_that_waits)
{
    World world;
    Request active(world.memory);
    BOOST_TEST(active.hold(limit));
    Request large(world.memory);
    BOOST_TEST(!large.hold(limit));
    Request usual(world.memory);
    BOOST_TEST(usual.hold(ByteBudget::usualBytes));
    Request small(world.memory);
    BOOST_TEST(small.hold(ByteBudget::smallBytes));
    world.settle();
    BOOST_TEST(!large.isGranted);
    active.reading.reset();
    usual.reading.reset();
    small.reading.reset();
    world.settle();
    BOOST_TEST(large.isGranted);
}

// Guards against what has come of requests that wait, which nobody would count.
BOOST_AUTO_TEST_CASE(what_has_come_of_waiting_requests_is_bounded)
{
    World world;
    Request active(world.memory);
    BOOST_TEST(active.hold(limit));
    std::list<Request> waiting;
    for (int number = 0; number < 200; ++number) {
        waiting.emplace_back(world.memory);
        if (!waiting.back().hold(2 * ByteBudget::usualBytes, 64 * kibibyte))
            continue;
        BOOST_TEST(false, "there was no room");
    }
    world.settle();
    BOOST_TEST(world.memory.budget().kept() <= limit + limit / 2);
    BOOST_TEST(!waiting.front().gaveWay);
    BOOST_TEST(waiting.back().gaveWay);
}

// Guards against a reading that tells its memory of its end when that is gone.
BOOST_AUTO_TEST_CASE(a_reading_may_outlive_its_memory)
{
    asio::io_context loop{1};
    auto memory = std::make_unique<RequestMemory>(loop, limit);
    Request request(*memory);
    Request other(*memory);
    BOOST_TEST(request.hold(limit));
    BOOST_TEST(!other.hold(limit));
    memory.reset();
    runFor(loop, 100ms);
    request.reading.reset();
    other.reading.reset();
    runFor(loop, 10ms);
}

BOOST_AUTO_TEST_SUITE_END()
