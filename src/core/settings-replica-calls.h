/// The schedule of a replica's calls to the configuration service and to its peers.
#pragma once

#include "applehatch/core/load-table.h"
#include "applehatch/core/settings-replica.h"
#include "settings-replica-peers.h"

#include <optional>
#include <unordered_set>

namespace applehatch::core {

/// Returns a random duration from `min` to `max`.
[[nodiscard]] auto between(Duration min, Duration max, Random &random) -> Duration;

/// Limits calls to the configuration service to one at a time, with a minimum interval and backoff.
///
/// The service handles about 2,000 calls per second from all readers. After an outage every process
/// calls it at once; without backoff and jitter these calls would keep it down, and settings
/// changes would reach no process.
class ServiceCalls
{
public:
    /// Allows no call before `at`.
    auto delayUntil(Instant at) -> void;

    [[nodiscard]] auto mayCall(Instant now) const -> bool;

    auto asked(std::optional<SettingsIndex> waitFor, Instant now) -> void;

    /// Records an answer with this index. A watch that returns immediately without a new index
    /// counts as a failure; otherwise a service that does not support watches would be called in a
    /// loop.
    auto answered(SettingsIndex index, Instant now, Random &random) -> void;

    auto failed(Instant now, Random &random) -> void;

private:
    bool outstanding_ = false;
    Instant askedAt_;
    std::optional<SettingsIndex> waitFor_;
    Instant notBefore_;
    Duration backoff_{0};
};

/// Schedules pulls from one peer after another until one has the missing texts.
class PullSchedule
{
public:
    [[nodiscard]] auto active() const -> bool { return active_; }
    [[nodiscard]] auto due(Instant now) const -> bool { return active_ && now >= next_; }

    /// Returns which peers to ask next: those of the own data centre at first, and a reader on each
    /// third try.
    [[nodiscard]] auto choice() const -> PeerChoice;

    /// Returns true after enough pulls without an answer or without the missing texts to read the
    /// service directly.
    [[nodiscard]] auto wantsService() const -> bool;

    /// Returns true after so many pulls without the missing index that it may not exist.
    [[nodiscard]] auto exhausted() const -> bool;

    [[nodiscard]] auto asked() const -> const std::unordered_set<UpstreamId> & { return asked_; }
    [[nodiscard]] auto lastAsked() const -> UpstreamId { return last_; }

    /// Starts pulling, unless already active. The first pull is due after a short jitter.
    auto begin(Instant now, Random &random) -> void;

    /// Records a pull sent to `peer`. The interval to the next grows after many tries.
    auto sent(UpstreamId peer, Instant now, Random &random) -> void;

    /// Records an answer without the missing texts: the next peer is asked after a short delay.
    auto unsatisfied(Instant now, Random &random) -> void;

    /// Records a partial answer: the same peer is asked again immediately.
    auto partial(Instant now) -> void;

    auto end() -> void;

private:
    bool active_ = false;
    Instant next_;
    unsigned tries_ = 0;
    unsigned answers_ = 0;
    UpstreamId last_ = 0;
    std::unordered_set<UpstreamId> asked_;
};

} // namespace applehatch::core
