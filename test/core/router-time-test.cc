#include "core/router-fixture.h"

#include "../src/core/router-pools.h"

#include <set>

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

} // namespace

BOOST_AUTO_TEST_SUITE(router_time)

// The upstream is slow or unreachable. The caller must get a failure at its deadline that states
// what is known of the run, and an engine must not continue an answer that nobody reads.
BOOST_AUTO_TEST_CASE(a_deadline_failure_comes_on_time_with_what_is_known_of_the_run)
{
    struct Row
    {
        std::string what;
        bool opened;
        bool begun;
        Run run;
    };
    for (const auto &row :
         {Row{"waiting", false, false, Run::NotRun}, Row{"submitted", true, false, Run::Unknown},
          Row{"answer begun", true, true, Run::Ran}}) {
        Bench bench;
        auto request = chatRequest("r1", 5);
        request.deadline = 1s;
        bench.feed(request);
        const auto upstream = Bench::of<OpenLink>(bench.last)[0].upstream;
        if (row.opened)
            bench.openLink(upstream);
        if (row.begun)
            bench.from(upstream, streamHead("r1"));
        bench.advance(950ms);
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_TEST(bench.failures().empty());
            bench.advance(50ms);
            BOOST_REQUIRE(bench.failures().size() == 1U);
            BOOST_TEST((bench.failures()[0].failure.kind == ErrorKind::DeadlineExceeded));
            BOOST_TEST((bench.failures()[0].failure.run == row.run));
            BOOST_TEST(Bench::sent<Revoke>(bench.last).size() == (row.opened ? 1U : 0U));
            BOOST_TEST(bench.from(upstream, Revoked{"r1", 1, Run::NotRun}).empty());
        }
    }
}

// A request waits for a link that opens only after the request's deadline.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_its_deadline)
{
    Bench bench;
    auto request = chatRequest("r1", 5);
    request.deadline = 1s;
    bench.feed(request);
    const auto upstream = Bench::of<OpenLink>(bench.last)[0].upstream;
    bench.now += 1s;
    bench.openLink(upstream);
    BOOST_TEST(Bench::sent<Submit>(bench.all).empty());
    BOOST_TEST((bench.failures().at(0).failure.run == Run::NotRun));
}

// A router is replaced. Requests that it accepted after the drain request would be cut off.
BOOST_AUTO_TEST_CASE(a_draining_router_takes_nothing_new_and_finishes_the_rest)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto upstream = bench.openRequestedLink();
    BOOST_TEST(bench.node.ready());
    bench.feed(DrainRequested{});
    BOOST_TEST(bench.last.empty());
    BOOST_TEST(!bench.node.ready());
    BOOST_TEST(bench.node.draining());
    bench.feed(chatRequest("r2"));
    bench.feed(TicketRequest{"t1", "ledger", "east", "jobs"});
    bench.feed(CallerResume{"x1", formatPosition({upstream, "r1", 0}), "ledger", "east"});
    BOOST_REQUIRE(bench.failures().size() == 3U);
    for (const auto &failed : bench.failures()) {
        BOOST_TEST((failed.failure.kind == ErrorKind::Draining));
        BOOST_TEST((failed.failure.run == Run::NotRun));
        BOOST_TEST(failed.failure.retryAfter.has_value());
    }
    bench.from(upstream, streamHead("r1"));
    bench.from(upstream, Chunk{"r1", 0, "data: 1\n\n"});
    bench.from(upstream, End{"r1", 9, stableHash("data: 1\n\n"), {}});
    BOOST_TEST(Bench::of<AnswerEnd>(bench.last).size() == 1U);
    BOOST_TEST(Bench::of<Drained>(bench.all).empty());
    bench.feed(CallerConsumed{"r1", 9});
    BOOST_TEST(Bench::of<Drained>(bench.last).size() == 1U);
    bench.advance(2s);
    BOOST_TEST(Bench::of<Drained>(bench.all).size() == 1U);
}

BOOST_AUTO_TEST_CASE(before_settings_nothing_is_served)
{
    RouterNode node({"router-1", "bole", 1});
    BOOST_TEST(!node.ready());
    const auto actions = node.handle(chatRequest("r1"), start);
    BOOST_TEST((Bench::of<AnswerFailure>(actions).at(0).failure.kind == ErrorKind::NotReady));
}

BOOST_AUTO_TEST_CASE(a_digest_goes_to_one_random_sidecar_of_all_pools_every_second)
{
    Bench bench;
    bench.feed(DigestReceived{
        {0, {{bench.engines()[0].id, 1, 1, 3, 0, 8, UpstreamState::Serving, 0us}}, {}, {}, false}});
    BOOST_TEST(bench.node.loads().size() == 1U);
    bench.advance(60s);
    const auto digests = Bench::of<SendDigest>(bench.all);
    BOOST_TEST(digests.size() == 60U);
    std::set<UpstreamId> targets;
    for (const auto &digest : digests) {
        BOOST_TEST(digest.digest.wantsReply);
        BOOST_TEST(digest.digest.settingsIndex == 1U);
        targets.insert(digest.upstream);
    }
    BOOST_TEST(targets.size() == 8U);
    BOOST_TEST(digests[0].digest.entries.size() == 1U);
}

// A router has load entries of the upstreams of every pool. A sidecar does not use those of other
// pools, and each entry costs the router and the sidecar traffic.
BOOST_AUTO_TEST_CASE(a_digest_holds_entries_of_the_receivers_pool_only)
{
    Bench bench;
    const auto &pools = bench.node.settings()->teams.at("ledger")->pools;
    Digest digest;
    for (const auto &[name, pool] : pools) {
        for (const auto &each : pool.members)
            digest.entries.push_back({each.id, 1, 1, 3, 0, 8, UpstreamState::Serving, 0us});
    }
    bench.feed(DigestReceived{digest});
    bench.advance(3s);
    const auto digestsSent = Bench::of<SendDigest>(bench.all);
    BOOST_TEST(digestsSent.size() == pools.size());
    std::size_t entryCount = 0;
    for (const auto &digestSent : digestsSent) {
        const auto pool = findPoolOf(*bench.node.settings(), "ledger", digestSent.upstream);
        for (const auto &entry : digestSent.digest.entries) {
            BOOST_TEST(pool.member(entry.upstream) != nullptr);
            ++entryCount;
        }
    }
    BOOST_TEST(entryCount == digest.entries.size());
}

BOOST_AUTO_TEST_CASE(explain_names_every_candidate_and_changes_nothing)
{
    Bench bench(makeSettings(5));
    const auto &engines = bench.engines();
    Digest digest;
    digest.entries = {{engines[0].id, 1, 1, 3, 0, 8, UpstreamState::Leaving, 0us},
                      {engines[1].id, 1, 1, 3, 0, 8, UpstreamState::Down, 0us},
                      {engines[2].id, 1, 1, 3, 1, 8, UpstreamState::Serving, 0us}};
    bench.feed(DigestReceived{digest});
    HostList hosts{1, {}};
    for (auto i = 0; i < 4; ++i)
        hosts.hosts.push_back({engines[static_cast<std::size_t>(i)].sidecar.ip, HostState::Live});
    bench.feed(HostListRead{hosts});
    const auto token = formatContext({engines[2].id, firstIncarnation});
    const auto explained = bench.node.explain("ledger", "drafting", "chat-1", token, bench.now);
    BOOST_REQUIRE(explained.size() == 5U);
    BOOST_TEST(explained[0].upstream == engines[2].id);
    BOOST_TEST(explained[0].chosen);
    BOOST_TEST(explained[0].reason == "token");
    BOOST_TEST(explained[0].load == 4U);
    std::map<std::string, std::string> reasons;
    for (const auto &candidate : explained)
        reasons[candidate.name] = candidate.reason;
    BOOST_TEST(reasons["eng-0"] == "leaving");
    BOOST_TEST(reasons["eng-1"] == "down");
    BOOST_TEST(reasons["eng-3"] == "ranked-lower");
    BOOST_TEST(reasons["eng-4"] == "not-listed");
    // The next request goes to the upstream that explain() reported.
    const auto plain = bench.node.explain("ledger", "drafting", "chat-1", "", bench.now);
    bench.feed(chatRequest("r1", stableHash("chat-1")));
    BOOST_TEST(Bench::of<OpenLink>(bench.last).at(0).upstream == plain[0].upstream);
    BOOST_TEST(bench.node.explain("ledger", "none", "c", "", bench.now).empty());
}

// The host list lags, and during a partition it may list no host that this router can use. Absence
// from the list is weak evidence and must not leave a request without any upstream. An entry that
// marks a host as leaving does rule it out.
BOOST_AUTO_TEST_CASE(absence_from_the_host_list_never_empties_a_pool)
{
    Bench bench;
    bench.feed(HostListRead{{1, {{"127.0.9.9", HostState::Live}}}});
    bench.feed(chatRequest("r1"));
    BOOST_TEST(Bench::of<OpenLink>(bench.last).size() == 1U);
    HostList leaving{2, {}};
    for (const auto &engine : bench.engines())
        leaving.hosts.push_back({engine.sidecar.ip, HostState::Leaving});
    bench.feed(HostListRead{leaving});
    bench.feed(chatRequest("r2"));
    BOOST_TEST((bench.failures().at(0).failure.kind == ErrorKind::NoUpstream));
    BOOST_TEST((bench.failures().at(0).failure.run == Run::NotRun));
    bench.feed(HostListRead{{3, {}}});
    bench.feed(chatRequest("r3"));
    BOOST_TEST(bench.failures().size() == 1U);
}

// Host lists differ for seconds, and one marks an engine as leaving that continues to serve. All
// chats whose context it holds would start cold elsewhere, which users notice as a long wait.
BOOST_AUTO_TEST_CASE(a_host_list_alone_does_not_move_a_chat_from_its_context_at_once)
{
    struct Row
    {
        std::string what;
        UpstreamState own;
        Duration digestAge;
        bool withToken;
        Duration listed;
        bool goesToContextHolder;
    };
    for (const auto &row :
         {Row{"returning chat", UpstreamState::Serving, 1s, true, 0s, true},
          Row{"listed almost too long", UpstreamState::Serving, 0s, true, 2900ms, true},
          Row{"listed too long", UpstreamState::Serving, 0s, true, 3s, false},
          Row{"new chat", UpstreamState::Serving, 1s, false, 0s, false},
          Row{"digest says leaving", UpstreamState::Leaving, 1s, true, 0s, false},
          Row{"digest too old", UpstreamState::Serving, 4s, true, 0s, false}}) {
        Bench bench;
        const auto contextHolder = bench.engines()[1].id;
        HostList list{1, {}};
        for (const auto &engine : bench.engines())
            list.hosts.push_back({engine.sidecar.ip, HostState::Live});
        list.hosts[1].state = HostState::Leaving;
        bench.feed(HostListRead{list});
        bench.now += row.listed;
        bench.feed(HostListRead{list});
        Digest digest;
        digest.entries = {{contextHolder, 1, 1, 0, 0, 8, row.own, row.digestAge}};
        bench.feed(DigestReceived{digest});
        auto request = chatRequest("r1", 5);
        if (row.withToken)
            request.contextToken = formatContext({contextHolder, firstIncarnation});
        bench.feed(request);
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_TEST((Bench::of<OpenLink>(bench.last).at(0).upstream == contextHolder)
                       == row.goesToContextHolder);
        }
    }
}

// A sidecar is replaced while its engine continues. For a second, digests still report it as
// joining, and a chat sent elsewhere in that time rebuilds a context that the engine has. An
// upstream that takes long to join is skipped, or each of its chats would spend a retry.
BOOST_AUTO_TEST_CASE(returning_chat_goes_to_an_upstream_whose_sidecar_has_just_started)
{
    struct Row
    {
        std::uint32_t version;
        bool withToken;
        bool goesToContextHolder;
    };
    for (const auto &row : {Row{2, true, true}, Row{2, false, false}, Row{9, true, false}}) {
        Bench bench;
        const auto contextHolder = bench.engines()[1].id;
        Digest digest;
        digest.entries = {{contextHolder, 1, row.version, 0, 0, 8, UpstreamState::Joining, 1s}};
        bench.feed(DigestReceived{digest});
        auto request = chatRequest("r1", 5);
        if (row.withToken)
            request.contextToken = formatContext({contextHolder, firstIncarnation});
        bench.feed(request);
        BOOST_TEST((Bench::of<OpenLink>(bench.last).at(0).upstream == contextHolder)
                   == row.goesToContextHolder);
    }
}

BOOST_AUTO_TEST_SUITE_END()
