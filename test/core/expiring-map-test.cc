#include "applehatch/core/expiring-map.h"
#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

BOOST_AUTO_TEST_SUITE(expiring_map)

// A sidecar keeps pointers and tombstones of 100,000 chats and attempts. Expiring all of them in
// one tick would hold its lock for tens of milliseconds every second and make every stream stutter.
BOOST_AUTO_TEST_CASE(one_tick_visits_a_bounded_part_of_a_large_table)
{
    constexpr std::size_t chats = 20000;
    Sidecar sidecar(poolOf(3, 4));
    for (std::size_t chat = 1; chat <= chats; ++chat)
        sidecar.from(Moved{stableHash(std::to_string(chat)), sidecar.id(1)});
    BOOST_REQUIRE(sidecar.node().counts().pointers == chats);
    sidecar.now += 7h; // Longer than the lifetime of a pointer.
    sidecar.give(Tick{});
    BOOST_TEST(sidecar.node().counts().pointers >= chats / 2);
    sidecar.pass(10s);
    BOOST_TEST(sidecar.node().counts().pointers == 0U);
}

// An expired entry that the sweep has not reached yet must not be returned: an expired tombstone
// would refuse a new attempt, and an expired pointer would send a chat to an engine that no longer
// holds its context.
BOOST_AUTO_TEST_CASE(an_unvisited_expired_value_is_not_found)
{
    constexpr std::size_t values = 1000;
    ExpiringMap<int> map(values);
    for (std::uint64_t key = 0; key < values; ++key)
        map.put(key, 1, Instant{10s + std::chrono::milliseconds(key % 2)});
    map.expireSome(Instant{10s}, 100);
    BOOST_TEST(map.size() > values / 2);
    for (std::uint64_t key = 0; key < values; ++key)
        BOOST_TEST((map.find(key, Instant{10s}) == nullptr) == (key % 2 == 0));
    for (int i = 0; i < 100; ++i)
        map.expireSome(Instant{10s}, 100);
    BOOST_TEST(map.size() == values / 2);
    map.expireSome(Instant{11s}, 100 * values);
    BOOST_TEST(map.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
