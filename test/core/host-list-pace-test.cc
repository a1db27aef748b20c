#include "applehatch/core/host-list-pace.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <queue>
#include <tuple>
#include <vector>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;

constexpr Duration oneWay = 3ms;
constexpr Duration timeout = 1s; ///< A lost call is given up after it.

/// Processes that read one host list in virtual time.
class Fleet
{
public:
    Fleet(std::size_t processes, double loss, std::uint64_t seed)
        : loss_(loss)
        , random_(seed)
    {
        for (std::size_t process = 0; process < processes; ++process) {
            paces_.emplace_back(random_());
            known_.push_back(0);
            knownAt_.emplace_back();
            const auto started = Duration(random_() % Duration(1s).count());
            call(process, Instant() + started + paces_.back().wait());
        }
    }

    auto publish() -> void
    {
        ++version_;
        publishedAt_ = now_;
    }

    auto setDown(bool down) -> void { down_ = down; }

    auto runFor(Duration time) -> void
    {
        const auto until = now_ + time;
        while (!calls_.empty() && calls_.top().at <= until) {
            const auto one = calls_.top();
            calls_.pop();
            now_ = one.at;
            serve(one.process);
        }
        now_ = until;
    }

    /// From the change to the moment each process knows it, in order; empty until all do.
    [[nodiscard]] auto delays() const -> std::vector<Duration>
    {
        std::vector<Duration> delays;
        for (std::size_t process = 0; process < known_.size(); ++process) {
            if (known_[process] != version_)
                return {};
            delays.push_back(knownAt_[process] - publishedAt_);
        }
        std::sort(delays.begin(), delays.end());
        return delays;
    }

    [[nodiscard]] auto calls() const -> std::size_t { return callTimes_.size(); }

    [[nodiscard]] auto worstSecond() const -> std::size_t
    {
        std::size_t worst = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < callTimes_.size(); ++last) {
            while (callTimes_[last] - callTimes_[first] >= 1s)
                ++first;
            worst = std::max(worst, last - first + 1);
        }
        return worst;
    }

private:
    struct Call
    {
        Instant at;
        std::size_t process = 0;

        auto operator<(const Call &other) const -> bool
        {
            return std::tie(other.at, other.process) < std::tie(at, process);
        }
    };

    auto call(std::size_t process, Instant sentAt) -> void
    {
        calls_.push({sentAt + oneWay, process});
    }

    auto serve(std::size_t process) -> void
    {
        callTimes_.push_back(now_);
        auto &pace = paces_[process];
        const auto isLost = std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
        if (down_ || isLost) {
            pace.failed();
            call(process, now_ + (isLost ? timeout : oneWay) + pace.wait());
            return;
        }
        pace.succeeded();
        const auto answeredAt = now_ + oneWay;
        if (known_[process] != version_) {
            known_[process] = version_;
            knownAt_[process] = answeredAt;
        }
        call(process, answeredAt + pace.wait());
    }

    double loss_;
    Random random_;
    Instant now_;
    std::priority_queue<Call> calls_;
    std::vector<HostListPace> paces_;
    std::vector<std::uint64_t> known_;
    std::vector<Instant> knownAt_;
    std::vector<Instant> callTimes_;
    std::uint64_t version_ = 1;
    Instant publishedAt_;
    bool down_ = false;
};

auto inSeconds(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(host_list_pace)

// A host is about to go and the platform calls it leaving. A process that reads that late sends it
// new work, which is cut off when the host goes. Reading more often would take the calls that the
// platform has for everything else.
BOOST_AUTO_TEST_CASE(a_leaving_host_is_known_everywhere_within_seconds_at_few_calls)
{
    constexpr auto changes = 20;
    constexpr Duration betweenChanges = 43s;
    struct Row
    {
        std::size_t processes;
        double loss;
        Duration knownWithin;
        std::size_t callsPerSecond;
    };
    // A lost answer costs its timeout and a short wait; of several in a row each but the first
    // costs a whole wait.
    for (const auto &row : {Row{200, 0.0, 4s, 100}, Row{1120, 0.0, 4s, 560},
                            Row{200, 0.01, 12s, 100}, Row{1120, 0.01, 12s, 560}}) {
        BOOST_TEST_CONTEXT(row.processes << " processes, loss " << row.loss)
        {
            Fleet fleet(row.processes, row.loss, 7);
            fleet.runFor(30s);
            BOOST_REQUIRE(!fleet.delays().empty());
            const auto callsBefore = fleet.calls();
            std::vector<Duration> all;
            for (auto change = 0; change < changes; ++change) {
                fleet.publish();
                fleet.runFor(betweenChanges);
                const auto delays = fleet.delays();
                BOOST_REQUIRE(!delays.empty());
                all.insert(all.end(), delays.begin(), delays.end());
            }
            std::sort(all.begin(), all.end());
            const auto callsPerSecond = static_cast<double>(fleet.calls() - callsBefore)
                / inSeconds(changes * betweenChanges);
            BOOST_TEST_MESSAGE("host list at "
                               << row.processes << " processes, " << row.loss << " of reads lost: "
                               << "known after " << inSeconds(all[all.size() / 2]) << " s by half, "
                               << inSeconds(all[all.size() * 99 / 100]) << " s by 99 in 100, "
                               << inSeconds(all.back()) << " s by all; " << callsPerSecond
                               << " calls a second, " << fleet.worstSecond() << " in the worst");
            BOOST_TEST(all.back() < row.knownWithin);
            BOOST_TEST(callsPerSecond < static_cast<double>(row.callsPerSecond));
        }
    }
}

// The host list is out of reach for a minute, for every process at once, and returns. Were all of
// them to read it in the same second, it would fall again under their calls; did they wait long, a
// host that left meanwhile would go on getting work.
BOOST_AUTO_TEST_CASE(an_outage_makes_no_rush_and_is_made_up_for_at_once)
{
    Fleet fleet(1120, 0.0, 11);
    fleet.runFor(30s);
    fleet.setDown(true);
    fleet.runFor(5s);
    fleet.publish();
    fleet.runFor(55s);
    BOOST_TEST(fleet.delays().empty());
    fleet.setDown(false);
    fleet.runFor(HostListPace::longestWait + 2 * oneWay);
    BOOST_REQUIRE(!fleet.delays().empty());
    BOOST_TEST_MESSAGE("host list back after 60 s: known after "
                       << inSeconds(fleet.delays().back() - 55s) << " s by all, "
                       << fleet.worstSecond() << " calls in the worst second");
    BOOST_TEST(fleet.worstSecond() < 1120U);
}

// After a power cut every process starts in the same second and also wants its settings, which
// takes 863 calls in the worst second. With as many reads of the host list as there are processes
// the platform would have no room left, and routers would become ready late.
BOOST_AUTO_TEST_CASE(processes_that_start_together_do_not_read_together)
{
    Fleet fleet(1120, 0.0, 13);
    fleet.runFor(60s);
    BOOST_TEST_MESSAGE("1120 processes started within 1 s: " << fleet.worstSecond()
                                                             << " reads of the host list in the "
                                                                "worst second");
    BOOST_TEST(fleet.worstSecond() < 560U);
}

// The platform is set up anew, counts from 1 again and reaches the version that processes hold,
// with other hosts. Asked by version alone it answers "unchanged" until the next change, and work
// goes on to hosts that left long ago.
BOOST_AUTO_TEST_CASE(the_whole_list_is_asked_for_within_ten_minutes)
{
    HostListPace pace(5);
    auto sinceWhole = Duration(0);
    for (auto read = 0; read < 2000; ++read) {
        sinceWhole += pace.wait();
        if (pace.wantsWhole())
            sinceWhole = Duration(0);
        BOOST_REQUIRE((sinceWhole < 600s));
        pace.succeeded();
    }
}

BOOST_AUTO_TEST_SUITE_END()
