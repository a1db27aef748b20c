#include "engine-pool.h"

#include "applehatch/direct/choice.h"
#include "applehatch/direct/dispatcher.h"
#include "applehatch/direct/reading-backlog.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace applehatch::direct;
using namespace applehatch::direct::testing;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);
constexpr double tokensPerMs = 68;

/// An engine that reads one prompt after another and forgets nothing.
struct Reader
{
    Instant freeAt = start;
    std::set<std::uint64_t> contexts;

    auto read(const Prompt &prompt, Instant now) -> Instant
    {
        const auto context = sharedContext(prompt);
        auto tokens = promptTokens(prompt);
        if (!contexts.insert(context.hash).second)
            tokens -= context.tokens;
        const auto time = std::chrono::duration<double, std::milli>(tokens / tokensPerMs);
        freeAt = std::max(freeAt, now) + std::chrono::duration_cast<Duration>(time);
        return freeAt;
    }
};

struct FirstEvents
{
    std::vector<Duration> waits;
    std::uint64_t readAgain = 0; ///< Tokens of contexts that some engine had read before.

    [[nodiscard]] auto lateShare(Duration objective) const -> double
    {
        const auto late = std::count_if(waits.begin(), waits.end(),
                                        [&](Duration wait) { return wait > objective; });
        return static_cast<double>(late) / static_cast<double>(waits.size());
    }
};

/// What is asked for: `hotShare` of the long prompts have one context.
struct Demand
{
    std::size_t routers = 9;
    std::size_t engineCount = 16; ///< Four fifths of what they can read is asked for.
    double hotShare = 0;
};

/// Plays three seconds from a cold start: 330 prompts a second, a fifth of them with contexts of
/// 10,000 tokens, the others of 700, while routers tell one another each 200 ms.
class ColdStart
{
public:
    ColdStart(const Demand &demand, bool weighsPrompts)
        : demand_(demand)
        , list_(engines(demand.engineCount))
    {
        for (std::size_t i = 0; i < demand.routers; ++i) {
            fleet_.emplace_back(DispatcherOptions{"here", i + 1}, RetryLimits{}, start);
            fleet_.back().setConfiguration(poolConfiguration());
            fleet_.back().setUpstreams(list_, start);
            Policies policies;
            policies.weighsPrompts = weighsPrompts;
            fleet_.back().setPolicies(policies);
            for (const auto &engine : list_)
                fleet_.back().paces().note(engine.id, 1, start);
        }
    }

    auto play() -> FirstEvents
    {
        auto nextDigest = start;
        for (auto now = start; now < start + 3s; now += 3ms) {
            finishReading(now);
            if (now >= nextDigest) {
                tellPeers(now);
                nextDigest += 200ms;
            }
            send(now);
        }
        return results_;
    }

private:
    struct Sent
    {
        std::size_t router;
        UpstreamId engine;
        std::uint32_t unread;
    };

    auto draw(std::uint64_t below) -> std::uint64_t
    {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random_);
    }

    auto nextPrompt() -> Prompt
    {
        const auto isLong = draw(5) == 0;
        const auto isHot = isLong && static_cast<double>(draw(1000)) < demand_.hotShare * 1000;
        const auto thing = isHot ? 0 : draw(isLong ? 100 : 300);
        const auto id = (isLong ? 1000 : 5000) + thing;
        return {{id, isLong ? 10000U : 700U}, {100000 + ++asked_, isLong ? 1300U : 130U}};
    }

    auto send(Instant now) -> void
    {
        const auto router = draw(fleet_.size());
        auto &dispatcher = fleet_[router];
        RoutingInput input;
        input.prompt = nextPrompt();
        const auto permit = std::get<Permit>(dispatcher.admit("a", "/x", std::nullopt));
        const auto choice = std::get<Choice>(dispatcher.choose(permit, input, now));
        const auto id = choice.upstream.id;
        dispatcher.noteSent(id, input, now);
        dispatcher.backlog().noteSent(id, choice.unreadTokens);
        const auto context = sharedContext(input.prompt);
        if (!readers_[id].contexts.contains(context.hash) && !known_.insert(context.hash).second)
            results_.readAgain += context.tokens;
        const auto readAt = readers_[id].read(input.prompt, now);
        results_.waits.push_back(readAt - now);
        reading_.emplace(readAt, Sent{router, id, choice.unreadTokens});
        running_.emplace(readAt + 1s, Sent{router, id, 0});
    }

    auto finishReading(Instant now) -> void
    {
        for (; !reading_.empty() && reading_.begin()->first <= now;
             reading_.erase(reading_.begin())) {
            const auto &sent = reading_.begin()->second;
            fleet_[sent.router].backlog().noteRead(sent.engine, sent.unread);
        }
        for (; !running_.empty() && running_.begin()->first <= now;
             running_.erase(running_.begin()))
            fleet_[running_.begin()->second.router].noteDone(running_.begin()->second.engine, {});
    }

    auto tellPeers(Instant now) -> void
    {
        for (std::size_t from = 0; from < fleet_.size(); ++from) {
            auto loads = fleet_[from].loads().ownLoads();
            for (auto &load : loads)
                load.unreadTokens = fleet_[from].backlog().ownTokens(load.upstream);
            const auto uses = fleet_[from].contexts().recentUses(now);
            for (std::size_t to = 0; to < fleet_.size(); ++to) {
                if (to == from)
                    continue;
                fleet_[to].loads().notePeer(from, loads, now);
                fleet_[to].backlog().notePeer(from, loads, now);
                fleet_[to].contexts().notePeer(uses, now);
            }
        }
    }

    Demand demand_;
    UpstreamList list_;
    std::vector<Dispatcher> fleet_;
    std::map<UpstreamId, Reader> readers_;
    std::multimap<Instant, Sent> reading_;
    std::multimap<Instant, Sent> running_;
    std::set<std::uint64_t> known_;
    std::mt19937_64 random_{20261204};
    std::uint64_t asked_ = 0;
    FirstEvents results_;
};

auto viewsOf(const UpstreamList &list) -> std::vector<UpstreamView>
{
    std::vector<UpstreamView> views;
    for (const auto &upstream : list)
        views.push_back({.upstream = &upstream});
    return views;
}

constexpr LoadBound bound;
constexpr double busyMean = 20; // Leaves all engines within the bound.

} // namespace

BOOST_AUTO_TEST_SUITE(reading)

// Load: all contexts are asked for at once after a start. Guards against queues of long prompts at
// some engines while others have nothing to read.
BOOST_AUTO_TEST_CASE(after_a_cold_start_fewer_first_events_are_late)
{
    for (const std::size_t routers : {1U, 9U, 30U}) {
        Demand demand;
        demand.routers = routers;
        const auto before = ColdStart(demand, false).play();
        const auto after = ColdStart(demand, true).play();
        BOOST_TEST_MESSAGE(routers << " routers: late " << before.lateShare(400ms) << " -> "
                                   << after.lateShare(400ms) << ", read again " << before.readAgain
                                   << " -> " << after.readAgain);
        BOOST_TEST(after.lateShare(400ms) < 0.7 * before.lateShare(400ms));
    }
}

// Load: 0.4 of the longest prompts have one context. Guards against a holder that is asked for more
// than it can read, and against a copy at every engine.
BOOST_AUTO_TEST_CASE(a_hot_context_gets_as_many_holders_as_its_rate_needs)
{
    Demand demand;
    demand.hotShare = 0.4;
    const auto before = ColdStart(demand, false).play();
    const auto after = ColdStart(demand, true).play();
    BOOST_TEST_MESSAGE("late " << before.lateShare(400ms) << " -> " << after.lateShare(400ms)
                               << ", read again " << before.readAgain << " -> " << after.readAgain);
    BOOST_TEST(after.lateShare(400ms) < before.lateShare(400ms));
}

// Guards against another choice of engines where their hosts do no other work.
BOOST_AUTO_TEST_CASE(prompts_are_weighed_only_where_engines_report_their_pace)
{
    const auto list = engines(2);
    Dispatcher dispatcher({"here", 1}, RetryLimits{}, start);
    dispatcher.setConfiguration(poolConfiguration());
    dispatcher.setUpstreams(list, start);
    Policies policies;
    policies.weighsPrompts = true;
    dispatcher.setPolicies(policies);
    RoutingInput input;
    input.prompt = {{7, 1000}, {8, 100}};
    const auto permit = std::get<Permit>(dispatcher.admit("a", "/x", std::nullopt));
    const auto unread = [&] {
        return std::get<Choice>(dispatcher.choose(permit, input, start)).unreadTokens;
    };
    BOOST_TEST(unread() == 0U);
    dispatcher.paces().note(list[0].id, 1, start);
    BOOST_TEST(unread() == 1100U);
}

BOOST_AUTO_TEST_CASE(a_holder_is_left_only_while_reading_again_is_sooner)
{
    const auto list = engines(4);
    auto views = viewsOf(list);
    const PromptDemand demand{7, 1000, 100, {list[2].id}, false};
    BOOST_TEST(chooseSoonestRead(demand, views, bound, busyMean) == &list[2]);
    views[2].unreadTokens = 1900;
    BOOST_TEST(chooseSoonestRead(demand, views, bound, busyMean) == &list[2]);
    views[2].unreadTokens = 4000;
    BOOST_TEST(chooseSoonestRead(demand, views, bound, busyMean) != &list[2]);
    for (auto &view : views)
        view.unreadTokens = 4000;
    BOOST_TEST(chooseSoonestRead(demand, views, bound, busyMean) == &list[2]);
}

BOOST_AUTO_TEST_CASE(a_short_prompt_avoids_the_engine_that_reads_long_ones)
{
    const auto list = engines(3);
    auto views = viewsOf(list);
    views[0].unreadTokens = 30000;
    views[1].unreadTokens = 20000;
    const PromptDemand demand{7, 700, 130, {list[0].id, list[1].id}, true};
    BOOST_TEST(chooseSoonestRead(demand, views, bound, busyMean) == &list[2]);
}

// Guards against burying an engine that has nothing to read under running requests.
BOOST_AUTO_TEST_CASE(the_load_bound_goes_before_what_is_to_be_read)
{
    const auto list = engines(2);
    auto views = viewsOf(list);
    views[0].load = 60;
    views[1].unreadTokens = 50000;
    const PromptDemand demand{7, 700, 130, {list[0].id}, false};
    BOOST_TEST(chooseSoonestRead(demand, views, bound, busyMean) == &list[1]);
    BOOST_TEST(chooseSoonestRead(demand, {}, bound, busyMean) == nullptr);
}

// Guards against counting for ever what a router said that has ended, or an engine that left.
BOOST_AUTO_TEST_CASE(tokens_of_silent_routers_and_lost_engines_are_dropped)
{
    ReadingBacklog backlog;
    backlog.noteSent(1, 300);
    backlog.notePeer(8, {{1, 1, 500}, {2, 1, 0}}, start);
    BOOST_TEST(backlog.tokensAt(1) == 800U);
    BOOST_TEST(backlog.tokensAt(2) == 0U);
    backlog.notePeer(8, {{1, 1, 200}}, start + 200ms);
    BOOST_TEST(backlog.tokensAt(1) == 500U);
    backlog.expire(1s, start + 2s);
    BOOST_TEST(backlog.tokensAt(1) == 300U);
    backlog.noteRead(1, 300);
    backlog.noteRead(1, 300);
    BOOST_TEST(backlog.tokensAt(1) == 0U);
    backlog.noteSent(1, 300);
    backlog.forget(1);
    BOOST_TEST(backlog.ownTokens(1) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
