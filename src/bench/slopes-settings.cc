// Settings: bytes of subtrees, parsing, memory in force, pulls and orders.
#include "applehatch/core/settings-replica.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/wire/codec.h"
#include "slopes.h"

namespace applehatch::bench {

namespace {

using namespace core;
using namespace std::chrono_literals;

constexpr Instant start{1000s};

/// A team's subtree as an operator writes it, one member or customer a line.
auto subtree(std::size_t members, std::size_t customers) -> std::string
{
    std::string text = "{\n  \"pools\": {\"drafting\": {\"kind\": \"model\", "
                       "\"models\": [\"sheet-writer\"], \"members\": [\n";
    for (std::size_t i = 0; i < members; ++i) {
        const auto ip = "10." + std::to_string(i / 250) + ".0." + std::to_string(i % 250 + 1);
        text += std::string(i == 0 ? "" : ",\n") + "    {\"name\": \"eng-" + std::to_string(i)
            + "\", \"dataCenter\": \"dc-" + std::to_string(i % 7) + "\", \"slots\": 8, "
            + "\"sidecar\": \"" + ip + ":7000\", \"digest\": \"" + ip + ":7001\", \"upstream\": \""
            + ip + ":8000\"}";
    }
    text += "]}},\n  \"customers\": {\n";
    for (std::size_t i = 0; i < customers; ++i)
        text += std::string(i == 0 ? "" : ",\n") + "    \"customer-" + std::to_string(i)
            + "\": {\"weight\": 1.0, \"inFlightLimit\": 0}";
    return text + "}\n}\n";
}

struct Size
{
    std::size_t members = 1;
    std::size_t customers = 1;
};

auto measureSubtree(const std::string &name, double full, const std::vector<std::size_t> &sizes,
                    const std::function<Size(std::size_t)> &sizeOf) -> void
{
    const auto textOf = [&](std::size_t size) {
        return subtree(sizeOf(size).members, sizeOf(size).customers);
    };
    measureSlope({"settings.text", name, "bytes", full}, sizes,
                 [&](std::size_t size) { return static_cast<double>(textOf(size).size()); });
    measureSlope({"settings.parse", name, "us", full}, sizes, [&](std::size_t size) {
        const auto text = textOf(size);
        return microsecondsOf([&] { (void)settings::parseTeam("ledger", text, 1); });
    });
    measureSlope({"settings.memory", name, "heap_bytes", full}, sizes, [&](std::size_t size) {
        const auto text = textOf(size);
        return heapOf([&] { return settings::parseTeam("ledger", text, 1); });
    });
    measureSlope({"settings.reply", name, "bytes", full}, sizes, [&](std::size_t size) {
        const auto text = std::make_shared<const std::string>(textOf(size));
        return static_cast<double>(
            wire::encodeMessage(SettingsReply{1, {{"ledger", 1, text}}}).size());
    });
}

/// Microseconds of one tick of a replica that holds `teams` subtrees, and of one pull without news.
auto replicaWith(std::size_t teams) -> SettingsReplica &
{
    static std::unique_ptr<SettingsReplica> replica;
    ReplicaIdentity identity;
    identity.self = 1;
    identity.dataCenter = "dc-0";
    replica = std::make_unique<SettingsReplica>(identity);
    SettingsRead read{teams, {}};
    for (std::size_t i = 0; i < teams; ++i)
        read.texts.push_back({"team-" + std::to_string(i), i + 1,
                              std::make_shared<const std::string>(subtree(4, 10))});
    (void)replica->handle(read, start);
    (void)replica->handle(SettingsTick{}, start + 3s);
    return *replica;
}

auto pullOf(std::size_t teams) -> SettingsPull
{
    SettingsPull pull;
    for (std::size_t i = 0; i < teams; ++i)
        pull.knownIndices["team-" + std::to_string(i)] = i + 1;
    return pull;
}

auto briefPull() -> SettingsPull
{
    return {{}, true, 420, 0x123456789abcdef0};
}

auto measureReplica() -> void
{
    const std::vector<std::size_t> teams{10, 100, 420};
    measureSlope({"settings.pull.bytes", "teams", "bytes", 420}, teams, [](std::size_t size) {
        return static_cast<double>(wire::encodeMessage(pullOf(size)).size());
    });
    measureSlope({"settings.pull.brief.bytes", "teams", "bytes", 420}, teams,
                 [](std::size_t /*size*/) {
                     return static_cast<double>(wire::encodeMessage(briefPull()).size());
                 });
    measureSlope({"settings.reply.nothing", "teams", "bytes", 420}, teams,
                 [](std::size_t /*size*/) {
                     return static_cast<double>(wire::encodeMessage(SettingsReply{420, {}}).size());
                 });
    measureSlope({"settings.pull.cpu", "teams", "us_per_pull_answered", 420}, teams,
                 [](std::size_t size) {
                     auto &replica = replicaWith(size);
                     const auto pull = pullOf(size);
                     constexpr int pulls = 200;
                     return microsecondsOf([&] {
                                for (int i = 0; i < pulls; ++i)
                                    (void)replica.handle(pull, start + 4s);
                            })
                         / pulls;
                 });
    measureSlope({"settings.tick.cpu", "teams", "us_per_second", 420}, teams, [](std::size_t size) {
        auto &replica = replicaWith(size);
        auto now = start + 4s;
        constexpr int seconds = 20;
        return microsecondsOf([&] {
                   for (int tick = 0; tick < seconds * 10; ++tick) {
                       now += 100ms;
                       (void)replica.handle(SettingsTick{}, now);
                   }
               })
            / seconds;
    });
}

auto reportsOf(std::size_t models) -> double
{
    auto pool = poolOf(18);
    pool.models.clear();
    for (std::size_t i = 0; i < models; ++i)
        pool.models.push_back("model-" + std::to_string(i));
    SidecarNode node({"ledger", "drafting", "eng-0", "dc-0", 7, 1});
    auto now = start;
    (void)node.handle(SettingsInForce{settingsOf({pool})}, now);
    constexpr int seconds = 60;
    return microsecondsOf([&] {
               for (int half = 0; half < seconds * 2; ++half) {
                   now += 500ms;
                   (void)node.handle(UpstreamReport{true, "epoch", 0, 0, pool.models, 1}, now);
               }
           })
        / seconds;
}

} // namespace

auto measureSettings() -> void
{
    measureSubtree("members", 730, {18, 100, 365, 730}, [](std::size_t size) {
        return Size{size, 10};
    });
    measureSubtree("customers", 4200, {10, 420, 4200}, [](std::size_t size) {
        return Size{18, size};
    });
    measureReplica();
    measureSlope({"orders.reports", "models", "us_per_second", 20}, {1, 5, 10, 20}, reportsOf);
}

} // namespace applehatch::bench
