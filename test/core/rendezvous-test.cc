#include "applehatch/core/rendezvous.h"
#include "applehatch/core/run-once.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;

auto members(const std::vector<std::pair<UpstreamId, std::uint32_t>> &list)
{
    std::vector<applehatch::settings::Member> result;
    for (const auto &[id, slots] : list) {
        result.emplace_back();
        result.back().id = id;
        result.back().slots = slots;
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rendezvous)

// When a member is removed, the chats of the other members must not move, or they lose their
// contexts.
BOOST_AUTO_TEST_CASE(removing_a_member_moves_only_its_keys)
{
    const auto before = members({{1, 8}, {2, 8}, {3, 16}});
    const auto after = members({{1, 8}, {3, 16}});
    std::map<UpstreamId, int> owned;
    for (std::uint64_t key = 0; key < 4000; ++key) {
        const auto owner = rendezvousOwner(key, before);
        ++owned[owner];
        BOOST_TEST(rendezvousOrder(key, before).front() == owner);
        if (owner != 2)
            BOOST_TEST(rendezvousOwner(key, after) == owner);
    }
    BOOST_TEST(std::abs(owned[3] - 2000) < 150);
    BOOST_TEST(std::abs(owned[1] - 1000) < 150);
    BOOST_TEST(rendezvousOwner(1, {}) == 0U);
}

BOOST_AUTO_TEST_CASE(ticket_keys_carry_their_expiry_and_no_header_can_hold_one)
{
    const auto key = ticketKey({{1, 2}, "tai/jobs", 42, Instant{7s}});
    BOOST_TEST((ticketKeyExpiry(key) == Instant{7s}));
    BOOST_TEST(static_cast<int>(key.front()) < 0x20);
    for (const auto *text : {"", "ticket.1.2", "\x01ticket.1.x", "\x01ticket."})
        BOOST_TEST(!ticketKeyExpiry(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
