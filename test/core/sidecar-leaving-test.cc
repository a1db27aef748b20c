#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto modelPool(std::uint32_t members = 3, std::uint32_t slots = 1) -> Pool
{
    auto pool = poolOf(members, slots);
    pool.kind = applehatch::settings::PoolKind::Model;
    return pool;
}

auto chatRequest(const Sidecar &sidecar, const RequestId &id, ChatKey chat) -> Submit
{
    auto submit = sidecar.request(id);
    submit.terms.chat = chat;
    return submit;
}

auto leave(Sidecar &sidecar, const std::string &how) -> void
{
    if (how == "host-list") {
        sidecar.give(HostListRead{{1, {{"127.0.1.1", HostState::Leaving}}}});
        return;
    }
    if (how == "drain") {
        sidecar.give(DrainRequested{});
        return;
    }
    auto without = sidecar.pool();
    without.members.erase(without.members.begin());
    sidecar.give(SettingsInForce{settingsOf(without, 2)});
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_leaving)

// The platform withdraws a host. New requests must go to other upstreams at once and running ones
// must finish, whichever way the sidecar learns of it.
BOOST_AUTO_TEST_CASE(leaving_finishes_running_and_queued_requests)
{
    for (const std::string how : {"host-list", "settings", "drain"}) {
        Sidecar sidecar(modelPool());
        sidecar.receiveLoad(1, 2).receiveLoad(2, 2);
        const auto run = sidecar.run(sidecar.request("r1"));
        sidecar.from(sidecar.request("r2"));
        BOOST_TEST(sidecar.node().counts().waiting == 1U);
        leave(sidecar, how);
        BOOST_TEST((sidecar.node().state() == UpstreamState::Leaving), how);
        BOOST_TEST(sidecar.refusal().loads.at(0).upstream == sidecar.id(0), how);
        BOOST_TEST((sidecar.refusal().loads.at(0).state == UpstreamState::Leaving), how);
        BOOST_REQUIRE(!sidecar.did<SendDigest>().empty());
        BOOST_TEST(
            (sidecar.did<SendDigest>().at(0).digest.entries.at(0).state == UpstreamState::Leaving));
        sidecar.from(sidecar.request("r3"));
        BOOST_TEST(outcomeOf(sidecar.refusal()) == "upstream-leaving/not-run");
        BOOST_TEST(sidecar.refusal().loads.at(0).upstream != sidecar.id(0));
        sidecar.answer(run, "abc");
        const auto second = sidecar.started();
        sidecar.answer(second, "def");
        BOOST_TEST(sidecar.sent<End>().size() == 1U);
        sidecar.from(Acknowledge{"r1", 3, true}).pass(50ms);
        BOOST_TEST(sidecar.did<Drained>().empty());
        sidecar.from(Acknowledge{"r2", 3, true}).pass(1s);
        BOOST_TEST(sidecar.did<Drained>().size() == (how == "drain" ? 1U : 0U));
    }
}

// A router received the end of an answer but died before it acknowledged it. The process must
// neither wait forever nor exit while another router may still ask for the answer.
BOOST_AUTO_TEST_CASE(unacknowledged_answers_delay_the_drain_for_their_lifetime)
{
    Sidecar sidecar(modelPool());
    sidecar.answer(sidecar.run(sidecar.request("r1")), "abc");
    sidecar.give(DrainRequested{}).pass(58s);
    BOOST_TEST(sidecar.did<Drained>().empty());
    sidecar.pass(3s);
    BOOST_TEST(sidecar.did<Drained>().size() == 1U);
}

// A lagging host list reports a host as leaving that stays, or is empty because it could not be
// read.
BOOST_AUTO_TEST_CASE(a_later_host_list_may_cancel_the_leaving)
{
    Sidecar sidecar(modelPool());
    leave(sidecar, "host-list");
    sidecar.give(HostListRead{{2, {}}});
    BOOST_TEST((sidecar.node().state() == UpstreamState::Leaving));
    sidecar.give(HostListRead{{3, {{"127.0.1.1", HostState::Live}}}});
    BOOST_TEST((sidecar.node().state() == UpstreamState::Serving));
}

// An engine is stopped on purpose: the chats that it holds are copied to their next owners.
BOOST_AUTO_TEST_CASE(most_recently_used_chats_are_handed_to_their_next_owner)
{
    Sidecar sidecar(modelPool(3, 8));
    sidecar.receiveLoad(1, 2);
    sidecar.give(CacheEvents{{21, 22, 23, 24, 25, 26}, {24}, false});
    sidecar.give(DrainRequested{});
    const auto first = sidecar.did<HandOff>();
    BOOST_TEST(first.size() == 4U);
    BOOST_TEST(first.at(0).chat == 26U);
    // No load of member 2 is known, so all chats go to member 1.
    for (const auto &handOff : first)
        BOOST_TEST(handOff.to == sidecar.id(1));
    sidecar.pass(1s);
    BOOST_TEST(sidecar.did<Drained>().empty());
    for (const ChatKey chat : {26U, 25U, 23U, 22U, 21U})
        sidecar.give(HandoffDone{chat, sidecar.id(1), true});
    BOOST_TEST(sidecar.did<Drained>().size() == 1U);
    sidecar.from(chatRequest(sidecar, "r1", 26));
    BOOST_TEST(sidecar.refusal().redirect == sidecar.id(1));
}

// A chat ran at another engine because its owner was full. Its next turn reaches the owner: it is
// redirected if the owner no longer has the context or is full again, and runs at the owner
// otherwise.
BOOST_AUTO_TEST_CASE(pointers_redirect_returning_chats)
{
    struct Row
    {
        bool warmHere;
        bool full;
        bool holderServes;
        bool redirected;
        bool runs;
    };
    const std::vector<Row> rows = {{false, false, true, true, false},
                                   {true, false, true, false, true},
                                   {true, true, true, true, false},
                                   {true, true, false, false, false},
                                   {false, false, false, false, true}};
    for (const auto &row : rows) {
        auto pool = modelPool();
        pool.queueLimit = 0;
        Sidecar sidecar(pool);
        sidecar.receiveLoad(1, 2);
        if (row.full)
            sidecar.run(sidecar.request("other"));
        sidecar.from(Moved{5, sidecar.id(1)});
        BOOST_TEST(sidecar.node().counts().pointers == 1U);
        if (row.warmHere)
            sidecar.give(CacheEvents{{5}, {}, true});
        if (!row.holderServes)
            sidecar.receiveLoad(1, 2, UpstreamState::Leaving);
        sidecar.from(chatRequest(sidecar, "r1", 5));
        BOOST_TEST(sidecar.did<StartRun>().size() == (row.runs ? 1U : 0U));
        if (!row.runs)
            BOOST_TEST((sidecar.refusal().redirect == sidecar.id(1)) == row.redirected);
        if (!row.redirected)
            continue;
        // The holder refused too and the router returns: another redirect would only repeat this
        // forever.
        sidecar.from(chatRequest(sidecar, "r1", 5));
        auto second = chatRequest(sidecar, "r1", 5);
        second.attempt = 3;
        sidecar.from(second);
        BOOST_TEST(sidecar.did<StartRun>().size() == (row.full ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_CASE(a_run_at_another_engine_notifies_the_chat_owner)
{
    Sidecar sidecar(modelPool());
    auto submit = chatRequest(sidecar, "r1", 5);
    submit.movedFrom = sidecar.id(2);
    sidecar.from(submit);
    const auto sent = sidecar.did<SendToUpstreamPeer>();
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent.at(0).upstream == sidecar.id(2));
    BOOST_TEST(std::get<Moved>(sent.at(0).message).holder == sidecar.id(0));
}

BOOST_AUTO_TEST_SUITE_END()
