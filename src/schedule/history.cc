#include "applehatch/schedule/history.h"

#include <map>

namespace applehatch::schedule {

namespace {

constexpr int shortestAnswer = 2;
constexpr int answerLengths = 6;
constexpr int mostEnginesLost = 2;

using RunsByBody = std::map<std::string, int>;

auto checkAnswer(const CallRecord &call, const AnswerRecord &answer,
                 std::vector<std::string> &broken) -> void
{
    if (answer.whole && answer.received != call.expected)
        broken.push_back("answer said to be whole is not: " + call.body);
    if (!call.expected.starts_with(answer.received))
        broken.push_back("bytes of another answer: " + call.body);
    if (answer.finals > 1)
        broken.push_back("more than one final answer: " + call.body);
    if (answer.finals == 0 && !answer.routerDied)
        broken.push_back("no final answer: " + call.body);
}

// Only a request sent once: of two sends, one may rightly be refused while the other runs.
auto checkNotRun(const CallRecord &call, const AnswerRecord &answer, const RunsByBody &runs,
                 std::vector<std::string> &broken) -> void
{
    const auto saidNotRun = answer.failure && answer.failure->run == core::Run::NotRun;
    if (saidNotRun && call.sends == 1 && runs.contains(call.body))
        broken.push_back("told not-run, but it ran: " + call.body);
}

auto checkOnce(const CallRecord &call, const RunsByBody &runs, std::vector<std::string> &broken)
    -> void
{
    const auto run = runs.find(call.body);
    if (!call.key.empty() && run != runs.end() && run->second > 1)
        broken.push_back("ran " + std::to_string(run->second) + " times: " + call.key);
}

} // namespace

auto violations(const History &history) -> std::vector<std::string>
{
    RunsByBody runs;
    std::vector<std::string> broken;
    for (const auto &run : history.runs) {
        ++runs[run.body];
        if (run.afterLeaving)
            broken.push_back("new work at a leaving upstream: " + run.body);
    }
    for (const auto &answer : history.answers) {
        const auto &call = history.calls[answer.call];
        checkAnswer(call, answer, broken);
        checkNotRun(call, answer, runs, broken);
    }
    for (const auto &call : history.calls)
        checkOnce(call, runs, broken);
    for (const auto &[body, crashes] : history.crashesByBody) {
        if (crashes > mostEnginesLost)
            broken.push_back(std::to_string(crashes) + " engines lost to " + body);
    }
    return broken;
}

auto expectedAnswer(const std::string &body) -> std::vector<std::string>
{
    const auto hash = core::stableHash(body);
    const auto length = shortestAnswer + static_cast<int>(hash % answerLengths);
    std::vector<std::string> events;
    events.reserve(static_cast<std::size_t>(length) + 1);
    for (auto i = 0; i < length; ++i)
        events.push_back("data: " + std::to_string(hash) + '-' + std::to_string(i) + "\n\n");
    events.emplace_back("data: [DONE]\n\n");
    return events;
}

} // namespace applehatch::schedule
