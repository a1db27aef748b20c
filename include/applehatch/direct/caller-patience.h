/// Estimates how long ago a caller first sent a request that comes back after a refusal.
#pragma once

#include "applehatch/direct/directory.h"

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace applehatch::direct {

/// Compares the time that a caller still has with the time that callers of the route usually give a
/// new request. A request that comes back names only what is left, and its objective runs from the
/// first time.
class CallerPatience
{
public:
    /// Number of recent requests of a route that tell the usual time.
    static constexpr std::size_t samples = 32;
    /// Share of the samples that lie above the usual time: new requests, also while most come back.
    static constexpr double upperShare = 0.25;
    /// A request with at least this share of the usual time is taken for a new one; callers vary
    /// the time that they give.
    static constexpr double newShare = 0.8;
    /// When more routes are known, all are forgotten: configurations drop routes for ever.
    static constexpr std::size_t maxRoutes = 4096;
    /// Fewer samples tell nothing.
    static constexpr std::size_t minSamples = 8;

    /// Records a request and returns how long ago it was first sent; 0 for a new one.
    auto note(const std::string &route, Duration given) -> Duration;

private:
    struct Recent
    {
        std::array<Duration, samples> given{};
        std::size_t count = 0; ///< All requests so far.
    };

    [[nodiscard]] static auto usual(const Recent &recent) -> Duration;

    std::unordered_map<std::string, Recent> recent_; // By route.
};

} // namespace applehatch::direct
