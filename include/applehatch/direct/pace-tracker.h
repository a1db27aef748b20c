/// Estimates how long work takes at each upstream now, compared with its usual time.
#pragma once

#include "applehatch/direct/directory.h"

#include <unordered_map>

namespace applehatch::direct {

/// Believes what upstreams report of their pace as far as the age of the report deserves.
///
/// Upstreams share hosts with other work, and their pace changes within a second. A report that is
/// believed for too long moves the whole fleet away from an upstream that has recovered.
class PaceTracker
{
public:
    /// A report counts for less the older it is, and for nothing after this time; then the
    /// upstream's own mean is expected.
    static constexpr Duration reportLifetime = std::chrono::milliseconds(500);
    /// Weight of the newest report in the upstream's mean; the mean covers about the last twenty.
    static constexpr double meanWeight = 0.05;

    /// Records a report: `slowdown` is the time that work takes as a multiple of the usual time.
    auto note(UpstreamId upstream, double slowdown, Instant now) -> void;
    auto forget(UpstreamId upstream) -> void;

    /// Returns the expected multiple of the usual time for work that begins now; 1 if nothing is
    /// known of the upstream.
    [[nodiscard]] auto slowdown(UpstreamId upstream, Instant now) const -> double;
    /// Whether the upstream ever reported its pace.
    [[nodiscard]] auto reports(UpstreamId upstream) const -> bool;

private:
    struct Record
    {
        double slowdown = 1;
        double mean = 1;
        Instant at;
    };

    std::unordered_map<UpstreamId, Record> records_;
};

} // namespace applehatch::direct
