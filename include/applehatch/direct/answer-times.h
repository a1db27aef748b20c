/// How long requests took lately, for a process that is shutting down.
#pragma once

#include "applehatch/core/identity.h"

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

namespace applehatch::direct {

using core::Duration;
using core::Instant;

/// How many of the requests that are known took longer than a limit.
struct LongerShare
{
    std::size_t longer = 0;
    std::size_t known = 0;
};

/// Remembers how long the latest requests of each route and service took, and since when others
/// run.
///
/// A process that shuts down has a fixed time left. A request that it accepts too late ends without
/// its answer; one that it refuses needlessly costs its caller a request to another router. A
/// service may answer most requests at once and take seconds for a few, so single durations are
/// kept rather than a mean. Not thread-safe.
class AnswerTimes
{
public:
    /// Requests kept for each route and each service.
    static constexpr std::size_t maxKept = 256;
    /// Durations are forgotten after this time.
    static constexpr Duration memory = std::chrono::minutes(5);
    /// With fewer known requests of a route, all of its service count.
    static constexpr std::size_t minKnown = 10;

    auto noteBegun(const std::string &route, const std::string &service, Instant at) -> void;
    /// Records that a request begun at `at` no longer runs. `isWhole` tells whether it ran for as
    /// long as it needs; otherwise its duration says nothing.
    auto noteEnded(const std::string &route, const std::string &service, Instant at, bool isWhole,
                   Instant now) -> void;
    /// Counts the requests that took longer than `limit`, among them those that have run for longer
    /// already. `known` stays below `minKnown` if little is known of the service, too. Of those
    /// that have ended, at most the `latest` count.
    [[nodiscard]] auto longerThan(const std::string &route, const std::string &service,
                                  Duration limit, Instant now, std::size_t latest = maxKept) const
        -> LongerShare;
    /// Forgets what is too old.
    auto expire(Instant now) -> void;

private:
    struct Ended
    {
        Instant at;
        Duration took{0};
    };

    struct Row
    {
        std::deque<Ended> ended; // The oldest first.
        std::multiset<Instant> running;
    };

    using Rows = std::unordered_map<std::string, Row>;

    static auto end(Row &row, Instant begunAt, bool isWhole, Instant now) -> void;
    [[nodiscard]] static auto count(const Rows &rows, const std::string &name, Duration limit,
                                    Instant now, std::size_t latest) -> LongerShare;
    static auto expire(Rows &rows, Instant now) -> void;

    Rows routes_;
    Rows services_;
};

} // namespace applehatch::direct
