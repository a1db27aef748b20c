#include "applehatch/core/settings-replica.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;

constexpr SettingsIndex before = 10;

auto good(std::uint32_t queueLimit) -> std::string
{
    return R"({"pools": {"p": {"kind": "model", "models": ["m"], "queueLimit": )"
        + std::to_string(queueLimit) + R"(, "members": [{"name": "e1", "dataCenter": "a", )"
        + R"("sidecar": "10.0.0.1:1", "digest": "10.0.0.1:2", "upstream": "10.0.0.1:3"}]}}})";
}

const std::string bad = R"({"pools": 7})";

/// A change published by one operator. An empty text removes the team.
struct Publication
{
    std::string team;
    SettingsIndex index;
    std::string text;

    [[nodiscard]] auto asText() const -> SettingsText
    {
        return {team, index, text.empty() ? nullptr : std::make_shared<const std::string>(text)};
    }
};

using Teams = std::map<std::string, SettingsIndex>;

/// Contents of the configuration service after all publications up to `index`.
auto treeAt(const std::vector<Publication> &all, SettingsIndex index) -> SettingsRead
{
    std::map<std::string, SettingsText> teams;
    for (const auto &one : all) {
        if (one.index > index) {
            continue;
        }
        if (one.text.empty()) {
            teams.erase(one.team);
        } else {
            teams[one.team] = one.asText();
        }
    }
    SettingsRead read{index, {}};
    for (const auto &[team, text] : teams) {
        read.texts.push_back(text);
    }
    return read;
}

auto inForce(const SettingsReplica &replica) -> Teams
{
    Teams teams;
    if (const auto settings = replica.current()) {
        for (const auto &[name, team] : settings->teams) {
            teams[name] = team->index;
        }
    }
    return teams;
}

auto startedWith(const SettingsRead &read) -> std::unique_ptr<SettingsReplica>
{
    ReplicaIdentity identity;
    identity.dataCenter = "a";
    identity.seed = 5;
    auto replica = std::make_unique<SettingsReplica>(identity);
    Instant now;
    for (auto tick = 0; tick < 200; ++tick) {
        now += 50ms;
        (void)replica->handle(SettingsTick{}, now);
        if (tick == 20) {
            (void)replica->handle(read, now);
        }
    }
    return replica;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_crossing)

// Two operators publish in the same second, and each change reaches a process through its reader
// and through peers, in any order. If the later change were lost or the earlier one restored,
// customers would meet different limits at different routers. One operator's mistake must not
// affect the other's team.
BOOST_AUTO_TEST_CASE(concurrent_publications_converge_in_any_arrival_order)
{
    struct Row
    {
        const char *name;
        Publication first;
        Publication second;
        Teams after;
    };
    const std::vector<Row> rows{
        {"two teams", {"t", 11, good(2)}, {"u", 12, good(3)}, {{"t", 11}, {"u", 12}}},
        {"one team", {"t", 11, good(2)}, {"t", 12, good(3)}, {{"t", 12}, {"u", 10}}},
        {"one team, taken back", {"t", 11, good(2)}, {"t", 12, good(1)}, {{"t", 12}, {"u", 10}}},
        {"one team, first bad", {"t", 11, bad}, {"t", 12, good(3)}, {{"t", 12}, {"u", 10}}},
        {"one team, second bad", {"t", 11, good(2)}, {"t", 12, bad}, {{"t", 11}, {"u", 10}}},
        {"two teams, first bad", {"t", 11, bad}, {"u", 12, good(3)}, {{"t", 9}, {"u", 12}}},
        {"two teams, second bad", {"t", 11, good(2)}, {"u", 12, bad}, {{"t", 11}, {"u", 10}}},
        {"one team, removed second", {"t", 11, good(2)}, {"t", 12, ""}, {{"u", 10}}},
        {"one team, removed first", {"t", 11, ""}, {"t", 12, good(2)}, {{"t", 12}, {"u", 10}}},
        {"one removed, another changed", {"t", 11, ""}, {"u", 12, good(2)}, {{"u", 12}}},
    };
    for (const auto &row : rows) {
        const std::vector<Publication> all{
            {"t", 9, good(1)}, {"u", before, good(1)}, row.first, row.second};
        const auto start = treeAt(all, before);
        const std::vector<SettingsEvent> events{
            start,
            treeAt(all, 11),
            treeAt(all, 12),
            SettingsReply{0, {row.first.asText()}},
            SettingsReply{0, {row.second.asText()}},
        };
        std::vector<std::size_t> order(events.size());
        std::iota(order.begin(), order.end(), 0U);
        std::size_t reorderings = 0;
        do {
            auto replica = startedWith(start);
            auto previous = inForce(*replica);
            auto newerSeen = false;
            std::string delivered;
            for (const auto number : order) {
                delivered += ' ' + std::to_string(number);
                (void)replica->handle(events[number], Instant{} + 11s);
                newerSeen = newerSeen || number == 2 || number == 4;
                reorderings += newerSeen && (number == 1 || number == 3) ? 1 : 0;
                const auto now = inForce(*replica);
                for (const auto &[team, index] : now) {
                    BOOST_TEST(index >= previous[team], row.name << ", order" << delivered);
                }
                for (const auto &[team, index] : now) {
                    previous[team] = index;
                }
            }
            BOOST_TEST((inForce(*replica) == row.after), row.name << ", order" << delivered);
        } while (std::next_permutation(order.begin(), order.end()));
        BOOST_TEST(reorderings > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
