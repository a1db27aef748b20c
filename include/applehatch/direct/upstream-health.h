/// Estimates the health of upstreams from their answers.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <unordered_map>

namespace applehatch::direct {

/// The outcome of a request at an upstream, as far as it shows the upstream's health.
enum class Outcome {
    Served,
    Refused,     ///< The upstream stated that it did not run the request.
    Failed,      ///< The upstream answered with a failure of its own.
    Broken,      ///< The connection broke, or the answer was malformed or incomplete.
    Silent,      ///< No answer arrived in time.
    Unreachable, ///< No connection could be opened.
};

/// Rates upstreams by the outcomes of requests, not by what they report about themselves.
///
/// An upstream may pass its health check and still fail half of its requests, or be dead for
/// seconds before the registry drops it. Its callers see errors; sending it fewer requests until it
/// serves again avoids them.
class UpstreamHealth
{
public:
    /// Weight of the newest outcome in the failure share; after 7 failures in a row it passes 3/4.
    static constexpr double outcomeWeight = 0.18;
    /// Time in which the failure share decays by half, so that a recovered upstream gets requests
    /// again.
    static constexpr Duration halfLife = std::chrono::seconds(2);
    /// Initial pause after an upstream was unreachable; doubles up to `maxPause`.
    static constexpr Duration initialPause = std::chrono::milliseconds(400);
    static constexpr Duration maxPause = std::chrono::seconds(3);

    /// Weight of the newest time to first event in an upstream's mean; the mean covers about the
    /// last eight.
    static constexpr double firstEventWeight = 0.12;
    /// Minimum number of first events before an upstream's mean is used.
    static constexpr std::uint32_t minFirstEvents = 6;

    auto note(UpstreamId upstream, Outcome outcome, Instant now) -> void;
    /// Records that the first event of a request arrived after `wait`.
    auto noteFirstEvent(UpstreamId upstream, Duration wait) -> void;
    auto forget(UpstreamId upstream) -> void { records_.erase(upstream); }

    /// Returns the estimated share of failures among the upstream's next requests, 0 to 1.
    [[nodiscard]] auto failureShare(UpstreamId upstream, Instant now) const -> double;
    /// Returns the ratio of the upstream's mean time to first event to the mean of all upstreams; 1
    /// while there are too few samples.
    [[nodiscard]] auto slowness(UpstreamId upstream) const -> double;
    /// Whether the upstream was unreachable recently and should get no requests for now.
    [[nodiscard]] auto isPaused(UpstreamId upstream, Instant now) const -> bool;

private:
    struct Record
    {
        double failureShare = 0;
        Instant notedAt;
        Instant pausedUntil;
        Duration pause{0};
        double firstEventMs = 0;
        std::uint32_t firstEvents = 0;
    };

    double allFirstEventMs_ = 0;
    std::uint64_t allFirstEvents_ = 0;

    std::unordered_map<UpstreamId, Record> records_;
};

} // namespace applehatch::direct
