/// Requests with priorities and deadlines, offered faster than a pool can run them.
#pragma once

#include "applehatch/experiment/fleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// Requests that stand alike in the queue.
struct PriorityClass
{
    std::string customer;
    int priority = 0; ///< Larger goes first.
    double share = 0; ///< Of all requests.
};

/// What is offered to one pool.
struct Overload
{
    std::size_t engines = 6;
    std::uint32_t slots = 4; ///< Of each engine.
    std::size_t routers = 2;
    double tokensPerSecond = 20;
    milliseconds prefill{500};
    std::size_t fewestTokens = 6;
    std::size_t mostTokens = 22;
    milliseconds shortestDeadline{2500};
    milliseconds longestDeadline{8000};
    double offered = 1.75; ///< As a multiple of what the pool can run.
    std::vector<PriorityClass> classes;

    /// Requests a second that the pool can run.
    [[nodiscard]] auto capacity() const -> double;
};

/// The classes of a housing association: damp cases in homes with children come first.
[[nodiscard]] auto housingOverload() -> Overload;

/// One request as it is meant to be sent; the same for each variant of a run.
struct DeadlineRequest
{
    std::size_t priorityClass = 0; ///< Place in `Overload::classes`.
    bool counts = true;            ///< The overload lasts until its deadline.
    milliseconds start{0};
    milliseconds deadline{0}; ///< From when it is sent.
    std::size_t tokens = 0;
    std::size_t router = 0;
};

/// Poisson arrivals for `length`, and for the longest deadline after it: without these, the queue
/// would be worked off under no load and the last requests counted would end better than in
/// overload.
[[nodiscard]] auto planRequests(const Overload &overload, milliseconds length, std::uint64_t seed)
    -> std::vector<DeadlineRequest>;

/// How a request ended for its caller; only of those that count.
struct DeadlineOutcome
{
    std::size_t priorityClass = 0;
    milliseconds deadline{0};
    milliseconds took{0};   ///< From when it was sent to its final answer.
    bool whole = false;     ///< The whole answer came.
    bool hasReturn = false; ///< A refusal that says when to come back.
    std::string kind;       ///< Of the refusal.
};

/// Sends every request once, at its time, and waits for all final answers.
[[nodiscard]] auto driveRequests(Fleet &fleet, const Overload &overload,
                                 const std::vector<DeadlineRequest> &requests)
    -> std::vector<DeadlineOutcome>;

/// Figures of one class of one variant.
struct DeadlineFigures
{
    std::size_t sent = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;        ///< Whole, after the deadline.
    std::size_t refused = 0;     ///< Told when to come back within half its deadline.
    std::size_t givenUpLate = 0; ///< Any other end.
    std::size_t noReturn = 0;    ///< Refused without a time to come back.
    std::vector<double> refusalMs;
    std::map<std::string, std::size_t> kinds; ///< Of all that got no whole answer.
};

/// By place in `Overload::classes`, with the sum of all at the end.
[[nodiscard]] auto countDeadlines(const std::vector<DeadlineOutcome> &outcomes, std::size_t classes)
    -> std::vector<DeadlineFigures>;

} // namespace applehatch::experiment
