/// How fast requests of each priority have lately been taken.
#pragma once

#include "applehatch/core/identity.h"

#include <map>

namespace applehatch::core {

/// Exponentially decaying rates by priority.
class ArrivalRates
{
public:
    auto record(int priority, Instant now) -> void;

    /// Requests a second of priorities larger than `priority`.
    [[nodiscard]] auto above(int priority, Instant now) const -> double;

private:
    struct Rate
    {
        double perSecond = 0;
        Instant since; ///< When `perSecond` held.
    };

    [[nodiscard]] static auto decayed(const Rate &rate, Instant now) -> double;

    std::map<int, Rate> rates_;
};

} // namespace applehatch::core
