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

// Chats return while each time another twentieth of the pool is out of this router's list.
auto measureChurn(const char *name, const Placement &placement, const Pool &pool,
                  const LoadTable &loads, bool echoesToken) -> void
{
    constexpr std::uint32_t chats = 14600;
    constexpr std::uint32_t returns = 4;
    constexpr std::uint32_t oneInOut = 20;
    const auto load = loads.poolLoad(pool, Instant{});
    Random random(7);
    std::vector<UpstreamId> holder(chats);
    std::uint32_t warm = 0;
    for (std::uint32_t turn = 0; turn <= returns; ++turn) {
        std::vector<UpstreamId> usable;
        for (const auto &member : pool.members) {
            if (random() % oneInOut != 0)
                usable.push_back(member.id);
        }
        for (std::uint32_t chat = 0; chat < chats; ++chat) {
            const PlacementView view{pool,   loads,  chat + 1,  echoesToken ? holder[chat] : 0,
                                     usable, "bole", Instant{}, load};
            const auto chosen = placement(view, random).front();
            warm += turn > 0 && chosen == holder[chat] ? 1 : 0;
            holder[chat] = chosen;
        }
    }
    std::printf("churn=%s token=%d returns_to_last_holder=%.4f\n", name, echoesToken ? 1 : 0,
                static_cast<double>(warm) / (returns * chats));
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
    digest.entries = loads.newestEntries(upstreams, Instant{});
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
        actions += node.handle(CallerDisconnected{"r" + std::to_string(i)}, now).size();
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
    measureChurn("context", placeByContext, pool, loads, true);
    measureChurn("context", placeByContext, pool, loads, false);
    measureChurn("random", placeRandom, pool, loads, false);
    measureChurn("least-of-two", placeLeastOfTwo, pool, loads, false);
    measureChurn("rendezvous-live", placeRendezvousLive, pool, loads, false);
    measureChurn("consistent-bounded", placeConsistentBounded, pool, loads, false);
    measureNode("chat", pool, loads, 1);
    measureNode("without-chat", pool, loads, 0);
}
