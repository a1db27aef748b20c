#include "applehatch/process/address-table.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;

auto memberAt(core::UpstreamId id, std::uint16_t port) -> settings::Member
{
    settings::Member member;
    member.id = id;
    member.sidecar = {"127.0.0.1", port};
    return member;
}

auto settingsOf(const std::vector<settings::Member> &members) -> settings::Settings
{
    auto team = std::make_shared<settings::Team>();
    team->pools["drafting"].members = members;
    settings::Settings settings;
    settings.teams["ledgerworks"] = std::move(team);
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(address_table)

// A member is removed from the settings while its answers are in progress. Without its address the
// router can neither attribute the rest of them to the member nor request it.
BOOST_AUTO_TEST_CASE(a_removed_member_is_known_until_it_is_forgotten)
{
    process::AddressTable table;
    BOOST_TEST(table.update(settingsOf({memberAt(1, 101), memberAt(2, 102)})).empty());
    BOOST_TEST(table.retired().empty());
    BOOST_TEST(table.update(settingsOf({memberAt(2, 102)})).empty());
    BOOST_TEST((table.retired() == std::vector<core::UpstreamId>{1}));
    BOOST_TEST((table.sidecar(1) == core::Address{"127.0.0.1", 101}));
    BOOST_TEST(table.upstreamAt({"127.0.0.1", 101}) == 1U);
    table.forget(2);
    table.forget(1);
    BOOST_TEST(table.retired().empty());
    BOOST_TEST(!table.sidecar(1));
    BOOST_TEST(table.upstreamAt({"127.0.0.1", 101}) == 0U);
    BOOST_TEST(table.sidecar(2).has_value());
}

BOOST_AUTO_TEST_CASE(a_member_that_is_named_again_is_no_longer_retired)
{
    process::AddressTable table;
    (void)table.update(settingsOf({memberAt(1, 101)}));
    (void)table.update(settingsOf({}));
    BOOST_TEST(table.update(settingsOf({memberAt(1, 101)})).empty());
    BOOST_TEST(table.retired().empty());
    BOOST_TEST(table.sidecar(1).has_value());
}

BOOST_AUTO_TEST_CASE(an_address_taken_over_belongs_to_the_new_member)
{
    process::AddressTable table;
    (void)table.update(settingsOf({memberAt(1, 101)}));
    (void)table.update(settingsOf({memberAt(2, 101)}));
    BOOST_TEST(table.upstreamAt({"127.0.0.1", 101}) == 2U);
    BOOST_TEST(table.retired().empty());
}

BOOST_AUTO_TEST_CASE(a_moved_member_vacates_its_old_address)
{
    process::AddressTable table;
    (void)table.update(settingsOf({memberAt(1, 101)}));
    const auto vacated = table.update(settingsOf({memberAt(1, 102)}));
    BOOST_TEST((vacated == std::vector<core::Address>{{"127.0.0.1", 101}}));
    BOOST_TEST((table.sidecar(1) == core::Address{"127.0.0.1", 102}));
}

BOOST_AUTO_TEST_SUITE_END()
