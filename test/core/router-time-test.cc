#include "core/router-fixture.h"

#include "../src/core/router-pools.h"

#include <set>

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

} // namespace

BOOST_AUTO_TEST_SUITE(router_time)

// The upstream is slow or gone. The caller must hear at its deadline, with what is known of the
// run, and an engine must not go on for an answer that nobody takes.
BOOST_AUTO_TEST_CASE(a_deadline_is_told_on_time_with_what_is_known_of_the_run)
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
          Row{"begun", true, true, Run::Ran}}) {
        Bench bench;
        auto request = chatRequest("r1", 5);
        request.deadline = 1s;
        bench.feed(request);
        const auto upstream = Bench::of<OpenLink>(bench.last)[0].upstream;
        if (row.opened)
            bench.up(upstream);
        if (row.begun)
            bench.from(upstream, streamHead("r1"));
        bench.pass(950ms);
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_TEST(bench.failures().empty());
            bench.pass(50ms);
            BOOST_REQUIRE(bench.failures().size() == 1U);
            BOOST_TEST((bench.failures()[0].failure.kind == ErrorKind::DeadlineExceeded));
            BOOST_TEST((bench.failures()[0].failure.run == row.run));
            BOOST_TEST(Bench::sent<Revoke>(bench.last).size() == (row.opened ? 1U : 0U));
            BOOST_TEST(bench.from(upstream, Revoked{"r1", 1, Run::NotRun}).empty());
        }
    }
}

// The link opens only after the deadline, the request having waited for it.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_its_deadline)
{
    Bench bench;
    auto request = chatRequest("r1", 5);
    request.deadline = 1s;
    bench.feed(request);
    const auto upstream = Bench::of<OpenLink>(bench.last)[0].upstream;
    bench.now += 1s;
    bench.up(upstream);
    BOOST_TEST(Bench::sent<Submit>(bench.all).empty());
    BOOST_TEST((bench.failures().at(0).failure.run == Run::NotRun));
}

// A router is replaced. Requests that it still took after the order to stop would be cut off.
BOOST_AUTO_TEST_CASE(a_draining_router_takes_nothing_new_and_finishes_the_rest)
{
    Bench bench;
    bench.feed(chatRequest("r1", 5));
    const auto upstream = bench.openAsked();
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
    bench.pass(2s);
    BOOST_TEST(Bench::of<Drained>(bench.all).size() == 1U);
}

BOOST_AUTO_TEST_CASE(before_settings_nothing_is_served)
{
    RouterNode node({"router-1", "bole", 1});
    BOOST_TEST(!node.ready());
    const auto actions = node.handle(chatRequest("r1"), start);
    BOOST_TEST((Bench::of<AnswerFailure>(actions).at(0).failure.kind == ErrorKind::NotReady));
}

BOOST_AUTO_TEST_CASE(each_second_one_random_sidecar_is_asked_over_all_pools)
{
    Bench bench;
    bench.feed(DigestReceived{
        {0, {{bench.engines()[0].id, 1, 1, 3, 0, 8, UpstreamState::Serving, 0us}}, {}, {}, false}});
    BOOST_TEST(bench.node.loads().size() == 1U);
    bench.pass(60s);
    const auto digests = Bench::of<SendDigest>(bench.all);
    BOOST_TEST(digests.size() == 60U);
    std::set<UpstreamId> asked;
    for (const auto &digest : digests) {
        BOOST_TEST(digest.digest.wantsReply);
        BOOST_TEST(digest.digest.settingsIndex == 1U);
        asked.insert(digest.upstream);
    }
    BOOST_TEST(asked.size() == 8U);
    BOOST_TEST(digests[0].digest.entries.size() == 1U);
}

// A router knows of every pool's upstreams. A sidecar has no use for those of other pools, and both
// pay for each entry.
BOOST_AUTO_TEST_CASE(a_question_tells_of_the_asked_pool_only)
{
    Bench bench;
    const auto &pools = bench.node.settings()->teams.at("ledger")->pools;
    Digest digest;
    for (const auto &[name, pool] : pools) {
        for (const auto &each : pool.members)
            digest.entries.push_back({each.id, 1, 1, 3, 0, 8, UpstreamState::Serving, 0us});
    }
    bench.feed(DigestReceived{digest});
    bench.pass(3s);
    const auto questions = Bench::of<SendDigest>(bench.all);
    BOOST_TEST(questions.size() == pools.size());
    std::size_t told = 0;
    for (const auto &question : questions) {
        const auto pool = findPoolOf(*bench.node.settings(), "ledger", question.upstream);
        for (const auto &entry : question.digest.entries) {
            BOOST_TEST(pool.member(entry.upstream) != nullptr);
            ++told;
        }
    }
    BOOST_TEST(told == digest.entries.size());
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
    const auto token = formatContext({engines[2].id, life});
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
    // The next request goes where it said.
    const auto plain = bench.node.explain("ledger", "drafting", "chat-1", "", bench.now);
    bench.feed(chatRequest("r1", stableHash("chat-1")));
    BOOST_TEST(Bench::of<OpenLink>(bench.last).at(0).upstream == plain[0].upstream);
    BOOST_TEST(bench.node.explain("ledger", "none", "c", "", bench.now).empty());
}

// The host list lags, and during a partition it may name no host that this router can use. Weak
// evidence must not leave a request without any upstream; word that one is leaving does.
BOOST_AUTO_TEST_CASE(weak_evidence_never_empties_a_pool)
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

// Host lists differ for seconds, and one names an engine as leaving that goes on. Chats whose
// context it holds would all start cold elsewhere, which their users notice as a long wait.
BOOST_AUTO_TEST_CASE(a_list_alone_does_not_part_a_chat_from_its_context_at_once)
{
    struct Row
    {
        std::string what;
        UpstreamState own;
        Duration digestAge;
        bool withToken;
        Duration listed;
        bool goesHome;
    };
    for (const auto &row :
         {Row{"returns", UpstreamState::Serving, 1s, true, 0s, true},
          Row{"just before the end", UpstreamState::Serving, 0s, true, 2900ms, true},
          Row{"listed for long", UpstreamState::Serving, 0s, true, 3s, false},
          Row{"new", UpstreamState::Serving, 1s, false, 0s, false},
          Row{"says so itself", UpstreamState::Leaving, 1s, true, 0s, false},
          Row{"not heard of", UpstreamState::Serving, 4s, true, 0s, false}}) {
        Bench bench;
        const auto home = bench.engines()[1].id;
        HostList list{1, {}};
        for (const auto &engine : bench.engines())
            list.hosts.push_back({engine.sidecar.ip, HostState::Live});
        list.hosts[1].state = HostState::Leaving;
        bench.feed(HostListRead{list});
        bench.now += row.listed;
        bench.feed(HostListRead{list});
        Digest digest;
        digest.entries = {{home, 1, 1, 0, 0, 8, row.own, row.digestAge}};
        bench.feed(DigestReceived{digest});
        auto request = chatRequest("r1", 5);
        if (row.withToken)
            request.contextToken = formatContext({home, life});
        bench.feed(request);
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_TEST((Bench::of<OpenLink>(bench.last).at(0).upstream == home) == row.goesHome);
        }
    }
}

// A sidecar is replaced while its engine goes on. For a second routers still hear that it is
// joining; a chat sent elsewhere meanwhile pays for a context that is there. One that takes long to
// join is left alone, or each of its chats would cost a retry.
BOOST_AUTO_TEST_CASE(returning_chat_asks_a_home_whose_sidecar_has_just_begun)
{
    struct Row
    {
        std::uint32_t version;
        bool withToken;
        bool goesHome;
    };
    for (const auto &row : {Row{2, true, true}, Row{2, false, false}, Row{9, true, false}}) {
        Bench bench;
        const auto home = bench.engines()[1].id;
        Digest digest;
        digest.entries = {{home, 1, row.version, 0, 0, 8, UpstreamState::Joining, 1s}};
        bench.feed(DigestReceived{digest});
        auto request = chatRequest("r1", 5);
        if (row.withToken)
            request.contextToken = formatContext({home, life});
        bench.feed(request);
        BOOST_TEST((Bench::of<OpenLink>(bench.last).at(0).upstream == home) == row.goesHome);
    }
}

BOOST_AUTO_TEST_SUITE_END()
