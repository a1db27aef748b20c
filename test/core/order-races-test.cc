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
constexpr Duration reportPeriod = 1s;
constexpr Duration reportLate = 500ms;
constexpr Duration answerLimit = 5s;

/// A life begins at this wall-clock time at the earliest; incarnations are such times.
constexpr Incarnation wallClock = 1764723817000000;

/// One engine, the sidecar beside it, and the orders on their way between them.
class Slot
{
public:
    explicit Slot(Fencing fencing, Models held, Incarnation clock = wallClock)
        : pool_(poolOf(1, 4))
        , clock_(clock)
        , held_(held.begin(), held.end())
    {
        pool_.kind = applehatch::settings::PoolKind::Model;
        pool_.fencing = fencing;
    }

    /// A sidecar begins under these settings; the one before is killed if it still runs.
    auto begin(SettingsIndex index, const Models &wanted) -> void
    {
        const auto wall = clock_ + static_cast<Incarnation>((now_ - started).count());
        ++life_;
        readInLife_ = 0;
        node_ = std::make_unique<SidecarNode>(SidecarIdentity{"tai", "jobs", "m0", "dc", wall, 1},
                                              SidecarLimits{});
        put(index, wanted);
    }

    auto put(SettingsIndex index, const Models &wanted) -> void
    {
        crossed_ = crossed_ || !underWay_.empty();
        pool_.models = wanted;
        give(SettingsInForce{settingsOf(pool_, index)});
    }

    auto askToStop() -> void { give(DrainRequested{}); }
    auto kill() -> void { node_.reset(); }

    /// Orders given from now on arrive this much later.
    auto delayOrders(Duration delay) -> void { delay_ = delay; }

    auto pass(Duration time) -> void
    {
        for (const auto until = now_ + time; now_ < until;) {
            now_ += step;
            deliver();
            report();
            give(Tick{});
        }
    }

    /// Passes time until `done`; false when that takes more than a minute.
    auto passUntil(const std::function<bool()> &done) -> bool
    {
        for (const auto until = now_ + 1min; now_ < until && !done();)
            pass(step);
        return done();
    }

    [[nodiscard]] auto holds(const Models &models) const -> bool
    {
        return held_ == std::set<std::string>(models.begin(), models.end());
    }

    /// What was ordered since the last call, as "load a".
    auto ordered() -> std::vector<std::string> { return std::exchange(ordered_, {}); }

    [[nodiscard]] auto underWay() const -> std::size_t { return underWay_.size(); }
    [[nodiscard]] auto readInLife() const -> std::size_t { return readInLife_; }
    [[nodiscard]] auto crossed() const -> bool { return crossed_; }

    /// Orders of an ended life that arrived after its successor had read the engine's state, and
    /// how many of them the engine took.
    [[nodiscard]] auto late() const -> std::size_t { return late_; }
    [[nodiscard]] auto lateTaken() const -> std::size_t { return lateTaken_; }

private:
    struct UnderWay
    {
        GiveOrder order;
        Instant arrives;
        Instant givenUp;
        int life = 0;
    };

    struct State
    {
        Instant arrives;
        UpstreamReport report;
        int life = 0;
    };

    auto give(SidecarEvent event) -> void
    {
        if (!node_)
            return;
        for (const auto &action : node_->handle(std::move(event), now_)) {
            if (const auto *order = std::get_if<GiveOrder>(&action)) {
                underWay_.push_back({*order, now_ + delay_, now_ + answerLimit, life_});
                const auto isLoad = order->kind == OrderKind::LoadModel;
                ordered_.push_back((isLoad ? "load " : "unload ") + order->model);
            }
        }
    }

    auto answer(const UnderWay &way, bool done) -> void
    {
        if (way.life == life_)
            give(OrderAnswered{way.order.fence, done, ""});
    }

    auto deliver() -> void
    {
        for (auto way = underWay_.begin(); way != underWay_.end();) {
            if (way->givenUp <= now_) {
                answer(*way, false);
                way->givenUp = Instant::max();
            }
            if (way->arrives > now_) {
                ++way;
                continue;
            }
            const auto arrived = *way;
            way = underWay_.erase(way);
            const auto isTaken = take(arrived.order);
            if (arrived.life != life_ && readInLife_ > 0) {
                ++late_;
                lateTaken_ += isTaken ? 1 : 0;
            }
            if (arrived.givenUp != Instant::max())
                answer(arrived, isTaken);
        }
    }

    auto take(const GiveOrder &order) -> bool
    {
        if (pool_.fencing == Fencing::Honored && order.fence < fence_)
            return false;
        fence_ = std::max(fence_, order.fence);
        if (order.kind == OrderKind::LoadModel)
            held_.insert(order.model);
        else
            held_.erase(order.model);
        return true;
    }

    auto report() -> void
    {
        if ((now_ - started) % reportPeriod == 0s) {
            const auto fence = pool_.fencing == Fencing::Honored ? fence_ : 0;
            states_.push_back({now_ + reportLate,
                               {true, "epoch-1", 0, 0, Models(held_.begin(), held_.end()), fence},
                               life_});
        }
        while (!states_.empty() && states_.front().arrives <= now_) {
            const auto state = states_.front();
            states_.pop_front();
            if (state.life == life_ && node_) {
                ++readInLife_;
                give(state.report);
            }
        }
    }

    static constexpr Instant started{1000s};

    Pool pool_;
    Incarnation clock_;
    Instant now_ = started;
    std::unique_ptr<SidecarNode> node_;
    int life_ = 0;
    std::set<std::string> held_;
    std::uint64_t fence_ = 0;
    Duration delay_ = 50ms;
    std::list<UnderWay> underWay_;
    std::list<State> states_;
    std::vector<std::string> ordered_;
    std::size_t readInLife_ = 0;
    std::size_t late_ = 0;
    std::size_t lateTaken_ = 0;
    bool crossed_ = false;
};

auto nameOf(Fencing fencing) -> std::string
{
    return fencing == Fencing::Honored ? "honors" : "ignores";
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_races)

// One operator asks for the first version of a model, another for the second, which is taken back a
// moment later. Orders for each are still on their way then, and some arrive after their sidecar
// has given up waiting. An engine left with the second version would serve nobody.
BOOST_AUTO_TEST_CASE(crossing_orders_end_with_what_the_highest_index_says)
{
    for (const auto fencing : {Fencing::Honored, Fencing::Ignored}) {
        std::size_t crossed = 0;
        for (const auto delay : {50ms, 2000ms, 7000ms}) {
            for (auto second = 100ms; second < 9000ms; second += 400ms) {
                for (const auto back : {0ms, 300ms, 1500ms, 4000ms}) {
                    Slot slot(fencing, {"old"});
                    slot.begin(1, {"old"});
                    slot.pass(3s);
                    slot.delayOrders(delay);
                    slot.put(2, {"v1"});
                    slot.pass(second);
                    slot.put(3, {"v2"});
                    slot.pass(back);
                    slot.put(4, {"v1"});
                    slot.ordered();
                    slot.delayOrders(50ms);
                    slot.pass(1min);
                    crossed += slot.crossed() ? 1 : 0;
                    BOOST_TEST_CONTEXT(nameOf(fencing)
                                       << ", delay " << delay.count() << ", second "
                                       << second.count() << ", back " << back.count() << " ms")
                    {
                        BOOST_TEST(slot.holds({"v1"}));
                        BOOST_TEST(slot.underWay() == 0U);
                        for (const auto &order : slot.ordered())
                            BOOST_TEST((order == "load v1" || order.starts_with("unload ")));
                        slot.pass(1min);
                        BOOST_TEST(slot.ordered().empty());
                    }
                }
            }
        }
        BOOST_TEST_MESSAGE(nameOf(fencing)
                           << ": " << crossed << " crossings with an order on its way");
        BOOST_TEST(crossed > 50U);
    }
}

// A sidecar gives an order and stops, or is killed, before the order arrives; its successor has
// read the engine's state by then, and may be under newer settings. The late order must neither
// stand nor keep the successor from bringing the engine to what the settings say, now and at the
// next change.
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
        {"taken back", 3, {"old"}},
        {"newer version", 3, {"v2"}},
    };
    Random random(7);
    for (const auto fencing : {Fencing::Honored, Fencing::Ignored}) {
        std::size_t late = 0;
        std::size_t lateTaken = 0;
        for (const auto &row : rows) {
            for (auto variant = 0U; variant < 240; ++variant) {
                const auto isPlanned = variant % 2 == 0;
                const auto orders = 1 + variant / 2 % 2;
                const auto pause = Duration(100ms) * (1 + variant / 4 % 20);
                Slot slot(fencing, {"old"}, wallClock + random() % 100000000);
                slot.begin(1, {"old"});
                slot.pass(Duration(step) * (30 + random() % 100));
                slot.ordered();
                slot.put(2, {"v1"});
                std::vector<std::string> given;
                slot.delayOrders(orders == 1 ? 6s : 50ms);
                const auto isGiven = [&] {
                    for (const auto &order : slot.ordered()) {
                        given.push_back(order);
                        slot.delayOrders(6s);
                    }
                    return given.size() == orders && slot.underWay() == 1;
                };
                BOOST_REQUIRE(slot.passUntil(isGiven));
                if (isPlanned)
                    slot.askToStop();
                slot.pass(200ms);
                slot.kill();
                slot.pass(pause);
                slot.delayOrders(50ms);
                slot.begin(row.index, row.wanted);
                slot.pass(1min);
                BOOST_TEST_CONTEXT(nameOf(fencing) << ", " << row.name << ", variant " << variant)
                {
                    BOOST_TEST(slot.late() == 1U);
                    BOOST_TEST(slot.holds(row.wanted));
                    for (const auto &order : slot.ordered())
                        BOOST_TEST((order.starts_with("unload ")
                                    || order == "load " + row.wanted.front()));
                    slot.put(9, {"next"});
                    slot.pass(20s);
                    BOOST_TEST(slot.holds({"next"}));
                }
                late += slot.late();
                lateTaken += slot.lateTaken();
            }
        }
        BOOST_TEST_MESSAGE(nameOf(fencing)
                           << ": " << late << " late orders, " << lateTaken << " taken");
        BOOST_TEST(lateTaken > 0U);
        BOOST_TEST(((fencing == Fencing::Honored) == (lateTaken < late)));
    }
}

// A number of an earlier life is no sign of a successor; one of a later life is, whatever the
// settings say by then.
BOOST_AUTO_TEST_CASE(only_a_later_life_supersedes)
{
    struct Row
    {
        const char *name;
        Incarnation other; ///< The life that gives the order seen.
        SettingsIndex index;
        bool goesOn;
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
            BOOST_TEST(own.observe(seen) == row.goesOn);
            BOOST_TEST(own.next(5).has_value() == (row.goesOn && row.index <= 5));
            const auto next = own.next(7);
            BOOST_TEST(next.has_value() == row.goesOn);
            BOOST_TEST((!next || *next > seen));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
