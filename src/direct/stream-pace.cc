#include "applehatch/direct/stream-pace.h"

namespace applehatch::direct {

namespace {

// About the last 50 streams count: a second of a busy router.
constexpr double newestWeight = 0.02;

} // namespace

auto StreamPace::noteStream(std::uint32_t mostTokens, Duration took) -> void
{
    if (mostTokens == 0)
        return;
    const auto each = std::chrono::duration<double, std::milli>(took).count() / mostTokens;
    tokenMs_ += newestWeight * (each - tokenMs_);
}

auto StreamPace::endsWithin(std::uint32_t mostTokens, Duration left) const -> bool
{
    if (mostTokens == 0)
        return false;
    const std::chrono::duration<double, std::milli> tokens(safety * tokenMs_ * mostTokens);
    return beforeFirstToken + std::chrono::duration_cast<Duration>(tokens) < left;
}

} // namespace applehatch::direct
