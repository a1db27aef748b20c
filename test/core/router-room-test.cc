#include "core/router-fixture.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

// Each engine's load, in the order of the pool's members.
auto hear(Bench &bench, const std::vector<std::uint32_t> &loads) -> void
{
    Digest digest;
    std::uint32_t version = 1;
    for (const auto &member : bench.engines()) {
        const auto load = loads.at(digest.entries.size());
        digest.entries.push_back(
            {member.id, life, version, load, 0, member.slots, UpstreamState::Serving, 0us});
    }
    bench.feed(DigestReceived{digest});
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_room)

// Thirty callers come to an idle pool at the same moment. Every upstream still believes that the
// mean is nothing and refuses its second request; were each refusal paid as a retry, most callers
// would be turned away while upstreams stand idle.
BOOST_AUTO_TEST_CASE(going_to_an_upstream_with_room_is_never_denied)
{
    Bench bench;
    bench.upAll();
    constexpr auto callers = 30U;
    for (auto i = 0U; i < callers; ++i) {
        const auto id = "r" + std::to_string(i);
        hear(bench, {0, 0, 0});
        bench.feed(chatRequest(id));
        const auto first = Bench::of<SendToSidecar>(bench.last).at(0).upstream;
        bench.from(first, refusal(id, 1, ErrorKind::Overloaded, Run::NotRun));
        BOOST_TEST(Bench::sent<Submit>(bench.last).size() == 1U, id);
    }
    BOOST_TEST(bench.failures().empty());
    BOOST_TEST(bench.node.counts().retriesDenied == 0U);
}

// The whole pool is at its bound. A request that went from one upstream to the next would load the
// routers and be refused by each; the first one asked lets it wait, within its own limits.
BOOST_AUTO_TEST_CASE(with_no_room_anywhere_the_first_upstream_is_asked_to_let_it_wait)
{
    struct Row
    {
        std::vector<std::uint32_t> loads;
        bool mayWait;
    };
    for (const auto &row :
         {Row{{20, 20, 20}, false}, Row{{40, 40, 40}, false}, Row{{9, 0, 9}, true}}) {
        Bench bench;
        bench.upAll();
        hear(bench, row.loads);
        bench.feed(chatRequest("r1"));
        BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait == row.mayWait);
    }
    // Unequal slots apart, somebody is always below a multiple of the mean; only when the others
    // cannot be used is nobody left.
    Bench bench;
    for (auto index = 1U; index < 3; ++index) {
        Digest digest;
        digest.entries = {
            {bench.engines()[index].id, life, 1, 0, 0, 8, UpstreamState::Leaving, 0us}};
        bench.feed(DigestReceived{digest});
    }
    bench.upAll();
    bench.feed(chatRequest("r1"));
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait);
}

// Every upstream hangs with its slots taken and its queue full, far below a wide bound. Routers
// that took that for room would try each of them, for nothing, with every request.
BOOST_AUTO_TEST_CASE(a_full_queue_is_no_room)
{
    auto team = *makeSettings(3)->teams.at("ledger");
    team.pools.at("drafting").loadMultiple = 10;
    team.pools.at("drafting").queueLimit = 0;
    auto all = std::make_shared<applehatch::settings::Settings>();
    all->teams["ledger"] = std::make_shared<const applehatch::settings::Team>(std::move(team));
    Bench bench(all);
    bench.upAll();
    const auto slots = bench.engines()[0].slots;
    hear(bench, {slots, slots, slots});
    bench.feed(chatRequest("r1"));
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait);
}

// A request that asked to wait and was refused all the same has met a real limit. Only the budget
// may send it on.
BOOST_AUTO_TEST_CASE(a_refusal_of_one_that_would_wait_spends_a_retry)
{
    Bench bench(makeSettings(1));
    bench.upAll();
    bench.feed(chatRequest("r1"));
    BOOST_TEST(Bench::sent<Submit>(bench.last).at(0).mayWait);
    bench.from(bench.engines()[0].id, refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun, 2s));
    BOOST_REQUIRE(bench.failures().size() == 1U);
    BOOST_TEST((bench.failures()[0].failure.retryAfter == Duration(2s)));
}

BOOST_AUTO_TEST_SUITE_END()
