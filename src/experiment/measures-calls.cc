#include "measures-calls.h"

#include <algorithm>
#include <map>
#include <random>
#include <thread>

namespace applehatch::experiment {

namespace {

constexpr int ok = 200;
constexpr int mostSends = 6;
constexpr milliseconds answerLimit{10000};
constexpr milliseconds shortestRetry{200};
constexpr milliseconds longestRetry{2000};

auto retryAfter(const CallerAnswer &answer) -> milliseconds
{
    const auto seconds = std::atoi(answer.header("Retry-After").c_str());
    return std::clamp(milliseconds(std::chrono::seconds(seconds)), shortestRetry, longestRetry);
}

/// The caller may then still state that its next send is the first.
auto toldNotRun(const CallerAnswer &answer) -> bool
{
    const auto problem = answer.problem();
    return problem.is_object() && problem.value("run", "") == "not-run";
}

/// Sends one call until it is answered, each time at another router.
auto makeCall(Fleet &fleet, const std::string &key, std::uint64_t seed) -> ServiceCall
{
    std::mt19937_64 random(seed);
    auto repeat = fleet.job(key);
    repeat.headers.emplace_back("Idempotency-Key", key);
    auto first = repeat;
    first.headers.emplace_back("Applehatch-First-Send", "true");
    auto mayHaveRun = false;
    ServiceCall made{key, false, 0};
    while (!made.answered && made.sends < mostSends) {
        const auto &router = fleet.router(random() % fleet.routers().size());
        const auto answer = call(router.callers, mayHaveRun ? repeat : first, answerLimit);
        ++made.sends;
        made.answered = answer.status == ok && answer.framed;
        if (!made.answered) {
            mayHaveRun = mayHaveRun || !toldNotRun(answer);
            std::this_thread::sleep_for(retryAfter(answer));
        }
    }
    return made;
}

} // namespace

auto driveCalls(Fleet &fleet, const Deployment &deployment, milliseconds length, std::uint64_t seed)
    -> std::vector<ServiceCall>
{
    if (deployment.services == 0 || deployment.callsPerSecond <= 0) {
        return {};
    }
    const auto begin = Clock::now();
    const auto seconds = std::chrono::duration<double>(length).count();
    const auto count = static_cast<std::size_t>(seconds * deployment.callsPerSecond);
    std::vector<ServiceCall> calls(count);
    std::vector<std::jthread> callers;
    callers.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        std::this_thread::sleep_until(
            begin + length * static_cast<int>(number) / static_cast<int>(count));
        callers.emplace_back([&calls, &fleet, number, seed] {
            calls[number] = makeCall(fleet, "call-" + std::to_string(number), seed + number);
        });
    }
    callers.clear();
    return calls;
}

auto countCalls(const std::vector<ServiceCall> &calls, const std::vector<RunEntry> &runs)
    -> CallFigures
{
    std::map<std::string, std::size_t> runsOfKey;
    for (const auto &run : runs) {
        if (run.operation == "start" && !run.key.empty()) {
            ++runsOfKey[run.key];
        }
    }
    CallFigures figures;
    for (const auto &made : calls) {
        const auto ran = runsOfKey[made.key];
        ++figures.sent;
        figures.answered += made.answered ? 1 : 0;
        figures.unanswered += made.answered ? 0 : 1;
        figures.resent += made.sends > 1 ? 1 : 0;
        figures.ranOnce += made.answered && ran == 1 ? 1 : 0;
        figures.ranTwice += ran > 1 ? 1 : 0;
        figures.answeredUnrun += made.answered && ran == 0 ? 1 : 0;
    }
    return figures;
}

} // namespace applehatch::experiment
