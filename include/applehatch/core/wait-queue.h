/// Queue of a sidecar's waiting requests: by priority, then fair among customers, then by deadline.
#pragma once

#include "applehatch/core/identity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

/// One waiting request.
struct Waiting
{
    std::uint64_t id = 0;
    std::string customer;
    double weight = 1.0;
    int priority = 0; ///< Larger goes first.
    Instant deadline;
    Instant since;
};

/// Strict priority classes; start-time fair queueing among customers within a class.
class WaitQueue
{
public:
    /// Adds a request. With `FirstCome` a customer's requests keep their order of arrival.
    auto push(const Waiting &waiting, settings::QueueOrder order) -> void;

    /// Removes and returns the next request; none when nothing waits. Requests of the customers in
    /// `passedOver` are skipped and keep their place.
    auto pop(const std::set<std::string> &passedOver = {}) -> std::optional<std::uint64_t>;

    auto erase(std::uint64_t id) -> bool;

    /// The number of waiting requests that are served before `waiting`, which may be in the queue
    /// already or is counted as if it were pushed now.
    [[nodiscard]] auto countAhead(const Waiting &waiting) const -> double;

    [[nodiscard]] auto size() const -> std::size_t { return places_.size(); }

    /// Every waiting request, in no particular order.
    [[nodiscard]] auto all() const -> std::vector<Waiting>;

private:
    using Rank = std::pair<Instant, std::uint64_t>; // Deadline, then arrival.

    // One customer's requests within one class. `start` is the virtual time at which its first
    // request may begin; `finish` the one at which its last taken request ended.
    struct Flow
    {
        double weight = 1.0;
        double start = 0;
        double finish = 0;
        std::map<Rank, Waiting> requests;
    };

    struct Class
    {
        double virtualTime = 0;
        std::map<std::string, Flow> flows;
    };

    struct Place
    {
        int priority;
        std::string customer;
        Rank rank;
    };

    auto eraseIdleFlows(Class &priorityClass) -> void;

    std::map<int, Class, std::greater<>> classes_;
    std::unordered_map<std::uint64_t, Place> places_;
    std::uint64_t arrivals_ = 0;
};

} // namespace applehatch::core
