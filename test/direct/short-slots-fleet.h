/// A played fleet: routers before upstreams of one plain service, and callers who come back.
#pragma once

#include "applehatch/direct/dispatcher.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace applehatch::direct::testing {

/// What is played. Times are those of the service: 60 ms of work for an objective of 300 ms.
struct ShortSlots
{
    std::size_t routers = 9;
    std::size_t upstreams = 1;
    double callersPerSecond = 180;
    Duration length = std::chrono::seconds(8);
    std::uint64_t seed = 1;
    Policies policies;
    /// Share of the time in which work takes `slowFactor` times as long at an upstream.
    double slowShare = 0;
    double slowFactor = 2.5;
};

struct ShortSlotsOutcome
{
    std::uint64_t asked = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t gaveUp = 0; ///< Refused until their time was over.
    std::uint64_t servedAfterRefusal = 0;
};

class ShortSlotsFleet
{
public:
    static constexpr std::uint32_t slots = 6;
    static constexpr std::size_t queueLength = 24;
    static constexpr Duration objective = std::chrono::milliseconds(300);
    static constexpr Duration patience = std::chrono::milliseconds(1500);
    static constexpr Duration work = std::chrono::milliseconds(60);
    static constexpr Duration wire = std::chrono::milliseconds(2);
    static constexpr Duration digestInterval = std::chrono::milliseconds(200);
    static constexpr Duration paceInterval = std::chrono::milliseconds(600);

    explicit ShortSlotsFleet(ShortSlots setting)
        : setting_(setting)
        , random_(setting.seed)
        , engines_(setting.upstreams)
    {
        for (std::size_t i = 0; i < setting_.routers; ++i)
            addRouter(i);
    }

    auto play() -> ShortSlotsOutcome
    {
        arrive();
        for (std::size_t i = 0; i < routers_.size(); ++i)
            tell(i);
        for (auto &engine : engines_)
            drawPace(engine);
        while (!events_.empty()) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return outcome_;
    }

private:
    struct Caller
    {
        Instant firstSent;
        bool wasRefused = false;
    };

    struct Sent
    {
        Caller caller;
        std::size_t router = 0;
        Duration sinceFirstSent{0};
        Instant at;
    };

    struct Engine
    {
        std::uint32_t running = 0;
        std::deque<Sent> queue;
        double slowdown = 1;
    };

    auto addRouter(std::size_t index) -> void
    {
        auto router =
            std::make_unique<Dispatcher>(DispatcherOptions{"here", index + 1}, RetryLimits{}, now_);
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        Route route;
        route.host = "a";
        route.prefix = "/";
        route.targets = {{"plain", 1}};
        route.objective = objective;
        configuration->add(route);
        configuration->services["plain"].name = "plain";
        router->setConfiguration(configuration);
        UpstreamList list;
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            Upstream upstream;
            upstream.instance = "plain-" + std::to_string(i);
            upstream.id = i + 1;
            upstream.service = "plain";
            upstream.slots = slots;
            upstream.dataCenter = "here";
            list.push_back(upstream);
            router->paces().note(upstream.id, 1, now_);
        }
        router->setUpstreams(list, now_);
        router->setPolicies(setting_.policies);
        routers_.push_back(std::move(router));
    }

    auto after(Duration delay, std::function<void()> action) -> void
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    auto drawn(double mean) -> Duration
    {
        std::exponential_distribution<double> gap(1 / mean);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
    }

    auto arrive() -> void
    {
        if (now_ >= start_ + setting_.length)
            return;
        ++outcome_.asked;
        attempt({now_, false});
        after(drawn(1 / setting_.callersPerSecond), [this] { arrive(); });
    }

    auto tell(std::size_t from) -> void
    {
        if (now_ >= start_ + setting_.length + patience)
            return;
        for (std::size_t to = 0; to < routers_.size(); ++to) {
            if (to != from)
                routers_[to]->loads().notePeer(from, routers_[from]->loads().ownLoads(), now_);
        }
        after(digestInterval, [this, from] { tell(from); });
    }

    auto drawPace(Engine &engine) -> void
    {
        if (now_ >= start_ + setting_.length + patience)
            return;
        std::bernoulli_distribution slow(setting_.slowShare);
        engine.slowdown = slow(random_) ? setting_.slowFactor : 1;
        after(paceInterval, [this, &engine] { drawPace(engine); });
    }

    auto attempt(Caller caller) -> void
    {
        const auto index =
            std::uniform_int_distribution<std::size_t>(0, routers_.size() - 1)(random_);
        auto &router = *routers_[index];
        const auto permit = std::get<Permit>(router.admit("a", "/x", std::nullopt));
        RoutingInput input;
        input.sinceFirstSent = now_ - caller.firstSent;
        const auto chosen = router.choose(permit, input, now_);
        if (const auto *refused = std::get_if<core::Failure>(&chosen))
            return refuse(caller, refused->retryAfter.value_or(objective));
        const auto &choice = std::get<Choice>(chosen);
        router.noteSent(choice.upstream.id, input, now_);
        router.noteAdmissionStart(permit);
        const Sent sent{caller, index, input.sinceFirstSent, now_};
        after(wire, [this, sent, id = choice.upstream.id] { reach(sent, id); });
    }

    auto refuse(Caller caller, Duration retryAfter) -> void
    {
        caller.wasRefused = true;
        const auto left = caller.firstSent + patience - now_;
        const auto delay = std::min(retryAfter, left / 3) + 2 * wire;
        if (left <= objective / 3) {
            ++outcome_.gaveUp;
            return;
        }
        after(delay, [this, caller] { attempt(caller); });
    }

    auto reach(const Sent &sent, UpstreamId id) -> void
    {
        auto &engine = engines_[id - 1];
        if (engine.running < slots)
            return run(sent, id);
        if (engine.queue.size() < queueLength) {
            engine.queue.push_back(sent);
            return;
        }
        end(sent, id, false);
        refuse(sent.caller, objective);
    }

    auto run(const Sent &sent, UpstreamId id) -> void
    {
        auto &engine = engines_[id - 1];
        ++engine.running;
        std::lognormal_distribution<double> spread(0, 0.5);
        const auto time = work * engine.slowdown * spread(random_);
        after(std::chrono::duration_cast<Duration>(time), [this, sent, id] { finish(sent, id); });
    }

    auto finish(const Sent &sent, UpstreamId id) -> void
    {
        auto &engine = engines_[id - 1];
        --engine.running;
        if (!engine.queue.empty()) {
            const auto next = engine.queue.front();
            engine.queue.pop_front();
            run(next, id);
        }
        after(wire, [this, sent, id] { answer(sent, id); });
    }

    auto answer(const Sent &sent, UpstreamId id) -> void
    {
        end(sent, id, true);
        const auto isOnTime = now_ - sent.caller.firstSent <= objective;
        ++(isOnTime ? outcome_.onTime : outcome_.late);
        if (sent.caller.wasRefused)
            ++outcome_.servedAfterRefusal;
    }

    auto end(const Sent &sent, UpstreamId id, bool served) -> void
    {
        auto &router = *routers_[sent.router];
        const auto &engine = engines_[id - 1];
        router.loads().noteReport(id, engine.running,
                                  static_cast<std::uint32_t>(engine.queue.size()), now_);
        router.paces().note(id, engine.slowdown, now_);
        router.noteDone(id, {});
        const auto permit = std::get<Permit>(router.admit("a", "/x", std::nullopt));
        const auto took = std::min<Duration>(now_ - sent.at, 2 * work);
        router.noteAdmissionEnd(permit, served ? std::optional(took) : std::nullopt, now_);
    }

    ShortSlots setting_;
    std::mt19937_64 random_;
    const Instant start_ = Instant(std::chrono::seconds(100));
    Instant now_ = start_;
    std::vector<Engine> engines_;
    std::vector<std::unique_ptr<Dispatcher>> routers_;
    std::multimap<Instant, std::function<void()>> events_;
    ShortSlotsOutcome outcome_;
};

} // namespace applehatch::direct::testing
