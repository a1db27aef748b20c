// Prints what one routing decision costs; a measure to read, not a test.
#include "applehatch/core/placement.h"

#include <chrono>
#include <cstdio>
#include <utility>

namespace {

using namespace applehatch::core;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t upstreams = 730;
constexpr std::uint32_t decisions = 20000;

auto makePool() -> Pool
{
    Pool pool;
    pool.team = "ledger";
    pool.name = "drafting";
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        applehatch::settings::Member member;
        member.name = "eng-" + std::to_string(i);
        member.id = applehatch::settings::upstreamId(pool.team, pool.name, member.name);
        member.slots = 8 + i % 3;
        pool.members.push_back(member);
    }
    return pool;
}

auto microseconds(Clock::duration time) -> double
{
    return std::chrono::duration<double, std::micro>(time).count() / decisions;
}

auto measurePlacement(const char *name, const Placement &placement, const Pool &pool,
                      const LoadTable &loads, ChatKey firstChat) -> void
{
    std::vector<UpstreamId> all;
    for (const auto &member : pool.members)
        all.push_back(member.id);
    const auto load = loads.poolLoad(pool, Instant{});
    Random random(1);
    std::uint64_t sum = 0;
    const auto begin = Clock::now();
    for (std::uint32_t i = 0; i < decisions; ++i) {
        const auto chat = firstChat == 0 ? 0 : firstChat + i;
        const PlacementView view{pool, loads, chat, 0, all, "bole", Instant{}, load};
        sum += placement(view, random).front();
    }
    std::printf("placement=%s us_per_decision=%.2f check=%llx\n", name,
                microseconds(Clock::now() - begin), static_cast<unsigned long long>(sum));
}

// Through the node: pool lookup, placement, log line and submit, over links that are open.
auto measureNode(const char *name, const Pool &pool, const LoadTable &loads, ChatKey firstChat)
    -> void
{
    auto team = std::make_shared<applehatch::settings::Team>();
    team->name = pool.team;
    team->customers["east"].name = "east";
    team->pools[pool.name] = pool;
    team->pools[pool.name].models = {"writer"};
    auto settings = std::make_shared<applehatch::settings::Settings>();
    settings->teams[team->name] = team;
    RouterNode node({"router-1", "bole", 1});
    std::size_t actions = node.handle(SettingsInForce{settings}, Instant{}).size();
    for (const auto &member : pool.members)
        actions += node.handle(LinkUp{member.id, 1, Instant{}}, Instant{}).size();
    Digest digest;
    digest.entries = loads.freshest(upstreams, Instant{});
    actions += node.handle(DigestReceived{digest}, Instant{}).size();
    const auto body = std::make_shared<const std::string>(4096, 'x');
    Clock::duration spent{};
    for (std::uint32_t i = 0; i < decisions; ++i) {
        CallerRequest request;
        request.request = "r" + std::to_string(i);
        request.terms.team = pool.team;
        request.terms.customer = "east";
        request.terms.model = "writer";
        request.terms.chat = firstChat == 0 ? 0 : firstChat + i;
        request.call = {"POST", "/v1/chat/completions", {}, body, true};
        const Instant now{std::chrono::microseconds(i * 133)};
        const auto begin = Clock::now();
        auto done = node.handle(std::move(request), now);
        spent += Clock::now() - begin;
        actions += done.size();
        actions += node.handle(CallerGone{"r" + std::to_string(i)}, now).size();
    }
    std::printf("node=%s us_per_request=%.2f actions=%zu\n", name, microseconds(spent), actions);
}

} // namespace

auto main() -> int
{
    const auto pool = makePool();
    LoadTable loads;
    std::vector<DigestEntry> entries;
    for (const auto &member : pool.members)
        entries.push_back({member.id, 1, 1, 4, 0, member.slots, UpstreamState::Serving, {}});
    loads.apply(entries, Instant{});
    std::printf("upstreams=%u decisions=%u\n", upstreams, decisions);
    measurePlacement("context", placeByContext, pool, loads, 1);
    measurePlacement("context-without-chat", placeByContext, pool, loads, 0);
    measurePlacement("random", placeRandom, pool, loads, 1);
    measurePlacement("least-of-two", placeLeastOfTwo, pool, loads, 1);
    measurePlacement("rendezvous-live", placeRendezvousLive, pool, loads, 1);
    measurePlacement("consistent-bounded", placeConsistentBounded, pool, loads, 1);
    measureNode("chat", pool, loads, 1);
    measureNode("without-chat", pool, loads, 0);
}
