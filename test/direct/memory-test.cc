// Tests the distribution of contexts over engines with little memory.
#include "engine-pool.h"

#include "applehatch/direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <list>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);
constexpr std::size_t engineCount = 12;
constexpr std::uint32_t engineSlots = 128;

/// An LRU cache of prompts with a capacity in tokens.
class PromptMemory
{
public:
    explicit PromptMemory(std::uint64_t capacity)
        : capacity_(capacity)
    { }

    /// Returns the number of tokens that must be read: 0 if the prompt is cached.
    auto use(std::uint64_t id, std::uint32_t tokens) -> std::uint32_t
    {
        const auto found = cached_.find(id);
        if (found != cached_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            return 0;
        }
        order_.push_front({id, tokens});
        cached_[id] = order_.begin();
        used_ += tokens;
        while (used_ > capacity_) {
            used_ -= order_.back().second;
            cached_.erase(order_.back().first);
            order_.pop_back();
        }
        return tokens;
    }

private:
    using Order = std::list<std::pair<std::uint64_t, std::uint32_t>>;

    std::uint64_t capacity_;
    std::uint64_t used_ = 0;
    Order order_;
    std::unordered_map<std::uint64_t, Order::iterator> cached_;
};

struct TokensRead
{
    std::uint64_t byPool = 0;
    std::uint64_t bySingleEngine = 0; ///< As if one engine had the memory of the whole pool.
};

/// Simulates a minute of 100 requests a second through five routers, which exchange reports five
/// times a second. Requests share 300 contexts of 500 to 40,000 tokens, 1.2 million tokens in all;
/// each request adds 500 tokens of its own.
auto simulateMinute(std::uint32_t memoryTokens) -> TokensRead
{
    constexpr std::size_t routers = 5;
    constexpr std::uint32_t ownTokens = 500;
    const auto list = engines(engineCount, engineSlots);
    std::vector<Dispatcher> fleet;
    for (std::size_t i = 0; i < routers; ++i) {
        fleet.emplace_back(DispatcherOptions{"here", i + 1}, RetryLimits{}, start);
        fleet.back().setConfiguration(poolConfiguration(memoryTokens));
        fleet.back().setUpstreams(list, start);
    }
    std::mt19937_64 random(20261203);
    std::lognormal_distribution<double> size(std::log(2500), 1.0);
    std::vector<std::uint32_t> tokensOf;
    for (std::size_t i = 0; i < 300; ++i)
        tokensOf.push_back(static_cast<std::uint32_t>(std::clamp(size(random), 500.0, 40000.0)));
    std::map<UpstreamId, PromptMemory> memories;
    for (const auto &upstream : list)
        memories.emplace(upstream.id, PromptMemory(memoryTokens));
    PromptMemory all(std::uint64_t{memoryTokens} * list.size());
    std::multimap<Instant, std::pair<std::size_t, UpstreamId>> running;
    TokensRead tokensRead;
    auto nextReport = start;
    for (auto now = start; now < start + 60s; now += 10ms) {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [router, upstream] = running.begin()->second;
            fleet[router].noteDone(upstream, {});
            running.erase(running.begin());
        }
        if (now >= nextReport) {
            nextReport = now + 200ms;
            for (std::size_t from = 0; from < routers; ++from) {
                for (std::size_t to = 0; to < routers; ++to) {
                    if (from == to)
                        continue;
                    fleet[to].loads().notePeer(from, fleet[from].loads().ownLoads(), now);
                    fleet[to].contexts().notePeer(fleet[from].contexts().recentUses(now), now);
                }
                fleet[from].contexts().expire(now);
            }
        }
        const auto router = random() % routers;
        const auto context = random() % tokensOf.size();
        const auto own = random();
        RoutingInput input;
        input.prompt = {{context, tokensOf[context]}, {own, ownTokens}};
        const auto permit = std::get<Permit>(fleet[router].admit("a", "/", std::nullopt));
        const auto choice = std::get<Choice>(fleet[router].choose(permit, input, now));
        const auto id = choice.upstream.id;
        fleet[router].noteSent(id, input, now);
        running.emplace(now + 500ms + std::chrono::milliseconds(random() % 2000),
                        std::pair(router, id));
        auto &memory = memories.at(id);
        const auto isCounted = now >= start + 10s; // By then each context was read at least once.
        const auto here = memory.use(context, tokensOf[context]);
        const auto best = all.use(context, tokensOf[context]);
        tokensRead.byPool += isCounted ? here : 0;
        tokensRead.bySingleEngine += isCounted ? best : 0;
        memory.use(own, ownTokens);
        all.use(own, ownTokens);
    }
    return tokensRead;
}

} // namespace

BOOST_AUTO_TEST_SUITE(memory)

// If some engines get more long contexts than they can keep while others have free memory, or if a
// context is held by several engines, contexts are evicted before they are requested again, and
// callers wait until they have been read again. The pool may read at most twice as many tokens as
// one engine with all its memory would.
BOOST_AUTO_TEST_CASE(contexts_fill_the_memory_of_a_pool_evenly)
{
    // 1.5 times the size of all shared contexts, over the pool.
    constexpr std::uint32_t shortMemory = 150000;
    const auto tokensRead = simulateMinute(shortMemory);
    BOOST_TEST_MESSAGE("read again: " << tokensRead.byPool << " tokens, "
                                      << tokensRead.bySingleEngine
                                      << " by one engine with all the memory");
    BOOST_TEST(tokensRead.byPool <= 2 * tokensRead.bySingleEngine);
}

BOOST_AUTO_TEST_SUITE_END()
