/// Steady traffic through a fleet, and what the engines' own records say of the load it made.
#pragma once

#include "system/expect.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <thread>

namespace applehatch::system_test {

/// Milliseconds of the steady clock that the upstreams' records use.
[[nodiscard]] inline auto steadyMs() -> std::int64_t
{
    const auto now = experiment::Clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Longer than a router seeks a lost answer (14 s), so that each answer is seen to its end: whole,
/// or an error.
inline constexpr std::chrono::seconds answerLimit{30};

/// Callers that each send one request after the other until told to stop.
class Traffic
{
public:
    /// The request of one caller's turn, and the number of the router it goes through.
    using Request = std::function<CallerRequest(std::size_t caller, std::size_t turn)>;
    using Route = std::function<std::size_t(std::size_t caller, std::size_t turn)>;
    /// How a caller gets its answer, given the number of the router it goes to first.
    using Ask = std::function<CallerAnswer(std::size_t router, const CallerRequest &request)>;

    Traffic(Fleet &fleet, Request request, Route route, Ask ask = {})
        : fleet_(fleet)
        , request_(std::move(request))
        , route_(std::move(route))
        , ask_(std::move(ask))
    {
        if (!ask_) {
            ask_ = [this](std::size_t router, const CallerRequest &asked) {
                return experiment::call(fleet_.router(router).callers, asked, answerLimit);
            };
        }
    }
    ~Traffic() { finish(); }
    Traffic(const Traffic &) = delete;
    auto operator=(const Traffic &) -> Traffic & = delete;

    /// More callers, numbered on from those before.
    auto add(std::size_t callers) -> void
    {
        for (std::size_t count = 0; count < callers; ++count) {
            threads_.emplace_back([this, caller = threads_.size()] { run(caller); });
        }
    }

    /// Waits for the answers under way.
    auto finish() -> void
    {
        done_ = true;
        threads_.clear();
    }

    [[nodiscard]] auto history() const -> const History & { return history_; }

private:
    auto run(std::size_t caller) -> void
    {
        constexpr auto backoff = std::chrono::milliseconds(50);
        for (std::size_t turn = 0; !done_; ++turn) {
            const auto request = request_(caller, turn);
            const auto answer = ask_(route_(caller, turn), request);
            history_.add(request, answer);
            if (answer.status != 200) {
                std::this_thread::sleep_for(backoff);
            }
        }
    }

    Fleet &fleet_;
    Request request_;
    Route route_;
    Ask ask_;
    History history_;
    std::atomic<bool> done_{false};
    std::list<std::jthread> threads_;
};

/// Tells every broken promise, and what callers were told.
inline auto expectNoViolation(const Fleet &fleet, const History &history) -> void
{
    for (const auto &violation : history.violations(fleet)) {
        BOOST_ERROR(violation);
    }
    for (const auto &[problem, count] : history.problems()) {
        BOOST_TEST_MESSAGE(count << " times " << problem);
    }
}

/// Ends the traffic: no promise was broken, and more than half of the answers are whole.
inline auto expectPromisesKept(const Fleet &fleet, Traffic &traffic) -> void
{
    traffic.finish();
    const auto &history = traffic.history();
    expectNoViolation(fleet, history);
    BOOST_TEST_MESSAGE(history.whole() << " of " << history.size() << " whole");
    BOOST_TEST(history.whole() > history.size() / 2);
}

/// Streams through the first router, each with its first events read.
class OpenStreams
{
public:
    OpenStreams(Fleet &fleet, std::size_t streams, std::size_t tokens)
        : fleet_(fleet)
    {
        for (std::size_t number = 0; number < streams; ++number) {
            requests_.push_back(fleet.chat("open " + std::to_string(number), tokens));
            connections_.push_back(std::make_unique<experiment::CallerConnection>(
                fleet.router(0).callers, requests_.back()));
        }
        for (auto &connection : connections_) {
            connection->read([](const CallerAnswer &answer) { return answer.events().size() > 1; });
        }
    }

    /// Runs that no engine has ended yet.
    [[nodiscard]] auto underWay() const -> std::ptrdiff_t
    {
        std::ptrdiff_t count = 0;
        for (const auto &run : fleet_.runs()) {
            count += run.operation == "start" ? 1 : -1;
        }
        return count;
    }

    /// Reads each to its end.
    auto expectWhole() -> void
    {
        constexpr std::chrono::milliseconds limit{15000};
        std::size_t cut = 0;
        std::string first;
        for (std::size_t number = 0; number < requests_.size(); ++number) {
            const auto &answer = connections_[number]->read({}, limit);
            if (!isWholeAndOwn(requests_[number], answer)) {
                first = cut++ == 0 ? answer.problem().dump() : first;
            }
        }
        BOOST_TEST_CONTEXT(first << fleet_.outputs())
        {
            BOOST_TEST(cut == 0U);
        }
    }

private:
    Fleet &fleet_;
    std::vector<CallerRequest> requests_;
    std::vector<std::unique_ptr<experiment::CallerConnection>> connections_;
};

inline auto expectServedBy(Fleet &fleet, std::size_t router) -> void
{
    const auto next = fleet.chat("after the stop", 5);
    const auto answer = experiment::call(fleet.router(router).callers, next);
    BOOST_TEST_CONTEXT(answer.problem().dump())
    {
        BOOST_TEST(isWholeAndOwn(next, answer));
    }
}

} // namespace applehatch::system_test
