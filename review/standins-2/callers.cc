#include "callers.h"

#include <algorithm>
#include <cstdio>

namespace review {

using std::chrono::seconds;

namespace {

constexpr int callers = 8;
constexpr int minJudged = 8;
constexpr Milliseconds pause{100};

} // namespace

Callers::Callers(const Gateway &gateway, Record &record)
    : gateway_(gateway)
    , record_(record)
{
    threads_.emplace_back([this] { watchReady(); });
    for (int i = 0; i < callers; ++i)
        threads_.emplace_back([this, i] { callOn(i); });
}

Callers::~Callers()
{
    stop();
}

auto Callers::stop() -> void
{
    isOver_ = true;
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
}

auto Callers::callOn(int number) -> void
{
    Client client(gateway_.front(), record_);
    for (int i = 0; !isOver_; ++i) {
        const auto isSafe = i % 2 == 0;
        Call call;
        call.id = "call-" + std::to_string(number) + '-' + std::to_string(i);
        call.method = isSafe ? "GET" : "POST";
        call.path = isSafe ? "/fetch/a" : "/save/a";
        call.body = isSafe ? "" : "layout " + call.id;
        if (!client.connect(seconds(1)))
            continue;
        const auto sentAt = Clock::now();
        ++totals_.sent;
        const auto answer = client.call(call, callTimeout + lateAnswer);
        const auto took = Clock::now() - sentAt;
        totals_.answered += answer.status != 0;
        totals_.unanswered += took >= callTimeout;
        totals_.late += answer.status == 0 && took >= callTimeout + lateAnswer;
        std::this_thread::sleep_for(pause);
    }
}

auto Callers::watchReady() -> void
{
    int misses = 0;
    while (!isOver_) {
        const auto next = Clock::now() + seconds(1);
        if (gateway_.isReady(Milliseconds(900))) {
            misses = 0;
        } else {
            ++totals_.misses;
            totals_.missesInARow = std::max<int>(totals_.missesInARow, ++misses);
            record_.note("no answer at the ready address");
        }
        std::this_thread::sleep_until(next);
    }
}

auto Callers::isRuleBroken() const -> bool
{
    return totals_.unanswered >= minJudged && 2 * totals_.late > totals_.unanswered;
}

auto Callers::text() const -> std::string
{
    char line[300];
    std::snprintf(line, sizeof(line),
                  "%d calls sent, %d answered, %d unanswered at their timeout, %d of these half a "
                  "second later; ready address: %d misses, %d in a row",
                  totals_.sent.load(), totals_.answered.load(), totals_.unanswered.load(),
                  totals_.late.load(), totals_.misses.load(), totals_.missesInARow.load());
    return line;
}

} // namespace review
