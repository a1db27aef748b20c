#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

// Delivers a digest with the load of each engine, in the order of the pool's members.
auto receiveLoads(Bench &bench, const std::vector<std::uint32_t> &loads) -> void
{
    Digest digest;
    std::uint32_t version = 1;
    for (const auto &member : bench.engines()) {
        const auto load = loads.at(digest.entries.size());
        digest.entries.push_back({member.id, firstIncarnation, version, load, 0, member.slots,
                                  UpstreamState::Serving, 0us});
    }
    bench.feed(DigestReceived{digest});
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_room)

// Thirty callers send requests to an idle pool at the same moment. Every upstream still assumes a
// mean load of zero and refuses its second request. If each refusal spent retry budget, most
// callers would be refused while upstreams are idle.
BOOST_AUTO_TEST_CASE(going_to_an_upstream_with_room_is_never_denied)
{
    Bench bench;
    bench.openAllLinks();
    constexpr auto callers = 30U;
    for (auto i = 0U; i < callers; ++i) {
        const auto id = "r" + std::to_string(i);
        receiveLoads(bench, {0, 0, 0});
        bench.feed(chatRequest(id));
        const auto first = Bench::of<SendToSidecar>(bench.last).at(0).upstream;
        bench.from(first, refusal(id, 1, ErrorKind::Overloaded, Run::NotRun));
        BOOST_TEST(Bench::sent<Submit>(bench.last).size() == 1U, id);
    }
    BOOST_TEST(bench.failures().empty());
    BOOST_TEST(bench.node.counts().retriesDenied == 0U);
}

// The whole pool is at its load bound. A request that tried one upstream after the other would load
// the routers and be refused by each. Instead, the first upstream queues it within its own limits.
BOOST_AUTO_TEST_CASE(with_no_room_anywhere_the_first_upstream_may_queue_the_request)
{
    struct Row
    {
        std::vector<std::uint32_t> loads;
        bool mayWait;
    };
    for (const auto &row :
         {Row{{20, 20, 20}, false}, Row{{40, 40, 40}, false}, Row{{9, 0, 9}, true}}) {
        Bench bench;
        bench.openAllLinks();
        receiveLoads(bench, row.loads);
        bench.feed(chatRequest("r1"));
        BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait == row.mayWait);
    }
    // Apart from unequal slots, some upstream is always below a multiple of the mean. No upstream
    // has room only if the others cannot be used.
    Bench bench;
    for (auto index = 1U; index < 3; ++index) {
        Digest digest;
        digest.entries = {
            {bench.engines()[index].id, firstIncarnation, 1, 0, 0, 8, UpstreamState::Leaving, 0us}};
        bench.feed(DigestReceived{digest});
    }
    bench.openAllLinks();
    bench.feed(chatRequest("r1"));
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait);
}

// Every upstream hangs with its slots occupied and its queue full, far below a high load bound. If
// routers treated that as free capacity, they would try each upstream in vain with every request.
BOOST_AUTO_TEST_CASE(a_full_queue_counts_as_no_room)
{
    auto team = *makeSettings(3)->teams.at("ledger");
    team.pools.at("drafting").loadMultiple = 10;
    team.pools.at("drafting").queueLimit = 0;
    auto all = std::make_shared<applehatch::settings::Settings>();
    all->teams["ledger"] = std::make_shared<const applehatch::settings::Team>(std::move(team));
    Bench bench(all);
    bench.openAllLinks();
    const auto slots = bench.engines()[0].slots;
    receiveLoads(bench, {slots, slots, slots});
    bench.feed(chatRequest("r1"));
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait);
}

// A request that was allowed to wait and was refused nevertheless has reached a real limit. It may
// go to another upstream only at the expense of the retry budget.
BOOST_AUTO_TEST_CASE(a_refusal_of_a_request_that_may_wait_spends_a_retry)
{
    Bench bench(makeSettings(1));
    bench.openAllLinks();
    bench.feed(chatRequest("r1"));
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait);
    bench.from(bench.engines()[0].id, refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun, 2s));
    BOOST_REQUIRE(bench.failures().size() == 1U);
    BOOST_TEST((bench.failures()[0].failure.retryAfter == Duration(2s)));
}

BOOST_AUTO_TEST_SUITE_END()
