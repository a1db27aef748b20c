/// How far an upstream can be trusted, judged by its answers.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <unordered_map>

namespace applehatch::direct {

/// How one request at an upstream ended, as far as it tells of the upstream.
enum class Outcome {
    Served,
    Refused,     ///< It said that it did not run the request.
    Failed,      ///< It answered with a failure of its own.
    Broken,      ///< The connection broke, or the answer was unreadable or not whole.
    Silent,      ///< Nothing came in time.
    Unreachable, ///< No connection could be opened.
};

/// Judges upstreams by what they did, not by what they say of themselves.
///
/// An upstream may pass its health check and still fail half of its requests, or be dead for
/// seconds before the registry drops it. Its callers see errors; sending it less until it serves
/// again spares them.
class UpstreamHealth
{
public:
    /// Weight of the newest outcome in the failure share; after 7 failures in a row it passes 3/4.
    static constexpr double newestWeight = 0.18;
    /// The failure share fades by half in this time, so that a recovered upstream gets work again.
    static constexpr Duration halfLife = std::chrono::seconds(2);
    /// First pause after an upstream could not be reached; doubles to `longestPause`.
    static constexpr Duration firstPause = std::chrono::milliseconds(400);
    static constexpr Duration longestPause = std::chrono::seconds(3);

    /// Weight of the newest first event in an upstream's mean; about the last eight count.
    static constexpr double firstEventWeight = 0.12;
    /// First events before an upstream's mean counts.
    static constexpr std::uint32_t fewestFirstEvents = 6;

    auto note(UpstreamId upstream, Outcome outcome, Instant now) -> void;
    /// The first event of a request came after `wait`.
    auto noteFirstEvent(UpstreamId upstream, Duration wait) -> void;
    auto forget(UpstreamId upstream) -> void { held_.erase(upstream); }

    /// Estimated share of failures among its next requests, 0 to 1.
    [[nodiscard]] auto failureShare(UpstreamId upstream, Instant now) const -> double;
    /// Its mean wait for first events against that of all; 1 while too little is known.
    [[nodiscard]] auto slowness(UpstreamId upstream) const -> double;
    /// Whether it could not be reached a moment ago and should be left alone.
    [[nodiscard]] auto isPaused(UpstreamId upstream, Instant now) const -> bool;

private:
    struct Held
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

    std::unordered_map<UpstreamId, Held> held_;
};

} // namespace applehatch::direct
