#include "applehatch/core/settings-replica.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;

const Instant begin{};

auto good(std::uint32_t queueLimit, const std::string &dataCenter = "a") -> std::string
{
    std::string members;
    for (const auto *name : {"e1", "e2", "e3", "e4", "e5"}) {
        const auto ip = std::string("10.0.0.") + name[1];
        members += std::string(members.empty() ? "" : ",") + R"({"name": ")" + name
            + R"(", "dataCenter": ")" + dataCenter + R"(", "sidecar": ")" + ip
            + R"(:1", "digest": ")" + ip + R"(:2", "upstream": ")" + ip + ":3\"}";
    }
    return R"({"pools": {"p": {"kind": "model", "models": ["m"], "queueLimit": )"
        + std::to_string(queueLimit) + R"(, "members": [)" + members + "]}}}";
}

const std::string bad = R"({"pools": 7})";

auto text(const std::string &team, SettingsIndex index, const std::string &body) -> SettingsText
{
    return {team, index, std::make_shared<const std::string>(body)};
}

auto idOf(const std::string &member) -> UpstreamId
{
    return applehatch::settings::upstreamId("t", "p", member);
}

template <typename Action>
auto countOf(const std::vector<SettingsAction> &actions) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(),
                      [](const auto &action) { return std::holds_alternative<Action>(action); }));
}

/// A settings replica with its own virtual time.
struct ReplicaFixture
{
    explicit ReplicaFixture(UpstreamId self = 0, std::vector<UpstreamId> peers = {})
        : replica(identityOf(self, std::move(peers)))
    { }

    static auto identityOf(UpstreamId self, std::vector<UpstreamId> peers) -> ReplicaIdentity
    {
        ReplicaIdentity identity;
        identity.self = self;
        identity.dataCenter = "a";
        identity.seed = 5;
        identity.peers = std::move(peers);
        return identity;
    }

    auto give(SettingsEvent event) -> std::vector<SettingsAction>
    {
        return replica.handle(std::move(event), now);
    }

    /// Ticks for `time` and returns all actions.
    auto pass(Duration time) -> std::vector<SettingsAction>
    {
        std::vector<SettingsAction> all;
        for (const auto until = now + time; now < until;) {
            now += 50ms;
            for (auto &action : give(SettingsTick{})) {
                all.push_back(std::move(action));
            }
        }
        return all;
    }

    /// Starts the replica with `read` as its first read, until its settings are in force.
    auto start(SettingsRead read) -> void
    {
        pass(1s);
        give(std::move(read));
        pass(10s);
    }

    /// Delivers two empty peer replies, which a process that started without peers asks for.
    auto receiveTwoReplies(SettingsIndex index) -> void
    {
        give(SettingsReply{index, {}});
        give(SettingsReply{index, {}});
    }

    auto inForce(const std::string &team) const -> SettingsIndex
    {
        const auto found = replica.current()->teams.find(team);
        return found == replica.current()->teams.end() ? 0 : found->second->index;
    }

    SettingsReplica replica;
    Instant now = begin;
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings_replica)

// Reads and peer replies arrive in any order: from a lagging replica of the service, from a service
// restored from a backup, from a peer that was stalled. If an older one were applied, a limit that
// an operator lowered would jump back and a removed member would receive requests again.
BOOST_AUTO_TEST_CASE(settings_in_force_never_go_back)
{
    const auto newer = text("t", 50, good(1));
    struct Row
    {
        const char *name;
        SettingsEvent event;
        SettingsIndex after; ///< Index of team `t`, 50 before the event; 0 when removed.
    };
    const std::vector<Row> rows{
        {"same read again", SettingsRead{60, {newer}}, 50},
        {"older read with an older text", SettingsRead{40, {text("t", 40, good(2))}}, 50},
        {"older read without the team", SettingsRead{40, {}}, 50},
        {"read of the same age without the team", SettingsRead{60, {}}, 50},
        {"between both indices without the team", SettingsRead{55, {}}, 50},
        {"newer read without the team", SettingsRead{61, {}}, 0},
        {"newer read with an older text", SettingsRead{70, {text("t", 45, good(2))}}, 50},
        {"newer read with a newer text", SettingsRead{70, {text("t", 65, good(2))}}, 65},
        {"newer read with a refused text", SettingsRead{70, {text("t", 65, bad)}}, 50},
        {"peer with an older text", SettingsReply{90, {text("t", 40, good(2))}}, 50},
        {"peer with a newer text", SettingsReply{61, {text("t", 61, good(2))}}, 61},
        {"peer that lacks the team", SettingsReply{90, {}}, 50},
        {"peer with an older removal", SettingsReply{90, {{"t", 49, nullptr}}}, 50},
        {"peer with a newer removal", SettingsReply{90, {{"t", 61, nullptr}}}, 0},
        {"peer with a refused text", SettingsReply{90, {text("t", 80, bad)}}, 50},
        {"peer with part of its texts", SettingsReply{0, {text("t", 61, good(2))}}, 61},
        {"an index that nobody has", SettingsIndexAdvertised{1000}, 50},
        {"service down", SettingsReadFailed{}, 50},
        {"watch that ended without a change", SettingsRead{70, {}, true}, 50},
    };
    for (const auto &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ReplicaFixture fixture;
            fixture.start({60, {newer}});
            BOOST_REQUIRE(fixture.inForce("t") == 50U);
            const auto actions = fixture.give(row.event);
            BOOST_TEST(fixture.inForce("t") == row.after);
            const auto changed = row.after != 50 || fixture.replica.current()->index != 60;
            BOOST_TEST(countOf<PutInForce>(actions) == (changed ? 1U : 0U));
        }
    }
}

// A read that removes a team may be followed by an older one that still has it. If the team came
// back, its customers would be served by upstreams that no longer exist.
BOOST_AUTO_TEST_CASE(a_removed_team_comes_back_only_by_a_newer_text)
{
    ReplicaFixture fixture;
    fixture.start({60, {text("t", 50, good(1)), text("u", 20, good(1))}});
    fixture.give(SettingsRead{70, {text("u", 20, good(1))}});
    BOOST_TEST(fixture.inForce("t") == 0U);
    fixture.give(SettingsRead{60, {text("t", 50, good(1))}});
    fixture.give(SettingsReply{65, {text("t", 50, good(1))}});
    BOOST_TEST(fixture.inForce("t") == 0U);
    const auto answer = fixture.give(SettingsPull{{{"t", 50}, {"u", 20}}, false});
    const auto &reply = std::get<AnswerPull>(answer.front()).reply;
    BOOST_REQUIRE(reply.texts.size() == 1U);
    BOOST_TEST(reply.texts[0].index == 70U);
    BOOST_TEST((reply.texts[0].text == nullptr));
    fixture.give(SettingsRead{71, {text("t", 71, good(2)), text("u", 20, good(1))}});
    BOOST_TEST(fixture.inForce("t") == 71U);
}

// An operator publishes a text with a mistake. Running processes keep the last accepted text. A
// process that starts now finds only the faulty text at the service; without its peers it would
// serve nobody of that team.
BOOST_AUTO_TEST_CASE(a_refused_text_leaves_the_accepted_one_in_force_everywhere)
{
    ReplicaFixture old;
    old.start({60, {text("t", 50, good(1))}});
    old.give(SettingsRead{70, {text("t", 70, bad)}});
    BOOST_TEST(old.inForce("t") == 50U);
    const auto status = old.replica.status();
    BOOST_REQUIRE(status.size() == 1U);
    BOOST_TEST(status[0].inForce == 50U);
    BOOST_TEST(status[0].refused == 70U);
    BOOST_REQUIRE(status[0].problems.size() == 1U);
    BOOST_TEST(status[0].problems[0].path == "pools");

    ReplicaFixture newcomer;
    newcomer.pass(1s);
    newcomer.give(SettingsRead{70, {text("t", 70, bad)}});
    const auto actions = newcomer.pass(3s);
    BOOST_TEST(newcomer.inForce("t") == 0U);
    BOOST_TEST(countOf<PullFromPeer>(actions) > 0U);
    const auto pull = std::find_if(actions.begin(), actions.end(), [](const auto &action) {
        return std::holds_alternative<PullFromPeer>(action);
    });
    const auto answer = old.give(std::get<PullFromPeer>(*pull).pull);
    newcomer.give(std::get<AnswerPull>(answer.front()).reply);
    BOOST_TEST(newcomer.inForce("t") == 50U);
    BOOST_TEST(newcomer.replica.status()[0].refused == 70U);

    newcomer.give(SettingsRead{80, {text("t", 80, good(3))}});
    BOOST_TEST(newcomer.inForce("t") == 80U);
    BOOST_TEST(newcomer.replica.status()[0].refused == 0U);
}

// A process starts while the service lags. If it served at once, its callers would meet settings
// that the rest of the fleet replaced long ago.
BOOST_AUTO_TEST_CASE(a_starting_process_asks_its_peers_before_it_serves)
{
    ReplicaFixture fixture(0, {7, 8});
    const auto first = fixture.pass(500ms);
    BOOST_TEST(countOf<PullFromPeer>(first) > 0U);
    BOOST_TEST(countOf<PutInForce>(fixture.give(SettingsRead{40, {text("t", 40, good(1))}})) == 0U);
    BOOST_TEST(countOf<PutInForce>(fixture.give(SettingsReply{})) == 0U);
    const auto answered = fixture.give(SettingsReply{60, {text("t", 50, good(2))}});
    BOOST_TEST(countOf<PutInForce>(answered) == 1U);
    BOOST_TEST(fixture.inForce("t") == 50U);

    ReplicaFixture alone(0, {7, 8});
    alone.pass(500ms);
    alone.give(SettingsRead{40, {text("t", 40, good(1))}});
    BOOST_TEST(countOf<PutInForce>(alone.pass(1s)) == 0U);
    BOOST_TEST(countOf<PutInForce>(alone.pass(1s)) == 1U);
    BOOST_TEST(alone.inForce("t") == 40U);

    ReplicaFixture starting;
    const auto answer = starting.give(SettingsPull{});
    BOOST_TEST(std::get<AnswerPull>(answer.front()).reply.index == 0U);
}

// Two changes are made at the same time and reach a process in different ways: one through its
// reader, one through a peer. Each must come into force, whichever arrives first.
BOOST_AUTO_TEST_CASE(concurrent_changes_both_come_into_force)
{
    const SettingsRead start{10, {text("t", 9, good(1)), text("u", 10, good(1))}};
    const SettingsRead read{12, {text("t", 11, good(2)), text("u", 12, good(2))}};
    const SettingsReply reply{13, {text("t", 13, good(3))}};
    for (const auto readFirst : {true, false}) {
        ReplicaFixture fixture;
        fixture.start(start);
        fixture.give(readFirst ? SettingsEvent(read) : SettingsEvent(reply));
        fixture.give(readFirst ? SettingsEvent(reply) : SettingsEvent(read));
        BOOST_TEST(fixture.inForce("t") == 13U);
        BOOST_TEST(fixture.inForce("u") == 12U);
    }
}

// If every process watched the service, its rate limit would be exceeded permanently; if none did,
// changes would reach nobody. The host list lags, and hosts leave.
BOOST_AUTO_TEST_CASE(two_live_sidecars_per_data_centre_watch_the_service)
{
    struct Row
    {
        const char *name;
        std::string membersIn;
        std::vector<Host> hosts;
        std::size_t watching;
    };
    const std::vector<Row> rows{
        {"no host list", "a", {}, 2},
        {"all live",
         "a",
         {{"10.0.0.1"}, {"10.0.0.2"}, {"10.0.0.3"}, {"10.0.0.4"}, {"10.0.0.5"}},
         2},
        {"two leave",
         "a",
         {{"10.0.0.1"},
          {"10.0.0.2", HostState::Leaving},
          {"10.0.0.3", HostState::Leaving},
          {"10.0.0.4"},
          {"10.0.0.5"}},
         2},
        {"all but one leave",
         "a",
         {{"10.0.0.1", HostState::Leaving},
          {"10.0.0.2", HostState::Leaving},
          {"10.0.0.3", HostState::Leaving},
          {"10.0.0.4"},
          {"10.0.0.5", HostState::Leaving}},
         1},
        {"other data centre", "b", {}, 0},
    };
    for (const auto &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            std::size_t watching = 0;
            for (const auto *name : {"e1", "e2", "e3", "e4", "e5"}) {
                ReplicaFixture fixture(idOf(name));
                fixture.give(HostListRead{{1, row.hosts}});
                fixture.start({10, {text("t", 9, good(1, row.membersIn))}});
                fixture.give(SettingsRead{11, {text("t", 11, good(2, row.membersIn))}});
                for (const auto &action : fixture.pass(5s)) {
                    const auto *read = std::get_if<ReadService>(&action);
                    watching += read != nullptr && read->waitFor == 11 ? 1 : 0;
                }
            }
            BOOST_TEST(watching == row.watching);
        }
    }
}

// Peers are silent in a partition, and the service may lag or be down as well. Each process then
// calls the service on its own; unbounded calls would hit the service when it can bear the least
// load.
BOOST_AUTO_TEST_CASE(calls_are_bounded_when_service_or_peers_do_not_answer)
{
    struct Row
    {
        const char *name;
        UpstreamId self;
        std::optional<SettingsEvent> answer; ///< Reply to each service call; none if silent.
        SettingsIndex advertised;
        std::size_t minCalls;
        std::size_t maxCalls; ///< Within ten minutes.
    };
    const SettingsRead old{10, {text("t", 9, good(1))}};
    const auto reader = [] {
        for (const auto *name : {"e1", "e2", "e3", "e4", "e5"}) {
            ReplicaFixture fixture(idOf(name));
            fixture.start({10, {text("t", 9, good(1))}});
            fixture.give(SettingsRead{11, {text("t", 11, good(1))}});
            if (countOf<ReadService>(fixture.pass(2s)) > 0) {
                return idOf(name);
            }
        }
        return UpstreamId(0);
    }();
    BOOST_REQUIRE(reader != 0U);
    const std::vector<Row> rows{
        {"reader, service fails at once", reader, SettingsReadFailed{}, 0, 50, 160},
        {"reader, watch is not held", reader, old, 0, 50, 160},
        {"reader, service silent", reader, std::nullopt, 0, 1, 3},
        {"router, an index that nobody has", 0, old, 1000, 1, 12},
        {"router, an index that nobody has, service fails", 0, SettingsReadFailed{}, 1000, 1, 30},
    };
    for (const auto &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ReplicaFixture fixture(row.self);
            fixture.start(old);
            if (row.answer) {
                fixture.give(*row.answer); // Answers the watch that began during the start.
            }
            std::size_t calls = 0;
            std::size_t pulls = 0;
            for (auto tick = 0; tick < 12000; ++tick) {
                fixture.now += 50ms;
                const auto event = tick % 2 == 0
                    ? SettingsEvent(SettingsIndexAdvertised{row.advertised})
                    : SettingsEvent(SettingsTick{});
                for (const auto &action : fixture.give(event)) {
                    pulls += std::holds_alternative<PullFromPeer>(action) ? 1 : 0;
                    if (std::holds_alternative<ReadService>(action)) {
                        ++calls;
                        if (row.answer) {
                            fixture.give(*row.answer);
                        }
                    }
                }
            }
            BOOST_TEST_MESSAGE(row.name << ": " << calls << " calls, " << pulls
                                        << " pulls in ten minutes");
            BOOST_TEST(calls >= row.minCalls);
            BOOST_TEST(calls <= row.maxCalls);
            BOOST_TEST(pulls < 400U);
        }
    }
}

// An advertised index does not exist, perhaps because the sending process is damaged. The search
// for it must not hide the next real change.
BOOST_AUTO_TEST_CASE(a_false_index_does_not_hide_a_true_one)
{
    ReplicaFixture fixture;
    fixture.start({10, {text("t", 9, good(1))}});
    fixture.give(SettingsIndexAdvertised{1000000});
    fixture.pass(30s);
    fixture.give(SettingsIndexAdvertised{11, 77});
    const auto actions = fixture.pass(1s);
    const auto asked = std::find_if(actions.begin(), actions.end(), [](const auto &action) {
        return std::holds_alternative<PullFromPeer>(action);
    });
    BOOST_REQUIRE((asked != actions.end()));
    BOOST_TEST(std::get<PullFromPeer>(*asked).peer == 77U);
    fixture.give(SettingsReply{11, {text("t", 11, good(2))}});
    BOOST_TEST(fixture.inForce("t") == 11U);
}

// A team's text may be a megabyte. A reply without a size limit would block the link for all other
// messages of that peer.
BOOST_AUTO_TEST_CASE(a_large_answer_is_split_into_parts)
{
    const auto padding = std::string(900000, ' ');
    SettingsRead read{20, {}};
    for (auto i = 0; i < 6; ++i) {
        read.texts.push_back(text("t" + std::to_string(i), 10U + i, good(1) + padding));
    }
    ReplicaFixture from;
    from.start(read);
    ReplicaFixture to;
    auto parts = 0;
    std::vector<SettingsAction> actions = to.pass(300ms);
    while (to.replica.current()->teams.size() < 6U && parts < 10) {
        const auto pull = std::find_if(actions.begin(), actions.end(), [](const auto &action) {
            return std::holds_alternative<PullFromPeer>(action);
        });
        BOOST_REQUIRE((pull != actions.end()));
        const auto answer = from.give(std::get<PullFromPeer>(*pull).pull);
        const auto &reply = std::get<AnswerPull>(answer.front()).reply;
        BOOST_TEST(reply.texts.size() <= 3U);
        actions = to.give(reply);
        ++parts;
    }
    BOOST_TEST(parts == 3);
    BOOST_TEST(to.replica.current()->index == 20U);
}

// A peer sent an index without one of the texts that belong to it, so two processes at the same
// index hold different sets, and at one of them a customer would keep meeting the old limit. If the
// hashes of both sides happen to be equal, only the infrequent full list reveals the difference.
BOOST_AUTO_TEST_CASE(a_difference_at_the_same_index_is_found_even_under_an_equal_hash)
{
    struct Row
    {
        const char *name;
        bool hashesEqual;
        Duration within;
    };
    for (const auto &row : {Row{"hashes differ", false, 30s}, Row{"hashes equal", true, 800s}}) {
        BOOST_TEST_CONTEXT(row.name)
        {
            ReplicaFixture whole;
            whole.start({60, {text("t", 50, good(1)), text("u", 55, good(1))}});
            ReplicaFixture lacking;
            lacking.start({10, {text("t", 9, good(1))}});
            lacking.receiveTwoReplies(10);
            lacking.give(SettingsReply{60, {text("t", 50, good(1))}});
            std::size_t lists = 0;
            for (const auto until = lacking.now + row.within; lacking.now < until;) {
                for (const auto &action : lacking.pass(50ms)) {
                    const auto *asked = std::get_if<PullFromPeer>(&action);
                    if (asked == nullptr) {
                        continue;
                    }
                    lists += asked->pull.brief ? 0 : 1;
                    auto answer = std::get<AnswerPull>(whole.give(asked->pull).front()).reply;
                    answer.differs = answer.differs && !row.hashesEqual;
                    lacking.give(answer);
                }
            }
            BOOST_TEST(lacking.inForce("u") == 55U);
            BOOST_TEST(lists == 1U);
        }
    }
}

// Two processes read the same changes in different orders. If their hashes differed, each pull
// between them would list everything, and control traffic would exceed its budget at 420 teams.
BOOST_AUTO_TEST_CASE(the_hash_does_not_depend_on_arrival_order)
{
    const auto hashOf = [](ReplicaFixture &fixture) {
        for (const auto &action : fixture.pass(10s)) {
            if (const auto *asked = std::get_if<PullFromPeer>(&action)) {
                BOOST_TEST(asked->pull.brief);
                BOOST_TEST(asked->pull.knownIndices.empty());
                return asked->pull.hash;
            }
        }
        return std::uint64_t(0);
    };
    const auto first = text("t", 11, good(2));
    const auto second = text("u", 12, good(2));
    std::array<ReplicaFixture, 3> fixtures;
    for (auto &fixture : fixtures) {
        fixture.start({10, {text("t", 9, good(1)), text("u", 10, good(1))}});
        fixture.receiveTwoReplies(10);
    }
    fixtures[0].give(SettingsReply{11, {first}});
    fixtures[0].give(SettingsReply{12, {second}});
    fixtures[1].give(SettingsReply{10, {second}});
    fixtures[1].give(SettingsRead{12, {second, first}});
    fixtures[2].give(SettingsReply{11, {first}});
    const auto hash = hashOf(fixtures[0]);
    BOOST_TEST(hash == hashOf(fixtures[1]));
    BOOST_TEST(hash != hashOf(fixtures[2]));
}

BOOST_AUTO_TEST_SUITE_END()
