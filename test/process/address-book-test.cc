#include "applehatch/process/address-book.h"

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

BOOST_AUTO_TEST_SUITE(address_book)

// A member is taken out of the settings with answers under way. Without its address the router
// neither knows whose the rest of them are nor can ask for it.
BOOST_AUTO_TEST_CASE(a_member_taken_out_is_known_until_it_is_forgotten)
{
    process::AddressBook book;
    BOOST_TEST(book.update(settingsOf({memberAt(1, 101), memberAt(2, 102)})).empty());
    BOOST_TEST(book.retired().empty());
    BOOST_TEST(book.update(settingsOf({memberAt(2, 102)})).empty());
    BOOST_TEST((book.retired() == std::vector<core::UpstreamId>{1}));
    BOOST_TEST((book.sidecar(1) == core::Address{"127.0.0.1", 101}));
    BOOST_TEST(book.upstreamAt({"127.0.0.1", 101}) == 1U);
    book.forget(2);
    book.forget(1);
    BOOST_TEST(book.retired().empty());
    BOOST_TEST(!book.sidecar(1));
    BOOST_TEST(book.upstreamAt({"127.0.0.1", 101}) == 0U);
    BOOST_TEST(book.sidecar(2).has_value());
}

BOOST_AUTO_TEST_CASE(a_member_that_is_named_again_is_no_longer_retired)
{
    process::AddressBook book;
    (void)book.update(settingsOf({memberAt(1, 101)}));
    (void)book.update(settingsOf({}));
    BOOST_TEST(book.update(settingsOf({memberAt(1, 101)})).empty());
    BOOST_TEST(book.retired().empty());
    BOOST_TEST(book.sidecar(1).has_value());
}

BOOST_AUTO_TEST_CASE(an_address_that_another_member_takes_over_is_that_ones)
{
    process::AddressBook book;
    (void)book.update(settingsOf({memberAt(1, 101)}));
    (void)book.update(settingsOf({memberAt(2, 101)}));
    BOOST_TEST(book.upstreamAt({"127.0.0.1", 101}) == 2U);
    BOOST_TEST(book.retired().empty());
}

BOOST_AUTO_TEST_CASE(a_member_that_moves_leaves_its_address)
{
    process::AddressBook book;
    (void)book.update(settingsOf({memberAt(1, 101)}));
    const auto left = book.update(settingsOf({memberAt(1, 102)}));
    BOOST_TEST((left == std::vector<core::Address>{{"127.0.0.1", 101}}));
    BOOST_TEST((book.sidecar(1) == core::Address{"127.0.0.1", 102}));
}

BOOST_AUTO_TEST_SUITE_END()
