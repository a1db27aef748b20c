/// Recent rates of accepted requests by priority.
#pragma once

#include "applehatch/core/identity.h"

#include <map>

namespace applehatch::core {

/// Exponentially decaying arrival rates by priority.
class ArrivalRates
{
public:
    auto record(int priority, Instant now) -> void;

    /// The rate of requests with a priority larger than `priority`, in requests per second.
    [[nodiscard]] auto above(int priority, Instant now) const -> double;

private:
    struct Rate
    {
        double perSecond = 0;
        Instant since; ///< When `perSecond` was computed.
    };

    [[nodiscard]] static auto decayed(const Rate &rate, Instant now) -> double;

    std::map<int, Rate> rates_;
};

} // namespace applehatch::core
