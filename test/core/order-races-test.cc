#include "applehatch/core/order-plan.h"
#include "core/sidecar-fixture.h"

#include <functional>
#include <list>
#include <set>

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;
using applehatch::settings::Fencing;

namespace {

using Models = std::vector<std::string>;

constexpr Duration step = 100ms;
constexpr Duration reportInterval = 1s;
constexpr Duration reportDelay = 500ms;
constexpr Duration answerTimeout = 5s;

/// Start of the simulated wall clock, in microseconds. Incarnations are wall-clock times.
constexpr Incarnation wallClock = 1764723817000000;

/// Simulates one engine, its sidecar, and the orders in transit between them.
class EngineWithSidecar
{
public:
    explicit EngineWithSidecar(Fencing fencing, Models loaded, Incarnation clock = wallClock)
        : pool_(poolOf(1, 4))
        , clock_(clock)
        , loadedModels_(loaded.begin(), loaded.end())
    {
        pool_.kind = applehatch::settings::PoolKind::Model;
        pool_.fencing = fencing;
    }

    /// Starts a sidecar with these settings. Kills the previous one if it still runs.
    auto startSidecar(SettingsIndex index, const Models &wanted) -> void
    {
        const auto wall = clock_ + static_cast<Incarnation>((now_ - started).count());
        ++sidecarNumber_;
        reportsSinceStart_ = 0;
        node_ = std::make_unique<SidecarNode>(SidecarIdentity{"tai", "jobs", "m0", "dc", wall, 1},
                                              SidecarLimits{});
        applySettings(index, wanted);
    }

    auto applySettings(SettingsIndex index, const Models &wanted) -> void
    {
        hasCrossedOrders_ = hasCrossedOrders_ || !inTransit_.empty();
        pool_.models = wanted;
        feed(SettingsInForce{settingsOf(pool_, index)});
    }

    auto askToStop() -> void { feed(DrainRequested{}); }
    auto kill() -> void { node_.reset(); }

    /// Sets the time from giving an order to its arrival, for orders given from now on.
    auto delayOrders(Duration delay) -> void { delay_ = delay; }

    auto advance(Duration time) -> void
    {
        for (const auto until = now_ + time; now_ < until;) {
            now_ += step;
            deliver();
            report();
            feed(Tick{});
        }
    }

    /// Advances time until `done` returns true. Returns false if that takes more than a minute.
    auto advanceUntil(const std::function<bool()> &done) -> bool
    {
        for (const auto until = now_ + 1min; now_ < until && !done();)
            advance(step);
        return done();
    }

    [[nodiscard]] auto hasModels(const Models &models) const -> bool
    {
        return loadedModels_ == std::set<std::string>(models.begin(), models.end());
    }

    /// Returns the orders given since the last call, in the form "load a".
    auto takeOrders() -> std::vector<std::string> { return std::exchange(ordered_, {}); }

    [[nodiscard]] auto inTransit() const -> std::size_t { return inTransit_.size(); }
    [[nodiscard]] auto reportsSinceStart() const -> std::size_t { return reportsSinceStart_; }
    [[nodiscard]] auto hasCrossedOrders() const -> bool { return hasCrossedOrders_; }

    /// Number of orders from an earlier sidecar that arrived after its successor had read the
    /// engine's state.
    [[nodiscard]] auto late() const -> std::size_t { return late_; }
    /// Number of late orders that the engine executed.
    [[nodiscard]] auto lateExecuted() const -> std::size_t { return lateExecuted_; }

private:
    struct OrderInTransit
    {
        GiveOrder order;
        Instant arrivesAt;
        Instant timeoutAt;
        int sidecarNumber = 0;
    };

    struct State
    {
        Instant arrivesAt;
        UpstreamReport report;
        int sidecarNumber = 0;
    };

    auto feed(SidecarEvent event) -> void
    {
        if (!node_)
            return;
        for (const auto &action : node_->handle(std::move(event), now_)) {
            if (const auto *order = std::get_if<GiveOrder>(&action)) {
                inTransit_.push_back({*order, now_ + delay_, now_ + answerTimeout, sidecarNumber_});
                const auto isLoad = order->kind == OrderKind::LoadModel;
                ordered_.push_back((isLoad ? "load " : "unload ") + order->model);
            }
        }
    }

    auto answer(const OrderInTransit &order, bool done) -> void
    {
        if (order.sidecarNumber == sidecarNumber_)
            feed(OrderAnswered{order.order.fence, done, ""});
    }

    auto deliver() -> void
    {
        for (auto order = inTransit_.begin(); order != inTransit_.end();) {
            if (order->timeoutAt <= now_) {
                answer(*order, false);
                order->timeoutAt = Instant::max();
            }
            if (order->arrivesAt > now_) {
                ++order;
                continue;
            }
            const auto arrived = *order;
            order = inTransit_.erase(order);
            const auto isExecuted = execute(arrived.order);
            if (arrived.sidecarNumber != sidecarNumber_ && reportsSinceStart_ > 0) {
                ++late_;
                lateExecuted_ += isExecuted ? 1 : 0;
            }
            if (arrived.timeoutAt != Instant::max())
                answer(arrived, isExecuted);
        }
    }

    auto execute(const GiveOrder &order) -> bool
    {
        if (pool_.fencing == Fencing::Honored && order.fence < fence_)
            return false;
        fence_ = std::max(fence_, order.fence);
        if (order.kind == OrderKind::LoadModel)
            loadedModels_.insert(order.model);
        else
            loadedModels_.erase(order.model);
        return true;
    }

    auto report() -> void
    {
        if ((now_ - started) % reportInterval == 0s) {
            const auto fence = pool_.fencing == Fencing::Honored ? fence_ : 0;
            states_.push_back(
                {now_ + reportDelay,
                 {true, "epoch-1", 0, 0, Models(loadedModels_.begin(), loadedModels_.end()), fence},
                 sidecarNumber_});
        }
        while (!states_.empty() && states_.front().arrivesAt <= now_) {
            const auto state = states_.front();
            states_.pop_front();
            if (state.sidecarNumber == sidecarNumber_ && node_) {
                ++reportsSinceStart_;
                feed(state.report);
            }
        }
    }

    static constexpr Instant started{1000s};

    Pool pool_;
    Incarnation clock_;
    Instant now_ = started;
    std::unique_ptr<SidecarNode> node_;
    int sidecarNumber_ = 0;
    std::set<std::string> loadedModels_;
    std::uint64_t fence_ = 0;
    Duration delay_ = 50ms;
    std::list<OrderInTransit> inTransit_;
    std::list<State> states_;
    std::vector<std::string> ordered_;
    std::size_t reportsSinceStart_ = 0;
    std::size_t late_ = 0;
    std::size_t lateExecuted_ = 0;
    bool hasCrossedOrders_ = false;
};

auto nameOf(Fencing fencing) -> std::string
{
    return fencing == Fencing::Honored ? "honors" : "ignores";
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_races)

// One operator requests the first version of a model, another the second, and the second change is
// reverted a moment later. Orders for both are still in transit then, and some arrive after their
// sidecar has stopped waiting for the answer. An engine that ends with the second version would
// serve nobody.
BOOST_AUTO_TEST_CASE(crossing_orders_end_with_what_the_highest_index_says)
{
    for (const auto fencing : {Fencing::Honored, Fencing::Ignored}) {
        std::size_t crossed = 0;
        for (const auto delay : {50ms, 2000ms, 7000ms}) {
            for (auto second = 100ms; second < 9000ms; second += 400ms) {
                for (const auto back : {0ms, 300ms, 1500ms, 4000ms}) {
                    EngineWithSidecar engine(fencing, {"old"});
                    engine.startSidecar(1, {"old"});
                    engine.advance(3s);
                    engine.delayOrders(delay);
                    engine.applySettings(2, {"v1"});
                    engine.advance(second);
                    engine.applySettings(3, {"v2"});
                    engine.advance(back);
                    engine.applySettings(4, {"v1"});
                    engine.takeOrders();
                    engine.delayOrders(50ms);
                    engine.advance(1min);
                    crossed += engine.hasCrossedOrders() ? 1 : 0;
                    BOOST_TEST_CONTEXT(nameOf(fencing)
                                       << ", delay " << delay.count() << ", second "
                                       << second.count() << ", back " << back.count() << " ms")
                    {
                        BOOST_TEST(engine.hasModels({"v1"}));
                        BOOST_TEST(engine.inTransit() == 0U);
                        for (const auto &order : engine.takeOrders())
                            BOOST_TEST((order == "load v1" || order.starts_with("unload ")));
                        engine.advance(1min);
                        BOOST_TEST(engine.takeOrders().empty());
                    }
                }
            }
        }
        BOOST_TEST_MESSAGE(nameOf(fencing)
                           << ": " << crossed << " crossings with an order on its way");
        BOOST_TEST(crossed > 50U);
    }
}

// A sidecar gives an order and stops, or is killed, before the order arrives. By then its
// successor has read the engine's state and may run with newer settings. The effect of the late
// order must not last, and it must not prevent the successor from bringing the engine to the state
// in the settings, now and at the next change.
BOOST_AUTO_TEST_CASE(an_order_that_outlives_its_sidecar_neither_stands_nor_stops_the_successor)
{
    struct Row
    {
        const char *name;
        SettingsIndex index;
        Models wanted;
    };
    const std::vector<Row> rows{
        {"same settings", 2, {"v1"}},
        {"reverted", 3, {"old"}},
        {"newer version", 3, {"v2"}},
    };
    Random random(7);
    for (const auto fencing : {Fencing::Honored, Fencing::Ignored}) {
        std::size_t late = 0;
        std::size_t lateExecuted = 0;
        for (const auto &row : rows) {
            for (auto variant = 0U; variant < 240; ++variant) {
                const auto isPlannedStop = variant % 2 == 0;
                const auto orders = 1 + variant / 2 % 2;
                const auto pause = Duration(100ms) * (1 + variant / 4 % 20);
                EngineWithSidecar engine(fencing, {"old"}, wallClock + random() % 100000000);
                engine.startSidecar(1, {"old"});
                engine.advance(Duration(step) * (30 + random() % 100));
                engine.takeOrders();
                engine.applySettings(2, {"v1"});
                std::vector<std::string> given;
                engine.delayOrders(orders == 1 ? 6s : 50ms);
                const auto isGiven = [&] {
                    for (const auto &order : engine.takeOrders()) {
                        given.push_back(order);
                        engine.delayOrders(6s);
                    }
                    return given.size() == orders && engine.inTransit() == 1;
                };
                BOOST_REQUIRE(engine.advanceUntil(isGiven));
                if (isPlannedStop)
                    engine.askToStop();
                engine.advance(200ms);
                engine.kill();
                engine.advance(pause);
                engine.delayOrders(50ms);
                engine.startSidecar(row.index, row.wanted);
                engine.advance(1min);
                BOOST_TEST_CONTEXT(nameOf(fencing) << ", " << row.name << ", variant " << variant)
                {
                    BOOST_TEST(engine.late() == 1U);
                    BOOST_TEST(engine.hasModels(row.wanted));
                    for (const auto &order : engine.takeOrders())
                        BOOST_TEST((order.starts_with("unload ")
                                    || order == "load " + row.wanted.front()));
                    engine.applySettings(9, {"next"});
                    engine.advance(20s);
                    BOOST_TEST(engine.hasModels({"next"}));
                }
                late += engine.late();
                lateExecuted += engine.lateExecuted();
            }
        }
        BOOST_TEST_MESSAGE(nameOf(fencing)
                           << ": " << late << " late orders, " << lateExecuted << " taken");
        BOOST_TEST(lateExecuted > 0U);
        BOOST_TEST(((fencing == Fencing::Honored) == (lateExecuted < late)));
    }
}

// A fencing number of an earlier incarnation does not indicate a successor. One of a later
// incarnation does, whatever the settings index is.
BOOST_AUTO_TEST_CASE(only_a_later_incarnation_supersedes)
{
    struct Row
    {
        const char *name;
        Incarnation other; ///< Incarnation that gives the observed order.
        SettingsIndex index;
        bool continues;
    };
    const std::vector<Row> rows{
        {"earlier by a second, same settings", wallClock - 1000000, 5, true},
        {"earlier by 10 s, same settings", wallClock - 10000000, 5, true},
        {"earlier by a day, same settings", wallClock - 86400000000, 5, true},
        {"earlier, older settings", wallClock - 10000000, 4, true},
        {"earlier, newer settings", wallClock - 10000000, 6, true},
        {"later by a second, same settings", wallClock + 1000000, 5, false},
        {"later by 10 s, same settings", wallClock + 10000000, 5, false},
        {"later by a day, same settings", wallClock + 86400000000, 5, false},
        {"later, newer settings", wallClock + 10000000, 6, false},
    };
    for (const auto &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            FencingNumbers own(wallClock);
            FencingNumbers other(row.other);
            const auto before = *FencingNumbers(wallClock - 172800000000).next(3);
            BOOST_TEST(own.observe(before));
            BOOST_TEST(other.observe(before));
            const auto seen = *other.next(row.index);
            BOOST_TEST(own.observe(seen) == row.continues);
            BOOST_TEST(own.next(5).has_value() == (row.continues && row.index <= 5));
            const auto next = own.next(7);
            BOOST_TEST(next.has_value() == row.continues);
            BOOST_TEST((!next || *next > seen));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
