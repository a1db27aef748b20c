#include "overload.h"

#include <mutex>
#include <random>
#include <thread>

namespace applehatch::experiment {

namespace {

constexpr int ok = 200;
constexpr milliseconds answerLimit{20000};

auto inSeconds(milliseconds time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto between(std::mt19937_64 &random, milliseconds shortest, milliseconds longest) -> milliseconds
{
    std::uniform_int_distribution<std::int64_t> pick(shortest.count(), longest.count());
    return milliseconds(pick(random));
}

auto requestOf(const Fleet &fleet, const PriorityClass &priorityClass,
               const DeadlineRequest &planned, std::size_t number) -> CallerRequest
{
    auto request = fleet.chat("request " + std::to_string(number), planned.tokens);
    request.headers.front().second = std::string(Fleet::team) + "/" + priorityClass.customer;
    request.headers.emplace_back("Applehatch-Chat", "chat-" + std::to_string(number));
    request.headers.emplace_back("Applehatch-Priority", std::to_string(priorityClass.priority));
    request.headers.emplace_back("Applehatch-Deadline-Ms",
                                 std::to_string(planned.deadline.count()));
    return request;
}

auto send(const core::Address &router, const CallerRequest &request, const DeadlineRequest &planned)
    -> DeadlineOutcome
{
    const auto sent = Clock::now();
    const auto answer = call(router, request, answerLimit);
    DeadlineOutcome outcome;
    outcome.priorityClass = planned.priorityClass;
    outcome.deadline = planned.deadline;
    outcome.took = std::chrono::duration_cast<milliseconds>(Clock::now() - sent);
    outcome.whole = answer.status == ok && streamIsWhole(answer.streamData());
    outcome.hasReturn = !answer.header("Retry-After").empty();
    outcome.kind = answer.problemKind();
    return outcome;
}

auto add(const DeadlineOutcome &outcome, DeadlineFigures &figures) -> void
{
    ++figures.sent;
    if (outcome.whole) {
        const auto inTime = outcome.took <= outcome.deadline;
        figures.inTime += inTime ? 1 : 0;
        figures.late += inTime ? 0 : 1;
        return;
    }
    const auto early = outcome.took * 2 <= outcome.deadline;
    figures.refused += early && outcome.hasReturn ? 1 : 0;
    figures.givenUpLate += early ? 0 : 1;
    figures.noReturn += outcome.hasReturn ? 0 : 1;
    figures.refusalMs.push_back(static_cast<double>(outcome.took.count()));
    ++figures.kinds[outcome.kind.empty() ? "none" : outcome.kind];
}

} // namespace

auto Overload::capacity() const -> double
{
    const auto meanTokens = static_cast<double>(fewestTokens + mostTokens) / 2;
    const auto run = inSeconds(prefill) + meanTokens / tokensPerSecond;
    return static_cast<double>(engines * slots) / run;
}

auto housingOverload() -> Overload
{
    Overload overload;
    overload.classes = {{"damp-with-children", 9, 0.15},
                        {"call-handlers-north", 5, 0.40},
                        {"tenant-messages", 0, 0.45}};
    return overload;
}

auto planRequests(const Overload &overload, milliseconds length, std::uint64_t seed)
    -> std::vector<DeadlineRequest>
{
    std::mt19937_64 random(seed);
    std::vector<double> shares;
    for (const auto &priorityClass : overload.classes) {
        shares.push_back(priorityClass.share);
    }
    std::discrete_distribution<std::size_t> pickClass(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> pickTokens(overload.fewestTokens,
                                                          overload.mostTokens);
    std::exponential_distribution<double> gap(overload.capacity() * overload.offered);
    std::vector<DeadlineRequest> requests;
    const auto end = inSeconds(length + overload.longestDeadline);
    for (auto at = gap(random); at < end; at += gap(random)) {
        DeadlineRequest request;
        request.start = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(at));
        request.counts = at < inSeconds(length);
        request.priorityClass = pickClass(random);
        request.tokens = pickTokens(random);
        request.deadline = between(random, overload.shortestDeadline, overload.longestDeadline);
        request.router = random() % overload.routers;
        requests.push_back(request);
    }
    return requests;
}

auto driveRequests(Fleet &fleet, const Overload &overload,
                   const std::vector<DeadlineRequest> &requests) -> std::vector<DeadlineOutcome>
{
    const auto begin = Clock::now();
    std::vector<DeadlineOutcome> outcomes(requests.size());
    std::vector<std::jthread> callers;
    callers.reserve(requests.size());
    for (std::size_t number = 0; number < requests.size(); ++number) {
        std::this_thread::sleep_until(begin + requests[number].start);
        callers.emplace_back([&, number] {
            const auto &planned = requests[number];
            const auto &priorityClass = overload.classes[planned.priorityClass];
            const auto request = requestOf(fleet, priorityClass, planned, number);
            outcomes[number] = send(fleet.router(planned.router).callers, request, planned);
        });
    }
    callers.clear();
    std::vector<DeadlineOutcome> counted;
    for (std::size_t number = 0; number < requests.size(); ++number) {
        if (requests[number].counts) {
            counted.push_back(outcomes[number]);
        }
    }
    return counted;
}

auto countDeadlines(const std::vector<DeadlineOutcome> &outcomes, std::size_t classes)
    -> std::vector<DeadlineFigures>
{
    std::vector<DeadlineFigures> figures(classes + 1);
    for (const auto &outcome : outcomes) {
        add(outcome, figures.at(outcome.priorityClass));
        add(outcome, figures.back());
    }
    return figures;
}

} // namespace applehatch::experiment
