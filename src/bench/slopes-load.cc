// The load plane: digests, their bytes, what a router hears of its pools, ticks.
#include "applehatch/core/gossip.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/wire/codec.h"
#include "slopes.h"

#include <algorithm>
#include <memory>

namespace applehatch::bench {

namespace {

using namespace core;
using namespace std::chrono_literals;

constexpr Instant start{1000s};
constexpr std::size_t digestBytes = 1000;
constexpr double engines = 730;
constexpr std::size_t measuredSeconds = 60;
constexpr std::size_t askedEntries = 8; // In a question of a router.

auto bytesOfDigests(const std::vector<SidecarAction> &actions) -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto &action : actions) {
        if (const auto *sent = std::get_if<SendDigest>(&action))
            bytes += wire::encodeDigest(sent->digest).size();
    }
    return bytes;
}

struct Cost
{
    double microseconds = 0;
    double bytes = 0;
};

/// One idle sidecar for a minute: its ticks, one digest of a member and `asking` routers a second.
auto idleSidecar(std::size_t members, std::size_t asking) -> Cost
{
    const auto pool = poolOf(members);
    SidecarNode node({"ledger", "drafting", "eng-0", "dc-0", 7, 1});
    auto now = start;
    (void)node.handle(SettingsInForce{settingsOf({pool})}, now);
    (void)node.handle(UpstreamReport{true, "epoch", 0, 0, {"model-drafting"}, 0}, now);
    auto entries = entriesOf(pool);
    std::size_t bytes = 0;
    const auto begin = processorTime();
    for (std::size_t second = 0; second < measuredSeconds; ++second) {
        for (auto &entry : entries)
            ++entry.version;
        Digest heard;
        for (std::size_t i = 0; i < std::min(askedEntries, members); ++i)
            heard.entries.push_back(entries[(second * askedEntries + i) % members]);
        heard.wantsReply = true;
        for (int tick = 0; tick < 20; ++tick) {
            now += 50ms;
            auto actions = node.handle(Tick{}, now);
            if (tick < static_cast<int>(asking) + 1) {
                auto more = node.handle(DigestReceived{heard}, now);
                actions.insert(actions.end(), more.begin(), more.end());
            }
            bytes += bytesOfDigests(actions);
        }
    }
    const std::chrono::duration<double, std::micro> taken = processorTime() - begin;
    return {taken.count() / measuredSeconds, static_cast<double>(bytes) / measuredSeconds};
}

/// Every sidecar of an idle pool, in virtual time: what one sends and receives, and how old the
/// entries are that it holds.
class IdlePool
{
public:
    explicit IdlePool(std::size_t members)
        : pool_(poolOf(members))
    {
        for (std::size_t i = 0; i < members; ++i) {
            const auto &member = pool_.members[i];
            const SidecarIdentity identity{"ledger",          "drafting", member.name,
                                           member.dataCenter, 7,          i + 1};
            nodes_.push_back(std::make_unique<SidecarNode>(identity));
            give(i, SettingsInForce{settingsOf({pool_})});
            give(i, UpstreamReport{true, "epoch", 0, 0, {"model-drafting"}, 0});
        }
    }

    auto run() -> void
    {
        constexpr std::size_t settling = 20;
        for (std::size_t second = 0; second < settling + measuredSeconds; ++second) {
            for (std::size_t tick = 0; tick < 20; ++tick) {
                now_ += 50ms;
                // They began one after the other, spread over a second.
                for (std::size_t i = 0; i < nodes_.size(); ++i) {
                    if (second > 0 || tick * nodes_.size() >= i * 20)
                        give(i, Tick{});
                }
            }
            if (second < settling)
                bytes_ = 0;
            else
                look();
        }
    }

    [[nodiscard]] auto bytesASecond() const -> double
    {
        return static_cast<double>(bytes_) / static_cast<double>(measuredSeconds * nodes_.size());
    }
    [[nodiscard]] auto meanAge() const -> double
    {
        const std::chrono::duration<double, std::milli> sum = ages_;
        return sum.count() / static_cast<double>(held_);
    }

private:
    auto look() -> void
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            for (const auto &member : pool_.members) {
                const auto entry = nodes_[i]->loads().find(member.id, now_);
                if (!entry || member.id == pool_.members[i].id)
                    continue;
                ages_ += entry->age;
                ++held_;
            }
        }
    }

    auto give(std::size_t to, SidecarEvent event, std::size_t asker = 0) -> void
    {
        for (const auto &action : nodes_[to]->handle(std::move(event), now_)) {
            const auto *sent = std::get_if<SendDigest>(&action);
            if (sent == nullptr)
                continue;
            bytes_ += 2 * wire::encodeDigest(sent->digest).size();
            const auto isTarget = [sent](const auto &member) {
                return member.id == sent->upstream;
            };
            const auto target = std::find_if(pool_.members.begin(), pool_.members.end(), isTarget);
            const auto index = static_cast<std::size_t>(target - pool_.members.begin());
            give(sent->upstream == 0 ? asker : index, DigestReceived{sent->digest}, to);
        }
    }

    Pool pool_;
    std::vector<std::unique_ptr<SidecarNode>> nodes_;
    Instant now_ = start;
    std::size_t bytes_ = 0;
    std::size_t held_ = 0;
    Duration ages_{0};
};

auto measureIdlePool() -> void
{
    const std::vector<std::size_t> members{6, 12, 18, 36};
    measureSlope({"pool.idle.digests", "members", "bytes_sent_and_received_per_second", 36},
                 members, [](std::size_t size) {
                     IdlePool pool(size);
                     pool.run();
                     return pool.bytesASecond();
                 });
    measureSlope({"pool.idle.age", "members", "mean_ms", 36}, members, [](std::size_t size) {
        IdlePool pool(size);
        pool.run();
        return pool.meanAge();
    });
}

auto measureDigestBytes() -> void
{
    const auto pool = poolOf(20);
    const auto entries = entriesOf(pool);
    measureSlope({"digest.entry", "entries", "bytes", 20}, {1, 6, 12, 20}, [&](std::size_t count) {
        Digest digest;
        digest.settingsIndex = 123456;
        digest.entries.assign(entries.begin(), entries.begin() + static_cast<long>(count));
        return static_cast<double>(wire::encodeDigest(digest).size());
    });
    measureSlope({"digest.sum", "data_centres", "bytes", 7}, {1, 3, 5, 7}, [&](std::size_t count) {
        Digest digest;
        digest.settingsIndex = 123456;
        for (std::size_t i = 0; i < count; ++i)
            digest.sums.push_back(
                {stableHash("pool"), stableHash(std::to_string(i)), 3000, 104, 620, 832, 1234ms});
        return static_cast<double>(wire::encodeDigest(digest).size());
    });
    measureSlope({"digest.crash", "notices", "bytes", 6}, {1, 3, 6}, [&](std::size_t count) {
        Digest digest;
        for (std::size_t i = 0; i < count; ++i)
            digest.crashes.push_back(
                {stableHash(std::to_string(i)), {pool.members[i].id, 1764712800000000}, 1, 600s});
        return static_cast<double>(wire::encodeDigest(digest).size());
    });
}

/// Share of all pools' members that one router knows, in percent, from digests alone: as the
/// router asks one random member of one pool in turn each second.
auto heardOf(std::size_t pools) -> double
{
    const auto members = static_cast<std::size_t>(engines) / pools;
    std::vector<Pool> made;
    std::vector<LoadTable> whole(pools);
    for (std::size_t i = 0; i < pools; ++i) {
        made.push_back(poolOf(members, "pool-" + std::to_string(i)));
        (void)whole[i].apply(entriesOf(made[i]), start);
    }
    LoadTable router;
    Random random(1);
    const PoolSums sums;
    const CrashTracker crashes(10);
    auto now = start;
    double known = 0;
    constexpr std::size_t seconds = 120;
    for (std::size_t second = 0; second < seconds; ++second) {
        now += 1s;
        const auto asked = second % pools;
        auto entries = entriesOf(made[asked]);
        for (auto &entry : entries) {
            entry.version += static_cast<std::uint32_t>(second);
            entry.age = std::chrono::milliseconds(random() % 5000);
        }
        (void)whole[asked].apply(entries, now);
        const auto self = made[asked].members[random() % members].id;
        const GossipView view{made[asked], self, "dc-0", 1, digestBytes};
        (void)router.apply(composeDigest(view, whole[asked], sums, crashes, {}, now).entries, now);
        router.expire(now);
        if (second >= seconds / 2)
            known += static_cast<double>(router.size()) * 2 / seconds;
    }
    return 100 * known / static_cast<double>(members * pools);
}

} // namespace

auto measureLoadPlane() -> void
{
    measureDigestBytes();
    measureIdlePool();
    const std::vector<std::size_t> members{18, 100, 365, 730};
    measureSlope({"sidecar.idle.cpu", "members", "us_per_second", engines}, members,
                 [](std::size_t size) { return idleSidecar(size, 1).microseconds; });
    measureSlope({"sidecar.idle.digests", "members", "bytes_sent_per_second", engines}, members,
                 [](std::size_t size) { return idleSidecar(size, 1).bytes; });
    measureSlope(
        {"sidecar.asked.digests", "routers_asking_each_second", "bytes_sent_per_second", 1},
        {0, 1, 4, 16}, [](std::size_t size) { return idleSidecar(36, size).bytes; });
    measureSlope({"load-table.memory", "upstreams", "heap_bytes", engines}, members,
                 [](std::size_t size) {
                     const auto entries = entriesOf(poolOf(size));
                     return heapOf([&] {
                         LoadTable table;
                         (void)table.apply(entries, start);
                         return table;
                     });
                 });
    measureSlope({"router.digests.heard", "pools", "percent_of_members_known", 20},
                 {1, 2, 5, 10, 20}, heardOf);
}

} // namespace applehatch::bench
