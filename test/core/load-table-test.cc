#include "applehatch/core/load-table.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;

auto entry(UpstreamId id, Incarnation incarnation, std::uint32_t version, std::uint32_t running)
    -> DigestEntry
{
    return {id, incarnation, version, running, 0, 8, UpstreamState::Serving, 0us};
}

auto poolOf(const std::vector<UpstreamId> &ids) -> Pool
{
    Pool pool;
    for (const auto id : ids) {
        applehatch::settings::Member member;
        member.id = id;
        pool.members.push_back(member);
    }
    return pool;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_table)

// Digests spread by gossip, so an old entry often arrives after a newer one. If it replaced the
// newer one, a busy upstream would look idle and get too many requests.
BOOST_AUTO_TEST_CASE(older_entries_never_replace_newer_ones)
{
    struct Row
    {
        DigestEntry arriving;
        std::uint32_t runningAfter;
    };
    const auto rows = {
        Row{entry(1, 5, 6, 1), 4},
        Row{entry(1, 4, 99, 1), 4},
        Row{entry(1, 5, 8, 2), 2},
        Row{entry(1, 6, 1, 3), 3},
    };
    for (const auto &row : rows) {
        LoadTable table;
        table.apply({entry(1, 5, 7, 4)}, Instant{});
        table.apply({row.arriving}, Instant{});
        BOOST_TEST(table.find(1, Instant{})->running == row.runningAfter);
    }
}

// A sidecar that dies stops sending. Its last entry must not raise the mean load forever.
BOOST_AUTO_TEST_CASE(entries_expire)
{
    LoadTable table(10s);
    table.apply({entry(1, 1, 1, 4)}, Instant{});
    BOOST_TEST(table.find(1, Instant{10s}).has_value());
    BOOST_TEST(!table.find(1, Instant{10s + 1us}).has_value());
    table.expire(Instant{11s});
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(pool_load_counts_only_serving_members_of_the_pool)
{
    LoadTable table;
    auto leaving = entry(3, 1, 1, 8);
    leaving.state = UpstreamState::Leaving;
    table.apply({entry(1, 1, 1, 4), entry(2, 1, 1, 2), leaving, entry(9, 1, 1, 50)}, Instant{});
    const auto load = table.poolLoad(poolOf({1, 2, 3}), Instant{});
    BOOST_TEST(load.members == 2U);
    BOOST_TEST(load.load == 6U);
    BOOST_TEST(load.slots == 16U);
}

BOOST_AUTO_TEST_CASE(bound_is_a_multiple_of_the_mean_with_the_next_request)
{
    BOOST_TEST(loadBound({4, 39, 32}, 8, 1.25) == 13U);
    BOOST_TEST(loadBound({4, 0, 32}, 8, 1.25) == 1U);
    BOOST_TEST(loadBound({}, 8, 1.25) == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
