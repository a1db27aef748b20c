#include "applehatch/direct/admission.h"

#include <algorithm>
#include <cmath>

namespace applehatch::direct {

namespace {

auto dropBefore(std::deque<Instant> &times, Instant limit) -> void
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

auto scaled(Duration duration, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

// Returns the time until a slot is free for a request that arrives after `load` others.
auto queueWait(double load, std::uint32_t slots, std::optional<Duration> serviceTime) -> Duration
{
    const auto ahead = load + 1 - slots;
    return ahead <= 0 || !serviceTime ? Duration(0) : scaled(*serviceTime, ahead / slots);
}

} // namespace

auto Admission::steps(const AdmissionRequest &request, const Service &service) -> int
{
    auto steps = std::clamp(request.priority, 0, maxPrioritySteps);
    const auto own = service.runningByCustomer.find(request.customer);
    if (request.customer.empty() || own == service.runningByCustomer.end()
        || service.running < minRunningForShares)
        return steps;
    const auto equalShare = static_cast<double>(service.running)
        / static_cast<double>(service.runningByCustomer.size());
    if (service.runningByCustomer.size() > 1 && own->second > fairShareFactor * equalShare)
        ++steps;
    return std::min(steps, maxPrioritySteps);
}

auto Admission::maxWait(const AdmissionRequest &request, const Service &service) -> Duration
{
    auto minObjective = request.objective;
    for (const auto &[priority, objective] : service.objectives) {
        if (priority <= request.priority)
            minObjective = std::min(minObjective, objective);
    }
    // A request that is done soon after it got a slot may wait longer and still be answered in
    // time.
    const auto untilLate = service.serviceTime ? minObjective - *service.serviceTime : Duration(0);
    const auto usual = std::max(scaled(minObjective, maxWaitShare), untilLate);
    if (!request.byTimeLeft || isLate(request, service))
        return usual;
    return std::min(usual, std::max(untilLate, Duration(0)) - request.sinceFirstSent);
}

auto Admission::isLate(const AdmissionRequest &request, const Service &service) -> bool
{
    const auto serviceTime = service.serviceTime.value_or(Duration(0));
    return request.sinceFirstSent > Duration(0)
        && request.sinceFirstSent + serviceTime >= request.objective;
}

auto Admission::mayRepeat(const AdmissionRequest &request, Instant now) const -> bool
{
    const auto found = services_.find(request.service);
    if (found == services_.end())
        return true;
    const auto &service = found->second;
    const auto isShort = !service.refusals.empty() && service.refusals.back() + shortPeriod > now;
    return !isShort || !isLate(request, service);
}

auto Admission::decide(const AdmissionRequest &request, UpstreamOccupancy occupancy)
    -> AdmissionDecision
{
    AdmissionDecision decision;
    if (request.objective <= Duration(0))
        return decision; // Without an objective no wait is too long.
    auto &service = services_[request.service];
    auto &objective =
        service.objectives.try_emplace(request.priority, request.objective).first->second;
    objective = std::min(objective, request.objective);
    const auto slots = std::max(1U, occupancy.slots);
    decision.maxWait = maxWait(request, service);
    decision.expectedWait =
        scaled(queueWait(occupancy.load, slots, service.serviceTime), occupancy.slowdown);
    const auto reserved = reservedSlotShares.at(static_cast<std::size_t>(steps(request, service)))
        + routePriorityShare * std::clamp(request.routePriority, 0, maxPrioritySteps);
    const auto effectiveLoad = occupancy.load + reserved * slots;
    const auto wait =
        scaled(queueWait(effectiveLoad, slots, service.serviceTime), occupancy.slowdown);
    decision.admitted = wait <= decision.maxWait;
    if (request.byTimeLeft)
        orderByTimeLeft(request, service, wait, decision);
    return decision;
}

auto Admission::orderByTimeLeft(const AdmissionRequest &request, Service &service, Duration wait,
                                AdmissionDecision &decision) -> void
{
    const auto isShort = wait > scaled(service.serviceTime.value_or(Duration(0)), shortWaitShare);
    if (!decision.admitted || !isShort)
        return;
    if (!isLate(request, service)) {
        ++service.onTimeSinceLate;
        return;
    }
    decision.admitted = service.onTimeSinceLate >= onTimePerLate;
    if (decision.admitted)
        service.onTimeSinceLate = 0;
}

auto Admission::noteConfiguration() -> void
{
    for (auto &[name, service] : services_)
        service.objectives.clear();
}

auto Admission::noteSent(const AdmissionRequest &request) -> void
{
    auto &service = services_[request.service];
    ++service.running;
    ++service.runningByCustomer[request.customer];
}

auto Admission::noteDone(const AdmissionRequest &request, std::optional<Duration> serviceTime,
                         Instant now) -> void
{
    auto &service = services_[request.service];
    if (service.running > 0)
        --service.running;
    const auto own = service.runningByCustomer.find(request.customer);
    if (own != service.runningByCustomer.end() && --own->second == 0)
        service.runningByCustomer.erase(own);
    service.completions.push_back(now);
    dropBefore(service.completions, now - refusalWindow);
    if (!serviceTime)
        return;
    const auto before = service.serviceTime.value_or(*serviceTime);
    service.serviceTime = before + scaled(*serviceTime - before, serviceTimeWeight);
}

auto Admission::retryAfter(const AdmissionRequest &request, double draw, Instant now) -> Duration
{
    auto &service = services_[request.service];
    service.refusals.push_back(now);
    dropBefore(service.refusals, now - refusalWindow);
    dropBefore(service.completions, now - refusalWindow);
    auto spread = minRetrySpread;
    if (service.refusals.size() >= minRefusalsForBacklog) {
        const auto completions =
            static_cast<double>(std::max<std::size_t>(1, service.completions.size()));
        const auto backlog = static_cast<double>(service.refusals.size()) / completions;
        spread = std::clamp(scaled(refusalWindow, backlog), minRetrySpread, maxRetrySpread);
    }
    return minRetryDelay + scaled(spread, std::clamp(draw, 0.0, 1.0));
}

} // namespace applehatch::direct
