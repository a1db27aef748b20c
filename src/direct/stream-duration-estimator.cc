#include "applehatch/direct/stream-duration-estimator.h"

#include <algorithm>

namespace applehatch::direct {

auto StreamDurationEstimator::noteStream(std::uint32_t maxTokens, Duration duration) -> void
{
    if (maxTokens < minTokens)
        return;
    const auto timePerToken =
        std::chrono::duration<double, std::milli>(duration).count() / maxTokens;
    slowestTokenMs_ = std::max(timePerToken, decayPerStream * slowestTokenMs_);
}

auto StreamDurationEstimator::endsWithin(std::uint32_t maxTokens, Duration remaining) const -> bool
{
    if (maxTokens == 0)
        return false;
    const std::chrono::duration<double, std::milli> tokens(safetyFactor * slowestTokenMs_
                                                           * maxTokens);
    return maxFirstTokenTime + std::chrono::duration_cast<Duration>(tokens) < remaining;
}

} // namespace applehatch::direct
