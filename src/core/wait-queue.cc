#include "applehatch/core/wait-queue.h"

#include <algorithm>
#include <cmath>

namespace applehatch::core {

namespace {

constexpr double minWeight = 0.001;

} // namespace

auto WaitQueue::push(const Waiting &waiting, settings::QueueOrder order) -> void
{
    auto &priorityClass = classes_[waiting.priority];
    auto &flow = priorityClass.flows[waiting.customer];
    flow.weight = std::max(minWeight, waiting.weight);
    if (flow.requests.empty())
        flow.start = std::max(priorityClass.virtualTime, flow.finish);
    const auto byArrival = order == settings::QueueOrder::FirstCome;
    const Rank rank{byArrival ? Instant{} : waiting.deadline, ++arrivals_};
    flow.requests.emplace(rank, waiting);
    places_[waiting.id] = {waiting.priority, waiting.customer, rank};
}

auto WaitQueue::pop(const std::set<std::string> &passedOver) -> std::optional<std::uint64_t>
{
    for (auto &[priority, priorityClass] : classes_) {
        Flow *next = nullptr;
        for (auto &[customer, flow] : priorityClass.flows) {
            const auto mayTake = !flow.requests.empty() && !passedOver.contains(customer);
            if (mayTake && (next == nullptr || flow.start < next->start))
                next = &flow;
        }
        if (next == nullptr)
            continue;
        const auto id = next->requests.begin()->second.id;
        // A customer that was passed over starts behind the others.
        priorityClass.virtualTime = std::max(priorityClass.virtualTime, next->start);
        next->finish = next->start + 1.0 / next->weight;
        next->start = next->finish;
        next->requests.erase(next->requests.begin());
        places_.erase(id);
        eraseIdleFlows(priorityClass);
        return id;
    }
    return std::nullopt;
}

auto WaitQueue::eraseIdleFlows(Class &priorityClass) -> void
{
    std::erase_if(priorityClass.flows, [&](const auto &item) {
        return item.second.requests.empty() && item.second.finish <= priorityClass.virtualTime;
    });
}

auto WaitQueue::erase(std::uint64_t id) -> bool
{
    const auto found = places_.find(id);
    if (found == places_.end())
        return false;
    const auto &place = found->second;
    auto &priorityClass = classes_[place.priority];
    priorityClass.flows[place.customer].requests.erase(place.rank);
    places_.erase(found);
    eraseIdleFlows(priorityClass);
    return true;
}

auto WaitQueue::countAhead(const Waiting &waiting) const -> double
{
    double before = 0;
    for (const auto &[priority, priorityClass] : classes_) {
        if (priority < waiting.priority)
            break;
        const auto own = priorityClass.flows.find(waiting.customer);
        double ownBefore = 0;
        if (own != priorityClass.flows.end() && priority == waiting.priority) {
            const auto &requests = own->second.requests;
            const auto place = places_.find(waiting.id);
            const auto later = place == places_.end()
                ? requests.upper_bound({waiting.deadline, arrivals_ + 1})
                : requests.find(place->second.rank);
            ownBefore = static_cast<double>(std::distance(requests.begin(), later));
        }
        for (const auto &[customer, flow] : priorityClass.flows) {
            const auto all = static_cast<double>(flow.requests.size());
            const auto share =
                std::ceil((ownBefore + 1) * flow.weight / std::max(minWeight, waiting.weight));
            if (priority > waiting.priority)
                before += all;
            else if (customer != waiting.customer)
                before += std::min(all, share);
        }
        before += ownBefore;
    }
    return before;
}

auto WaitQueue::all() const -> std::vector<Waiting>
{
    std::vector<Waiting> waiting;
    waiting.reserve(places_.size());
    for (const auto &[priority, priorityClass] : classes_) {
        for (const auto &[customer, flow] : priorityClass.flows) {
            for (const auto &[rank, request] : flow.requests)
                waiting.push_back(request);
        }
    }
    return waiting;
}

} // namespace applehatch::core
