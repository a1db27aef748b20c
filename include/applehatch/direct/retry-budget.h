/// Limits the retries that this router adds to the load of a service.
#pragma once

#include "applehatch/direct/directory.h"

#include <deque>
#include <map>
#include <string>

namespace applehatch::direct {

/// Limits on the retries that all routers together may add to a service's requests.
struct RetryLimits
{
    double ratio = 0.2;                         ///< Retries per request within the window.
    Duration window = std::chrono::seconds(10); ///< Length of the sliding window.
    double extra = 50; ///< Retries allowed on top of the ratio, for the whole fleet.
};

/// Retry budget of one router within a sliding window.
///
/// When upstreams fail, every router retries at once, and the retries load the upstreams that still
/// work until these fail too. The limit holds for the fleet without communication, and therefore
/// also while routers cannot hear one another: each router keeps to the ratio for its own requests
/// and takes an equal share of the extra retries.
class RetryBudget
{
public:
    /// Share of the allowed retries that is used; the rest covers requests that are counted in a
    /// different window than their retry.
    static constexpr double usedShare = 0.85;

    RetryBudget(RetryLimits limits, Instant startedAt);

    auto setLimits(RetryLimits limits) -> void { limits_ = limits; }
    auto noteRequest(const std::string &service, Instant now) -> void;
    /// Takes one retry from the budget; returns false if none is left.
    auto take(const std::string &service, std::size_t routers, Instant now) -> bool;

private:
    struct Window
    {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };

    auto currentWindow(const std::string &service, Instant now) -> Window &;

    RetryLimits limits_;
    Instant startedAt_;
    std::map<std::string, Window> windows_;
};

} // namespace applehatch::direct
