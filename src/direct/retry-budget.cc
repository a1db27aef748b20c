#include "applehatch/direct/retry-budget.h"

#include <algorithm>

namespace applehatch::direct {

namespace {

auto dropBefore(std::deque<Instant> &times, Instant limit) -> void
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

} // namespace

RetryBudget::RetryBudget(RetryLimits limits, Instant startedAt)
    : limits_(limits)
    , startedAt_(startedAt)
{ }

auto RetryBudget::currentWindow(const std::string &service, Instant now) -> Window &
{
    auto &window = windows_[service];
    dropBefore(window.requests, now - limits_.window);
    dropBefore(window.retries, now - limits_.window);
    return window;
}

auto RetryBudget::noteRequest(const std::string &service, Instant now) -> void
{
    currentWindow(service, now).requests.push_back(now);
}

auto RetryBudget::take(const std::string &service, std::size_t routers, Instant now) -> bool
{
    auto &window = currentWindow(service, now);
    // A process that was just killed may have spent its share moments ago. Its successor starts
    // with none and gains the share over one window; otherwise the two would spend it twice.
    const auto alive = std::chrono::duration<double>(now - startedAt_);
    const auto windowFraction =
        std::min(1.0, alive / std::chrono::duration<double>(limits_.window));
    const auto share = limits_.extra / static_cast<double>(std::max<std::size_t>(1, routers));
    const auto ratioAllowance = limits_.ratio * static_cast<double>(window.requests.size());
    const auto allowed = usedShare * (ratioAllowance + windowFraction * share);
    if (static_cast<double>(window.retries.size()) + 1 > allowed)
        return false;
    window.retries.push_back(now);
    return true;
}

} // namespace applehatch::direct
