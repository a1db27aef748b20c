#include "applehatch/direct/stream-pace.h"

#include <algorithm>

namespace applehatch::direct {

auto StreamPace::noteStream(std::uint32_t mostTokens, Duration took) -> void
{
    if (mostTokens < fewestTokens)
        return;
    const auto each = std::chrono::duration<double, std::milli>(took).count() / mostTokens;
    slowestTokenMs_ = std::max(each, fading * slowestTokenMs_);
}

auto StreamPace::endsWithin(std::uint32_t mostTokens, Duration left) const -> bool
{
    if (mostTokens == 0)
        return false;
    const std::chrono::duration<double, std::milli> tokens(safety * slowestTokenMs_ * mostTokens);
    return beforeFirstToken + std::chrono::duration_cast<Duration>(tokens) < left;
}

} // namespace applehatch::direct
