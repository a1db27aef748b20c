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

// Time until a slot is free for one that comes after `load` others.
auto waitFor(double load, std::uint32_t slots, std::optional<Duration> hold) -> Duration
{
    const auto ahead = load + 1 - slots;
    return ahead <= 0 || !hold ? Duration(0) : scaled(*hold, ahead / slots);
}

} // namespace

auto Admission::steps(const AdmissionAsk &ask, const Service &service) -> int
{
    auto steps = std::clamp(ask.priority, 0, mostSteps);
    const auto own = service.ofCustomer.find(ask.customer);
    if (ask.customer.empty() || own == service.ofCustomer.end() || service.running < fewestToShare)
        return steps;
    const auto equalShare =
        static_cast<double>(service.running) / static_cast<double>(service.ofCustomer.size());
    if (service.ofCustomer.size() > 1 && own->second > fairShares * equalShare)
        ++steps;
    return std::min(steps, mostSteps);
}

auto Admission::patience(const AdmissionAsk &ask, const Service &service) -> Duration
{
    auto shortest = ask.objective;
    for (const auto &[priority, objective] : service.objectives) {
        if (priority <= ask.priority)
            shortest = std::min(shortest, objective);
    }
    return scaled(shortest, waitShare);
}

auto Admission::decide(const AdmissionAsk &ask, AdmissionRoom room) -> Verdict
{
    Verdict verdict;
    if (ask.objective <= Duration(0))
        return verdict; // Nothing tells what would be too late.
    auto &service = services_[ask.service];
    auto &objective = service.objectives.try_emplace(ask.priority, ask.objective).first->second;
    objective = std::min(objective, ask.objective);
    const auto slots = std::max(1U, room.slots);
    verdict.patience = patience(ask, service);
    verdict.foreseenWait = waitFor(room.load, slots, service.hold);
    const auto reserved = reserveShares.at(static_cast<std::size_t>(steps(ask, service)))
        + tieShare * std::clamp(ask.routePriority, 0, mostSteps);
    const auto asSeen = room.load + reserved * slots;
    verdict.admitted = waitFor(asSeen, slots, service.hold) <= verdict.patience;
    return verdict;
}

auto Admission::noteConfiguration() -> void
{
    for (auto &[name, service] : services_)
        service.objectives.clear();
}

auto Admission::noteSent(const AdmissionAsk &ask) -> void
{
    auto &service = services_[ask.service];
    ++service.running;
    ++service.ofCustomer[ask.customer];
}

auto Admission::noteDone(const AdmissionAsk &ask, std::optional<Duration> held, Instant now) -> void
{
    auto &service = services_[ask.service];
    if (service.running > 0)
        --service.running;
    const auto own = service.ofCustomer.find(ask.customer);
    if (own != service.ofCustomer.end() && --own->second == 0)
        service.ofCustomer.erase(own);
    service.ends.push_back(now);
    dropBefore(service.ends, now - returnWindow);
    if (!held)
        return;
    const auto before = service.hold.value_or(*held);
    service.hold = before + scaled(*held - before, holdWeight);
}

auto Admission::returnTime(const AdmissionAsk &ask, double draw, Instant now) -> Duration
{
    auto &service = services_[ask.service];
    service.refusals.push_back(now);
    dropBefore(service.refusals, now - returnWindow);
    dropBefore(service.ends, now - returnWindow);
    auto spread = leastSpread;
    if (service.refusals.size() >= fewestToForesee) {
        const auto ends = static_cast<double>(std::max<std::size_t>(1, service.ends.size()));
        const auto backlog = static_cast<double>(service.refusals.size()) / ends;
        spread = std::clamp(scaled(returnWindow, backlog), leastSpread, longestSpread);
    }
    return earliestReturn + scaled(spread, std::clamp(draw, 0.0, 1.0));
}

} // namespace applehatch::direct
