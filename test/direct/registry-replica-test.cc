#include "applehatch/direct/registry-replica.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

auto twoEntries() -> RegistrySnapshot
{
    return {10, {{"config", "c", 3}, {"upstream", "u", 8}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(registry_replica)

BOOST_AUTO_TEST_CASE(a_removed_entry_is_gone_at_once)
{
    RegistryReplica replica;
    replica.apply(twoEntries(), start);
    replica.apply({{{"upstream", "", 11}, true}}, 11, start);
    BOOST_TEST(!replica.items().contains("upstream"));
    BOOST_TEST(replica.revision() == 11);
}

// The registry was unreachable, no entry could be renewed, and all expired. Their owners are alive
// and write them again within two seconds; if the entries were dropped at once, callers would be
// refused for that time.
BOOST_AUTO_TEST_CASE(entries_that_lapsed_in_an_outage_count_for_two_seconds)
{
    RegistryReplica replica;
    replica.apply(twoEntries(), start);
    replica.noteLost();
    replica.noteRegained(start + 10s);
    replica.apply(RegistrySnapshot{12, {{"config", "c", 3}}}, start + 10s);
    BOOST_TEST(replica.items().at("upstream").doubtfulUntil.has_value());
    BOOST_TEST(!replica.expire(start + 11s));
    BOOST_TEST(replica.items().contains("upstream"));
    BOOST_TEST(replica.expire(start + 12s));
    BOOST_TEST(!replica.items().contains("upstream"));
}

// Guards against keeping what the operator removed during an outage: its entries have no owner that
// renews them, so that they do not lapse.
BOOST_AUTO_TEST_CASE(an_entry_that_cannot_lapse_is_gone_at_once_after_an_outage)
{
    RegistryReplica replica([](std::string_view key) { return key == "upstream"; });
    replica.apply(twoEntries(), start);
    replica.noteLost();
    replica.apply({{{"config", "", 11}, true}, {{"upstream", "", 12}, true}}, 12, start);
    BOOST_TEST(!replica.items().contains("config"));
    BOOST_TEST(replica.items().contains("upstream"));
}

// After such an outage the owner writes its entry in time: the entry stays in force without a gap.
BOOST_AUTO_TEST_CASE(a_restored_entry_is_no_longer_doubtful)
{
    RegistryReplica replica;
    replica.apply(twoEntries(), start);
    replica.noteLost();
    replica.noteRegained(start + 10s);
    replica.apply(RegistrySnapshot{12, {{"config", "c", 3}}}, start + 10s);
    replica.apply({{{"upstream", "u2", 13}, false}}, 13, start + 11s);
    BOOST_TEST(!replica.items().at("upstream").doubtfulUntil.has_value());
    BOOST_TEST(!replica.expire(start + 20s));
}

// A peer that was cut off sends an older state. The replica must not revert to it.
BOOST_AUTO_TEST_CASE(an_older_snapshot_changes_nothing)
{
    RegistryReplica replica;
    replica.apply(RegistrySnapshot{20, {{"config", "new", 20}}}, start);
    BOOST_TEST(!replica.apply(twoEntries(), start));
    BOOST_TEST(replica.items().at("config").value == "new");
    replica.apply({{{"config", "late", 15}, false}}, 15, start);
    BOOST_TEST(replica.items().at("config").value == "new");
}

BOOST_AUTO_TEST_CASE(a_peer_is_sent_no_doubtful_entries)
{
    RegistryReplica replica;
    replica.apply(twoEntries(), start);
    replica.noteLost();
    replica.noteRegained(start);
    replica.apply(RegistrySnapshot{12, {{"config", "c", 3}}}, start);
    const auto delta = replica.deltaSince(0);
    BOOST_TEST(delta.revision == 12);
    BOOST_TEST(delta.since == 0);
    BOOST_TEST(delta.changes.size() == 1);
}

// A router that does not read the registry gets each change from a peer: only the changes and
// removals, not the whole registry, whose size grows with the fleet.
BOOST_AUTO_TEST_CASE(a_peer_is_sent_the_changes_since_its_revision)
{
    RegistryReplica reader;
    RegistryReplica follower;
    reader.apply(twoEntries(), start);
    BOOST_TEST(follower.apply(reader.deltaSince(follower.revision()), start));
    BOOST_TEST(follower.items().size() == 2);
    reader.apply({{{"upstream", "", 11}, true}, {{"other", "o", 12}, false}}, 12, start);
    const auto delta = reader.deltaSince(follower.revision());
    BOOST_TEST(delta.since == 10);
    BOOST_TEST(delta.changes.size() == 2);
    BOOST_TEST(follower.apply(delta, start));
    BOOST_TEST(!follower.items().contains("upstream"));
    BOOST_TEST(follower.items().at("other").value == "o");
    BOOST_TEST(follower.revision() == 12);
    BOOST_TEST(!follower.apply(delta, start), "the same delta changes nothing");
}

// An entry was added and removed while the peer itself could not see the registry, so it cannot
// report the removal. It sends all entries, and the other router drops those that are not among
// them.
BOOST_AUTO_TEST_CASE(a_peer_with_a_gap_gives_all_entries)
{
    RegistryReplica reader;
    RegistryReplica follower;
    reader.apply(twoEntries(), start);
    follower.apply(twoEntries(), start);
    follower.apply({{{"brief", "b", 11}, false}}, 11, start);
    reader.apply(RegistrySnapshot{20, {{"config", "c", 3}}}, start);
    const auto delta = reader.deltaSince(follower.revision());
    BOOST_TEST(delta.since == 0);
    BOOST_TEST(follower.apply(delta, start));
    BOOST_TEST(follower.items().size() == 1);
}

// Changes that begin after the current revision would leave out those in between.
BOOST_AUTO_TEST_CASE(a_delta_with_a_gap_changes_nothing)
{
    RegistryReplica follower;
    follower.apply(twoEntries(), start);
    BOOST_TEST(!follower.apply(RegistryDelta{15, 16, {{{"late", "l", 16}, false}}}, start));
    BOOST_TEST(follower.revision() == 10);
}

BOOST_AUTO_TEST_SUITE_END()
