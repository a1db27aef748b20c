#include "applehatch/core/host-list-schedule.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <queue>
#include <tuple>
#include <vector>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;

constexpr Duration oneWayDelay = 3ms;
constexpr Duration callTimeout = 1s; ///< A process abandons a lost call after this time.

/// Simulates processes that poll one host list, in virtual time.
class Fleet
{
public:
    Fleet(std::size_t processes, double loss, std::uint64_t seed)
        : loss_(loss)
        , random_(seed)
    {
        for (std::size_t process = 0; process < processes; ++process) {
            schedules_.emplace_back(random_());
            known_.push_back(0);
            knownAt_.emplace_back();
            const auto started = Duration(random_() % Duration(1s).count());
            scheduleCall(process, Instant() + started + schedules_.back().nextWait());
        }
    }

    auto publish() -> void
    {
        ++version_;
        publishedAt_ = now_;
    }

    auto setUnavailable(bool isUnavailable) -> void { isUnavailable_ = isUnavailable; }

    auto runFor(Duration time) -> void
    {
        const auto until = now_ + time;
        while (!calls_.empty() && calls_.top().at <= until) {
            const auto call = calls_.top();
            calls_.pop();
            now_ = call.at;
            handleCall(call.process);
        }
        now_ = until;
    }

    /// Returns the sorted times from the last change until each process read it. Empty while some
    /// process has not read it.
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

    [[nodiscard]] auto maxCallsPerSecond() const -> std::size_t
    {
        std::size_t maxCalls = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < callTimes_.size(); ++last) {
            while (callTimes_[last] - callTimes_[first] >= 1s)
                ++first;
            maxCalls = std::max(maxCalls, last - first + 1);
        }
        return maxCalls;
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

    auto scheduleCall(std::size_t process, Instant sentAt) -> void
    {
        calls_.push({sentAt + oneWayDelay, process});
    }

    auto handleCall(std::size_t process) -> void
    {
        callTimes_.push_back(now_);
        auto &schedule = schedules_[process];
        const auto isLost = std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
        if (isUnavailable_ || isLost) {
            schedule.failed();
            scheduleCall(process,
                         now_ + (isLost ? callTimeout : oneWayDelay) + schedule.nextWait());
            return;
        }
        schedule.succeeded();
        const auto answeredAt = now_ + oneWayDelay;
        if (known_[process] != version_) {
            known_[process] = version_;
            knownAt_[process] = answeredAt;
        }
        scheduleCall(process, answeredAt + schedule.nextWait());
    }

    double loss_;
    Random random_;
    Instant now_;
    std::priority_queue<Call> calls_;
    std::vector<HostListSchedule> schedules_;
    std::vector<std::uint64_t> known_;
    std::vector<Instant> knownAt_;
    std::vector<Instant> callTimes_;
    std::uint64_t version_ = 1;
    Instant publishedAt_;
    bool isUnavailable_ = false;
};

auto toSeconds(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(host_list_pace)

// The platform marks a host that is about to stop as leaving. A process that reads this late sends
// the host new work, which is cut off when the host stops. More frequent reads would use up calls
// that the platform needs for everything else.
BOOST_AUTO_TEST_CASE(every_process_learns_of_a_leaving_host_within_seconds_at_few_calls)
{
    constexpr auto changes = 20;
    constexpr Duration changeInterval = 43s;
    struct Row
    {
        std::size_t processes;
        double loss;
        Duration maxDelay;
        std::size_t callsPerSecond;
    };
    // A single lost answer costs its timeout and a short wait. In a series of losses, each after
    // the first costs its timeout and a full wait.
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
                fleet.runFor(changeInterval);
                const auto delays = fleet.delays();
                BOOST_REQUIRE(!delays.empty());
                all.insert(all.end(), delays.begin(), delays.end());
            }
            std::sort(all.begin(), all.end());
            const auto callsPerSecond = static_cast<double>(fleet.calls() - callsBefore)
                / toSeconds(changes * changeInterval);
            BOOST_TEST_MESSAGE("host list at "
                               << row.processes << " processes, " << row.loss << " of reads lost: "
                               << "known after " << toSeconds(all[all.size() / 2]) << " s by half, "
                               << toSeconds(all[all.size() * 99 / 100]) << " s by 99 in 100, "
                               << toSeconds(all.back()) << " s by all; " << callsPerSecond
                               << " calls a second, " << fleet.maxCallsPerSecond()
                               << " in the worst");
            BOOST_TEST(all.back() < row.maxDelay);
            BOOST_TEST(callsPerSecond < static_cast<double>(row.callsPerSecond));
        }
    }
}

// The host list is unavailable to all processes for a minute and then recovers. If all of them read
// it in the same second, their calls would overload it again. If they waited long, a host that left
// in the meantime would keep getting work.
BOOST_AUTO_TEST_CASE(after_an_outage_processes_catch_up_at_once_without_a_burst)
{
    Fleet fleet(1120, 0.0, 11);
    fleet.runFor(30s);
    fleet.setUnavailable(true);
    fleet.runFor(5s);
    fleet.publish();
    fleet.runFor(55s);
    BOOST_TEST(fleet.delays().empty());
    fleet.setUnavailable(false);
    fleet.runFor(HostListSchedule::maxWait + 2 * oneWayDelay);
    BOOST_REQUIRE(!fleet.delays().empty());
    BOOST_TEST_MESSAGE("host list back after 60 s: known after "
                       << toSeconds(fleet.delays().back() - 55s) << " s by all, "
                       << fleet.maxCallsPerSecond() << " calls in the worst second");
    BOOST_TEST(fleet.maxCallsPerSecond() < 1120U);
}

// After a power cut all processes start in the same second and also fetch their settings, which
// takes up to 863 calls per second. If every process read the host list in that second too, the
// platform would have no capacity left and routers would become ready late.
BOOST_AUTO_TEST_CASE(processes_that_start_together_do_not_read_together)
{
    Fleet fleet(1120, 0.0, 13);
    fleet.runFor(60s);
    BOOST_TEST_MESSAGE("1120 processes started within 1 s: " << fleet.maxCallsPerSecond()
                                                             << " reads of the host list in the "
                                                                "worst second");
    BOOST_TEST(fleet.maxCallsPerSecond() < 560U);
}

// The platform is reinstalled, restarts its version count at 1 and reaches the version that the
// processes know, with different hosts. A conditional read by version alone would return
// "unchanged" until the next change, and work would go to hosts that left long ago.
BOOST_AUTO_TEST_CASE(a_full_read_follows_within_ten_minutes)
{
    HostListSchedule schedule(5);
    auto sinceFullRead = Duration(0);
    for (auto read = 0; read < 2000; ++read) {
        sinceFullRead += schedule.nextWait();
        if (schedule.needsFullRead())
            sinceFullRead = Duration(0);
        BOOST_REQUIRE((sinceFullRead < 600s));
        schedule.succeeded();
    }
}

BOOST_AUTO_TEST_SUITE_END()
