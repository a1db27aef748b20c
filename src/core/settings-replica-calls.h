/// When a replica may call the configuration service and its peers.
#pragma once

#include "applehatch/core/load-table.h"
#include "applehatch/core/settings-replica.h"
#include "settings-replica-peers.h"

#include <optional>
#include <unordered_set>

namespace applehatch::core {

/// A duration at random between two.
[[nodiscard]] auto between(Duration least, Duration most, Random &random) -> Duration;

/// At most one call to the service at a time, spaced out and backed off.
///
/// The service takes some 2,000 calls a second from all readers. When it returns from an outage
/// every process wants it at once; without backoff and jitter their calls would keep it down, and
/// an operator would see changes arrive nowhere.
class ServiceCalls
{
public:
    /// No call before `at`.
    auto holdUntil(Instant at) -> void;

    [[nodiscard]] auto mayCall(Instant now) const -> bool;

    auto asked(std::optional<SettingsIndex> waitFor, Instant now) -> void;

    /// An answer with this index arrived. One that came at once without news counts like a failure:
    /// a service that does not hold watches would otherwise be called in a loop.
    auto answered(SettingsIndex index, Instant now, Random &random) -> void;

    auto failed(Instant now, Random &random) -> void;

private:
    bool outstanding_ = false;
    Instant askedAt_;
    std::optional<SettingsIndex> waitFor_;
    Instant notBefore_;
    Duration backoff_{0};
};

/// Asks one peer after the other until one has what is missing.
class Pursuit
{
public:
    [[nodiscard]] auto active() const -> bool { return active_; }
    [[nodiscard]] auto due(Instant now) const -> bool { return active_ && now >= next_; }

    /// Whom to ask next: near ones at first, and a reader each third time.
    [[nodiscard]] auto choice() const -> PeerChoice;

    /// True when peers were silent, or had no news, often enough to call the service itself.
    [[nodiscard]] auto wantsService() const -> bool;

    /// True when so many peers lacked it that it may not exist.
    [[nodiscard]] auto exhausted() const -> bool;

    [[nodiscard]] auto asked() const -> const std::unordered_set<UpstreamId> & { return asked_; }
    [[nodiscard]] auto lastAsked() const -> UpstreamId { return last_; }

    /// Begins, unless begun; the first pull follows within a short jitter.
    auto begin(Instant now, Random &random) -> void;

    /// A pull was sent to `peer`; the next follows after a growing wait.
    auto sent(UpstreamId peer, Instant now, Random &random) -> void;

    /// A peer answered without what is missing: ask the next one soon.
    auto unsatisfied(Instant now, Random &random) -> void;

    /// A peer has more of its answer to give: ask it again at once.
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
