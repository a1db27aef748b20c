// Placement while the operator has a data centre evacuated, and after it is taken back.
#include "engine-pool.h"

#include "applehatch/direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);
constexpr std::size_t engineCount = 12;

/// One router before engines in the data centres `here` and `there`.
class Pool
{
public:
    Pool()
    {
        dispatcher.setConfiguration(coldPoolConfiguration());
        dispatcher.setUpstreams(list, start);
        dispatcher.setColdTolerance({1.5, 5});
        dispatcher.setFleet({{}, true, 1});
    }

    auto choose(std::uint64_t context, Instant now)
        -> std::variant<Choice, applehatch::core::Failure>
    {
        const auto permit = std::get<Permit>(dispatcher.admit("a", "/x", std::nullopt));
        RoutingInput input;
        input.prompt = {{context, 100}, {2, 10}};
        auto chosen = dispatcher.choose(permit, input, now);
        if (const auto *choice = std::get_if<Choice>(&chosen))
            dispatcher.noteSent(choice->upstream.id, input, now);
        return chosen;
    }

    UpstreamList list = engines(engineCount);
    Dispatcher dispatcher{{"here", 1}, {}, start};
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuated_data_centers)

// Guards against loading an engine beyond twice the mean of its service: evacuated engines count
// towards that mean, and are idle.
BOOST_AUTO_TEST_CASE(the_load_bound_counts_evacuated_engines)
{
    Pool pool;
    pool.dispatcher.setEvacuated({"there"}, start);
    std::map<UpstreamId, int> loads;
    for (int sent = 0; sent < 60; ++sent) {
        const auto chosen = std::get<Choice>(pool.choose(1, start));
        const auto mean = static_cast<double>(sent) / engineCount;
        BOOST_TEST(loads[chosen.upstream.id] <= 2 * mean + 3);
        ++loads[chosen.upstream.id];
        BOOST_TEST(chosen.upstream.dataCenter == "here");
    }
}

// Guards against fetching a context from an engine of an evacuated data centre.
BOOST_AUTO_TEST_CASE(no_context_is_fetched_from_an_evacuated_data_center)
{
    Pool pool;
    for (std::uint64_t context = 1; context <= 30; ++context)
        pool.choose(context, start);
    pool.dispatcher.setEvacuated({"there"}, start);
    for (std::uint64_t context = 1; context <= 60; ++context) {
        const auto chosen = std::get<Choice>(pool.choose(context, start));
        for (const auto &engine : pool.list)
            BOOST_TEST((engine.dataCenter == "here" || chosen.fetchFrom != engine.address));
    }
}

// Guards against a request that is sent into an evacuated data centre because its upstream was
// chosen before, while the connection was being opened.
BOOST_AUTO_TEST_CASE(an_upstream_chosen_before_its_evacuation_gets_nothing)
{
    Pool pool;
    const auto chosen = std::get<Choice>(pool.choose(1, start));
    BOOST_TEST(pool.dispatcher.acceptsNewRequests(chosen.upstream.id, start));
    pool.dispatcher.setEvacuated({chosen.upstream.dataCenter}, start);
    BOOST_TEST(!pool.dispatcher.acceptsNewRequests(chosen.upstream.id, start));
}

// Guards against a rush to the engines of a data centre that is taken back, which are often cold.
BOOST_AUTO_TEST_CASE(engines_taken_back_get_few_requests_at_first)
{
    Pool pool;
    pool.dispatcher.setEvacuated({"there"}, start);
    const auto taken = start + 10s;
    BOOST_TEST(pool.dispatcher.setEvacuated({}, taken).size() == engineCount / 2);
    std::map<UpstreamId, int> sent;
    for (std::uint64_t context = 1; context <= 400; ++context) {
        const auto chosen = pool.choose(context, taken + 2s);
        if (const auto *choice = std::get_if<Choice>(&chosen))
            ++sent[choice->upstream.id];
    }
    for (const auto &engine : pool.list)
        BOOST_TEST((engine.dataCenter == "here" || sent[engine.id] <= 12));
    BOOST_TEST(std::get<Choice>(pool.choose(1, taken + 4s)).upstream.id != 0U);
}

BOOST_AUTO_TEST_SUITE_END()
