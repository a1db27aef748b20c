#include "applehatch/settings/check.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <numeric>
#include <sstream>

namespace {

using namespace applehatch::settings;

auto readFile(const std::string &path) -> std::string
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Builds a team with one pool that has a member per element of `slots`. `loadMultiple` is on
/// line 2.
auto teamOf(const std::vector<std::uint32_t> &slots, const std::string &multiple) -> std::string
{
    std::string list;
    for (std::size_t number = 1; number <= slots.size(); ++number) {
        const auto ip = "10.0.0." + std::to_string(number);
        list += (list.empty() ? "" : ",") + std::string(R"({"name": "e)") + std::to_string(number)
            + R"(", "dataCenter": "a", "slots": )" + std::to_string(slots[number - 1])
            + R"(, "sidecar": ")" + ip + R"(:1", "digest": ")" + ip + R"(:2", "upstream": ")" + ip
            + R"(:3"})";
    }
    return "{\"pools\": {\"p\": {\"kind\": \"model\", \"models\": [\"m\"],\n\"loadMultiple\": "
        + multiple + ", \"members\": [" + list + "]}}}";
}

auto warns(const std::vector<std::uint32_t> &slots, const std::string &multiple) -> bool
{
    const auto report = checkSettings(teamOf(slots, multiple));
    BOOST_TEST(report.exitCode == 0);
    BOOST_TEST(report.text.ends_with("accepted\n"));
    return report.text != "accepted\n";
}

auto equalSlots(std::size_t members, std::uint32_t slots) -> std::vector<std::uint32_t>
{
    return std::vector<std::uint32_t>(members, slots);
}

auto roundedUp(std::uint32_t number, std::uint32_t divisor) -> std::uint32_t
{
    return (number + divisor - 1) / divisor;
}

/// Returns whether the load bound of each upstream that has a free slot at its even share, rounded
/// up, does not exceed that share when a request arrives while half of each upstream's slots are in
/// use. Computes in integer hundredths to avoid rounding errors.
auto boundIsTheEvenShare(const std::vector<std::uint32_t> &slots, std::uint32_t hundredths) -> bool
{
    const auto all = std::accumulate(slots.begin(), slots.end(), 0U);
    auto load = 1U;
    for (const auto each : slots)
        load += each / 2;
    auto found = false;
    for (const auto each : slots) {
        const auto share = roundedUp(load * each, all);
        if (share >= each)
            continue;
        if (roundedUp(hundredths * load * each, 100 * all) > share)
            return false;
        found = true;
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(check)

// A load bound so close to the mean that it allows nothing above the even share: an engine with one
// request more refuses the next although it has free slots. Chats then leave the engine that holds
// their context and start cold, with no visible reason.
BOOST_AUTO_TEST_CASE(a_multiple_that_allows_only_an_even_spread_gives_a_warning)
{
    // With 72 requests on 18 engines, multiples up to 1.2329 bound the next request to 5 of 8
    // slots.
    BOOST_TEST(checkSettings(teamOf(equalSlots(18, 8), "1.15")).text
               == "2: pools.p.loadMultiple: warning: expected at least 1.24, as otherwise, with "
                  "half the slots in use, each upstream that holds its even share, rounded up, "
                  "refuses the next request, found 1.15\naccepted\n");
    BOOST_TEST(warns(equalSlots(18, 8), "1.23"));
    BOOST_TEST(!warns(equalSlots(18, 8), "1.24"));
    BOOST_TEST(warns(equalSlots(18, 8), "1.0"));
    // With 4 requests on 2 engines, multiples up to 1.2 bound the next request to 3 of 4 slots.
    BOOST_TEST(warns(equalSlots(2, 4), "1.2"));
    BOOST_TEST(!warns(equalSlots(2, 4), "1.21"));
    BOOST_TEST(!warns(equalSlots(12, 16), "1.15"));
}

BOOST_AUTO_TEST_CASE(the_warning_agrees_with_the_computed_bound)
{
    std::vector<std::vector<std::uint32_t>> pools{
        {4, 8}, {1, 9}, {3, 3, 16}, {1, 1, 2}, {32, 8, 8}};
    for (const auto members : {2U, 3U, 7U, 18U}) {
        for (const auto slots : {1U, 2U, 3U, 4U, 5U, 8U, 16U})
            pools.push_back(equalSlots(members, slots));
    }
    for (const auto &pool : pools) {
        for (auto hundredths = 100U; hundredths < 200; hundredths += 3) {
            const auto multiple = "1." + std::to_string(hundredths).substr(1);
            BOOST_TEST(warns(pool, multiple) == boundIsTheEvenShare(pool, hundredths),
                       pool.size() << " members, first of " << pool[0] << " slots, " << multiple);
        }
    }
}

// In binary floating point 1.16 * 100 is less than 116. Without care the warning would ask a team
// that already has 1.16 for at least 1.16.
BOOST_AUTO_TEST_CASE(the_suggested_multiple_gives_no_warning)
{
    const auto suggestedMultiple = [](const std::string &text) {
        const std::string before = "at least ";
        const auto at = text.find(before);
        BOOST_REQUIRE(at != std::string::npos);
        return text.substr(at + before.size(), text.find(',', at) - at - before.size());
    };
    for (auto members = 2U; members <= 40; ++members) {
        for (auto slots = 3U; slots <= 32; ++slots) {
            const auto pool = equalSlots(members, slots);
            const auto multiple = suggestedMultiple(checkSettings(teamOf(pool, "1.0")).text);
            BOOST_TEST(!warns(pool, multiple), members << " of " << slots << ", " << multiple);
        }
    }
}

// The share of a single upstream is the whole load, and an upstream with two slots is full with one
// request more than half: neither refuses a request while it has a free slot.
BOOST_AUTO_TEST_CASE(a_pool_whose_bounds_fill_all_slots_gives_no_warning)
{
    BOOST_TEST(!warns(equalSlots(1, 8), "1.0"));
    BOOST_TEST(!warns(equalSlots(18, 1), "1.0"));
    BOOST_TEST(!warns(equalSlots(18, 2), "1.0"));
}

BOOST_AUTO_TEST_CASE(the_warnings_of_the_examples_are_those_they_state)
{
    BOOST_TEST(checkSettings(readFile("examples/ledgerworks.jsonc")).text == "accepted\n");
    const auto text = checkSettings(readFile("examples/cwm-taf.jsonc")).text;
    BOOST_TEST(text.find("pools.repairs.loadMultiple: warning: ") != std::string::npos);
    BOOST_TEST(text.find("job-booking") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
