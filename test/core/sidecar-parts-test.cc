#include "applehatch/core/answer-store.h"
#include "applehatch/core/chat-pointers.h"
#include "applehatch/core/crash-tracker.h"
#include "applehatch/core/gossip.h"
#include "applehatch/core/order-plan.h"
#include "applehatch/core/run-once-table.h"
#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

BOOST_AUTO_TEST_SUITE(sidecar_parts)

// Memory for answers is exhausted. Finished answers are evicted first, oldest first; then the
// running one whose router reads most slowly.
BOOST_AUTO_TEST_CASE(answers_are_evicted_in_order)
{
    AnswerStore store({100, 60, 10s});
    for (std::uint64_t run = 1; run <= 4; ++run)
        store.begin(run);
    BOOST_TEST(store.append(1, std::string(30, 'a')).empty());
    BOOST_TEST(store.append(2, std::string(30, 'b')).empty());
    store.finish(2, Instant{1s});
    store.finish(1, Instant{2s});
    BOOST_TEST(store.append(3, std::string(50, 'c')) == std::vector<std::uint64_t>{2},
               boost::test_tools::per_element());
    BOOST_TEST(store.append(4, std::string(40, 'd')) == std::vector<std::uint64_t>{1},
               boost::test_tools::per_element());
    BOOST_TEST(store.append(4, std::string(15, 'd')) == std::vector<std::uint64_t>{4},
               boost::test_tools::per_element());
    BOOST_TEST(store.bytes() == 50U);
    BOOST_TEST(store.append(3, std::string(11, 'c')) == std::vector<std::uint64_t>{3},
               boost::test_tools::per_element());
    BOOST_TEST(store.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(answers_keep_offsets_and_hash)
{
    AnswerStore store({1000, 60, 10s});
    store.begin(1);
    for (int part = 0; part < 3; ++part) {
        BOOST_TEST(store.append(1, std::string(40, static_cast<char>('a' + part))).empty());
        store.acknowledge(1, store.find(1)->length());
    }
    const auto body = std::string(40, 'a') + std::string(40, 'b') + std::string(40, 'c');
    BOOST_TEST(store.find(1)->hash() == stableHash(body));
    BOOST_TEST(store.find(1)->from(79) == body.substr(79));
    BOOST_TEST(store.unfinished(1));
    store.finish(1, Instant{1s});
    BOOST_TEST(store.expire(Instant{10s}).empty());
    BOOST_TEST(store.expire(Instant{11s}).size() == 1U);
    BOOST_TEST(store.find(1) == nullptr);
    StoredAnswer late(50);
    late.append("xy");
    BOOST_TEST(late.from(51) == "y");
    BOOST_TEST(late.hash() == 0U);
}

// The table of keys is full. If one key were evicted for another, it could run twice.
BOOST_AUTO_TEST_CASE(live_keys_are_never_forgotten)
{
    RunOnceTable table(2, 10);
    BOOST_TEST(table.begin("a", 1, 1, Instant{}));
    BOOST_TEST(table.begin("b", 2, 2, Instant{}));
    table.record("a", {200, {}, "12345678"}, Instant{5s});
    BOOST_TEST(!table.begin("c", 3, 3, Instant{4s}));
    table.record("b", {200, {}, "12345678"}, Instant{9s});
    BOOST_TEST(table.find("a")->answer == nullptr);
    BOOST_TEST((table.find("a")->state == RunOnceEntry::State::Answered));
    BOOST_TEST(table.find("b")->answer->body == "12345678");
    BOOST_TEST(table.begin("c", 3, 3, Instant{5s}));
    BOOST_TEST(table.find("a") == nullptr);
    table.forget("c");
    BOOST_TEST(table.size() == 1U);
}

// Two crashes make a request a suspect, however often their notices arrive. A request that finishes
// is cleared, and late gossip must not make it a suspect again.
BOOST_AUTO_TEST_CASE(crash_notices)
{
    CrashTracker tracker(100);
    const auto notice = [](Incarnation incarnation, std::uint32_t sequence) {
        return CrashNotice{5, {1, incarnation}, sequence, 10s};
    };
    BOOST_TEST(tracker.apply(notice(1, 1), Instant{}));
    BOOST_TEST(!tracker.apply(notice(1, 1), Instant{}));
    BOOST_TEST(!tracker.isSuspect(5, Instant{}));
    BOOST_TEST(tracker.apply(notice(1, 2), Instant{}));
    BOOST_TEST(tracker.isSuspect(5, Instant{9s}));
    BOOST_TEST(!tracker.isSuspect(5, Instant{10s}));
    tracker.clear(5, Instant{});
    BOOST_TEST(!tracker.apply(notice(1, 2), Instant{}));
    BOOST_TEST(tracker.crashes(5, Instant{}) == 0U);
    CrashTracker other(100);
    other.apply(notice(1, 1), Instant{});
    for (const auto &gossiped : tracker.notices(10, Instant{}))
        other.apply(gossiped, Instant{});
    BOOST_TEST(other.crashes(5, Instant{}) == 0U);
}

BOOST_AUTO_TEST_CASE(expiring_map_is_bounded)
{
    ExpiringMap<int> map(2);
    map.put(1, 1, Instant{9s});
    map.put(2, 2, Instant{3s});
    map.put(1, 4, Instant{9s});
    map.put(3, 3, Instant{9s});
    BOOST_TEST(map.find(2, Instant{}) == nullptr);
    BOOST_TEST((map.forgottenUntil() == Instant{3s}));
    BOOST_TEST(*map.find(1, Instant{8s}) == 4);
    BOOST_TEST(map.find(1, Instant{9s}) == nullptr);
    BOOST_TEST(map.newest(1) == std::vector<std::uint64_t>{3}, boost::test_tools::per_element());
    map.expire(Instant{9s});
    BOOST_TEST(map.size() == 0U);
}

// Between data centres only sums may be sent once a pool is large, or control traffic would grow
// with the fleet. No digest may exceed its datagram.
BOOST_AUTO_TEST_CASE(digests_stay_within_their_size_limit)
{
    for (const auto members : {4U, 18U, 400U}) {
        auto pool = poolOf(members, 8);
        LoadTable loads;
        for (std::size_t at = 0; at < pool.members.size(); ++at) {
            pool.members[at].dataCenter = at % 2 == 0 ? "dc" : "far";
            loads.apply({{pool.members[at].id, 1, 1, 2, 0, 8, UpstreamState::Serving, 0us}},
                        Instant{});
        }
        const GossipView view{pool, pool.members[0].id, "dc", 3, 1000};
        PoolSums sums;
        const CrashTracker crashes(9);
        DigestRecipient remoteRecipient;
        remoteRecipient.isSameDataCenter = false;
        const auto near = composeDigest(view, loads, sums, crashes, {}, Instant{});
        const auto far = composeDigest(view, loads, sums, crashes, remoteRecipient, Instant{});
        BOOST_TEST(near.entries.size() <= 20U);
        BOOST_TEST(near.entries.at(0).upstream == view.self);
        BOOST_TEST(far.entries.empty() == (members > 20));
        BOOST_TEST(far.sums.size() == (members > 20 ? 1U : 0U));
        if (!far.sums.empty()) {
            BOOST_TEST(far.sums.at(0).load == members);
            LoadTable elsewhere;
            const GossipView farView{pool, pool.members[1].id, "far", 3, 1000};
            sums.apply(far.sums, Instant{});
            BOOST_TEST(wholePoolLoad(farView, elsewhere, sums, Instant{}).load == members);
            BOOST_TEST(wholePoolLoad(farView, elsewhere, sums, Instant{11s}).load == 0U);
        }
    }
}

// A sidecar with old settings, of an old incarnation or after a suspension must not undo a newer
// order.
BOOST_AUTO_TEST_CASE(fencing_numbers_only_increase)
{
    FencingNumbers numbers(3);
    BOOST_TEST(numbers.observe(0));
    const auto first = numbers.next(10);
    const auto second = numbers.next(10);
    BOOST_TEST((*second > *first));
    BOOST_TEST((*numbers.next(11) > *second));
    BOOST_TEST(!numbers.next(10).has_value());

    FencingNumbers successor(4);
    BOOST_TEST(successor.observe(*second));
    BOOST_TEST(!successor.next(9).has_value());
    BOOST_TEST((*successor.next(10) > *second));

    FencingNumbers suspended(3);
    BOOST_TEST(suspended.observe(5));
    BOOST_TEST(!suspended.observe(*second + 9));
    BOOST_TEST(!suspended.next(99).has_value());
}

BOOST_AUTO_TEST_CASE(changes_unload_before_they_load)
{
    BOOST_TEST((nextChange({"a", "b"}, {"b", "c"}) == PlannedChange{ModelChange::Unload, "c"}));
    BOOST_TEST((nextChange({"a", "b"}, {"b"}) == PlannedChange{ModelChange::Load, "a"}));
    BOOST_TEST(!nextChange({"a"}, {"a"}).has_value());
    BOOST_TEST(mayBeginRollout({0, 1, 2, 4s, 2s}));
    BOOST_TEST(!mayBeginRollout({0, 1, 2, 3s, 2s}));
    BOOST_TEST(!mayBeginRollout({1, 1, 0, 9s, 2s}));
}

BOOST_AUTO_TEST_SUITE_END()
