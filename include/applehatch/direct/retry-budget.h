/// How many second tries this router may add to a service.
#pragma once

#include "applehatch/direct/directory.h"

#include <deque>
#include <map>
#include <string>

namespace applehatch::direct {

/// What all routers together may add to a service's requests.
struct RetryLimits
{
    double ratio = 0.2;                         ///< Of the requests within a window.
    Duration window = std::chrono::seconds(10); ///< Slides.
    double extra = 50;                          ///< On top of the ratio, for the whole fleet.
};

/// Second tries of one router within a sliding window.
///
/// When upstreams fail, every router retries at once, and the retries load the upstreams that still
/// work until these fail too. The bound holds over the fleet without a message: each router keeps
/// to the ratio for its own requests and takes an equal share of the extra. It therefore also holds
/// while routers cannot hear one another.
class RetryBudget
{
public:
    /// Of what is allowed; the rest covers requests counted in another window than their retry.
    static constexpr double usedShare = 0.85;

    RetryBudget(RetryLimits limits, Instant startedAt);

    auto setLimits(RetryLimits limits) -> void { limits_ = limits; }
    auto noteRequest(const std::string &service, Instant now) -> void;
    /// Takes one second try; false when none is left.
    auto take(const std::string &service, std::size_t routers, Instant now) -> bool;

private:
    struct Window
    {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };

    auto trimmed(const std::string &service, Instant now) -> Window &;

    RetryLimits limits_;
    Instant startedAt_;
    std::map<std::string, Window> windows_;
};

} // namespace applehatch::direct
