#include "applehatch/direct/admission.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr auto start = Instant(100s);

auto chat(int priority = 0, const std::string &customer = {}) -> AdmissionRequest
{
    return {"pool", customer, priority, 0, 300ms};
}

/// Outcomes of the requests of one priority.
struct Outcomes
{
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;
    std::uint32_t refused = 0;

    [[nodiscard]] auto share() const -> double { return static_cast<double>(inTime) / asked; }
};

/// Simulates, in virtual time and without network or processes, engines that run `slots` requests
/// with a mean service time of 2.5 s and queue the rest. Requests arrive evenly.
class Pool
{
public:
    static constexpr std::size_t engines = 12;
    static constexpr std::uint32_t slots = 64;
    static constexpr Duration meanServiceTime = 2500ms;

    explicit Pool(bool refusesWhenBusy)
        : refusesWhenBusy_(refusesWhenBusy)
    { }

    /// Sends `perSecond` requests of each priority for eight seconds.
    auto simulate(const std::map<int, double> &perSecond) -> std::map<int, Outcomes>
    {
        std::map<int, Outcomes> outcomes;
        for (auto now = start; now < start + 8s; now += 1ms) {
            release(now);
            for (const auto &[priority, rate] : perSecond) {
                due_[priority] += rate / 1000;
                for (; due_[priority] >= 1; due_[priority] -= 1)
                    ask(chat(priority), now, outcomes[priority]);
            }
        }
        return outcomes;
    }

private:
    struct Done
    {
        Instant at;
        int priority = 0;
        std::size_t engine = 0;
        Duration serviceTime{0};

        auto operator>(const Done &other) const -> bool { return at > other.at; }
    };

    auto release(Instant now) -> void
    {
        while (!done_.empty() && done_.top().at <= now) {
            const auto done = done_.top();
            done_.pop();
            --load_[done.engine];
            admission_.noteDone(chat(done.priority), done.serviceTime, now);
        }
    }

    auto ask(const AdmissionRequest &request, Instant now, Outcomes &outcomes) -> void
    {
        ++outcomes.asked;
        const auto least = std::min_element(load_.begin(), load_.end());
        const auto decision = admission_.decide(request, {*least, slots});
        if (refusesWhenBusy_ && !decision.admitted) {
            ++outcomes.refused;
            return;
        }
        const auto engine = static_cast<std::size_t>(least - load_.begin());
        auto &slotsFreeAt = slotsFreeAt_[engine];
        // The slot that becomes free first.
        const auto slotFreeAt = std::min_element(slotsFreeAt.begin(), slotsFreeAt.end());
        const auto begins = std::max(*slotFreeAt, now);
        const auto serviceTime = drawServiceTime();
        *slotFreeAt = begins + serviceTime;
        ++load_[engine];
        admission_.noteSent(request);
        done_.push({*slotFreeAt, request.priority, engine, serviceTime});
        if (begins - now <= request.objective)
            ++outcomes.inTime;
    }

    auto drawServiceTime() -> Duration
    {
        std::exponential_distribution<double> drawn(1);
        return std::chrono::duration_cast<Duration>(meanServiceTime * drawn(random_));
    }

    bool refusesWhenBusy_;
    Admission admission_;
    std::mt19937 random_{20261203};
    std::vector<std::uint32_t> load_ = std::vector<std::uint32_t>(engines);
    std::vector<std::vector<Instant>> slotsFreeAt_ =
        std::vector<std::vector<Instant>>(engines, std::vector<Instant>(slots));
    std::priority_queue<Done, std::vector<Done>, std::greater<>> done_;
    std::map<int, double> due_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// The load is twice what the engines can run: 614 chats a second instead of 307. Queued, all wait
// longer and longer, and after a second and a half no first token is in time. With early refusals
// half of the chats are served in time for as long as the overload lasts, and the others are
// refused at once.
BOOST_AUTO_TEST_CASE(under_twice_the_load_half_are_served_in_time)
{
    const auto before = Pool(false).simulate({{0, 614}}).at(0);
    const auto after = Pool(true).simulate({{0, 614}}).at(0);
    BOOST_TEST_MESSAGE("in time without refusals " << before.share() << ", with " << after.share());
    BOOST_TEST(after.share() > 0.5);
    BOOST_TEST(after.share() > 1.2 * before.share());
    const auto late = after.asked - after.refused - after.inTime;
    BOOST_TEST(late < after.asked / 20, "hardly any request is admitted and then late");
}

// Guards against refusing callers of a plain service, for which requests come in clumps, although
// they would be answered in time: its slots are few and soon free again.
BOOST_AUTO_TEST_CASE(a_clump_that_is_served_in_time_is_admitted)
{
    constexpr std::uint32_t slots = 6;
    constexpr std::size_t clump = 22;
    constexpr auto clumpInterval = 250ms; // 88 a second, where the slots bear 100.
    const AdmissionRequest request{"plain", {}, 0, 0, 300ms};
    Admission admission;
    std::vector<Instant> slotsFreeAt(slots, start);
    std::multimap<Instant, Duration> running; // Service times by end.
    for (auto now = start; now < start + 10s; now += clumpInterval) {
        for (; !running.empty() && running.begin()->first <= now; running.erase(running.begin()))
            admission.noteDone(request, running.begin()->second, now);
        for (std::size_t i = 0; i < clump; ++i) {
            const auto load = static_cast<std::uint32_t>(running.size());
            BOOST_TEST(admission.decide(request, {load, slots}).admitted);
            const auto serviceTime = Duration(50ms + (i % 3) * 10ms);
            auto &slot = *std::min_element(slotsFreeAt.begin(), slotsFreeAt.end());
            slot = std::max(slot, now) + serviceTime;
            BOOST_TEST((slot - now <= request.objective));
            admission.noteSent(request);
            running.emplace(slot, serviceTime);
        }
    }
}

// Guards against admitting what would surely be late.
BOOST_AUTO_TEST_CASE(a_request_that_would_be_late_is_refused)
{
    const AdmissionRequest request{"plain", {}, 0, 0, 300ms};
    Admission admission;
    admission.noteSent(request);
    admission.noteDone(request, 60ms, start);
    BOOST_TEST(admission.decide(request, {29, 6}).admitted); // Waits 240 ms and runs for 60 ms.
    BOOST_TEST(!admission.decide(request, {30, 6}).admitted);
}

// No request is refused as long as there are free slots.
BOOST_AUTO_TEST_CASE(a_load_within_capacity_is_fully_admitted)
{
    const auto outcomes = Pool(true).simulate({{0, 120}, {1, 80}, {2, 40}});
    for (const auto &[priority, outcome] : outcomes)
        BOOST_TEST(outcome.refused == 0U);
}

// Urgent and less urgent chats arrive in one burst. The urgent ones alone would fit and must not be
// refused in favour of the others, which get the remaining slots.
BOOST_AUTO_TEST_CASE(the_urgent_are_served_first)
{
    const auto outcomes = Pool(true).simulate({{0, 250}, {1, 400}});
    BOOST_TEST(outcomes.at(0).share() > 0.95);
    BOOST_TEST(outcomes.at(1).inTime > 0U);
    BOOST_TEST(outcomes.at(1).share() < outcomes.at(0).share());
}

// A route has a longer objective than another of the same priority. It must not take every slot
// before the other is admitted.
BOOST_AUTO_TEST_CASE(a_longer_objective_gives_no_precedence)
{
    Admission admission;
    const AdmissionRequest drafts{"pool", "", 1, 0, 800ms};
    const AdmissionRequest chats{"pool", "", 1, 0, 300ms};
    admission.decide(chats, {0, 64});
    for (std::uint32_t load = 50; load < 100; ++load)
        BOOST_TEST(admission.decide(drafts, {load, 64}).admitted
                   == admission.decide(chats, {load, 64}).admitted);
}

// A router has just started, and its first requests all go to a service with few slots. Their
// service time is not known yet; refusals based on a guess would turn callers away needlessly.
BOOST_AUTO_TEST_CASE(nothing_is_refused_before_anything_was_served)
{
    Admission admission;
    BOOST_TEST(admission.decide(chat(2), {20, 6}).admitted);
    admission.noteSent(chat(2));
    admission.noteDone(chat(2), 2500ms, start);
    BOOST_TEST(!admission.decide(chat(2), {20, 6}).admitted);
}

// One customer sends eight times its usual load and fills the engines. The others must still be
// admitted.
BOOST_AUTO_TEST_CASE(a_customer_beyond_its_share_gives_way)
{
    Admission admission;
    admission.noteSent(chat(0, "a"));
    admission.noteDone(chat(0, "a"), Pool::meanServiceTime, start);
    for (int i = 0; i < 40; ++i)
        admission.noteSent(chat(0, "surging"));
    for (const auto *other : {"a", "b", "c"})
        admission.noteSent(chat(0, other));
    BOOST_TEST(!admission.decide(chat(0, "surging"), {63, 64}).admitted);
    BOOST_TEST(admission.decide(chat(0, "a"), {63, 64}).admitted);
    BOOST_TEST(admission.decide(chat(0, "surging"), {40, 64}).admitted,
               "admitted while there are free slots");
}

// Many callers were refused recently and will retry. If all retried at the same moment, they would
// all be refused again; with delays that grow with their number, most are admitted.
BOOST_AUTO_TEST_CASE(returns_are_spread_over_what_the_refused_need)
{
    Admission admission;
    const auto first = admission.retryAfter(chat(), 1.0, start);
    BOOST_TEST((first < 1s));
    for (int i = 0; i < 100; ++i)
        admission.noteDone(chat(), Pool::meanServiceTime, start);
    Duration last{0};
    for (int i = 0; i < 150; ++i)
        last = admission.retryAfter(chat(), 1.0, start);
    BOOST_TEST((last > 2s));
    BOOST_TEST((admission.retryAfter(chat(), 0.0, start) < 200ms), "some may retry soon");
    BOOST_TEST((admission.retryAfter(chat(), 1.0, start + 10s) < 1s),
               "delays shrink once the burst is over");
}

BOOST_AUTO_TEST_SUITE_END()
