/// Tracks which requests were running when upstreams crashed.
#pragma once

#include "applehatch/core/digest.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace applehatch::core {

/// Crash notices of the whole pool, each with its expiry.
///
/// A notice with no remaining lifetime withdraws the notice with the same incarnation and sequence
/// number. Without that a harmless request that was running during a crash and then finished at
/// another upstream would stay a suspect.
class CrashTracker
{
public:
    /// How long a notice is kept after the crash.
    static constexpr Duration lifetime = std::chrono::minutes(10);

    explicit CrashTracker(std::size_t capacity);

    /// Applies a notice from this or another process. Returns true when it changed the table.
    auto apply(const CrashNotice &notice, Instant now) -> bool;

    /// Withdraws the notices of a request that finished and so did not crash its upstream.
    auto clear(Fingerprint fingerprint, Instant now) -> void;

    /// The number of crashes during which the request was running.
    [[nodiscard]] auto crashes(Fingerprint fingerprint, Instant now) const -> std::size_t;

    /// Whether the request is refused because it was running during too many crashes.
    [[nodiscard]] auto isSuspect(Fingerprint fingerprint, Instant now) const -> bool;

    /// The upstreams whose crashes are counted by `crashes`.
    [[nodiscard]] auto upstreams(Fingerprint fingerprint, Instant now) const
        -> std::vector<UpstreamId>;

    /// The time of the last crash counted by `crashes`, on this process's clock; none without one.
    [[nodiscard]] auto lastCrashAt(Fingerprint fingerprint, Instant now) const
        -> std::optional<Instant>;

    /// Up to `count` notices for a digest, the most recently changed first.
    [[nodiscard]] auto notices(std::size_t count, Instant now) const -> std::vector<CrashNotice>;

    auto expire(Instant now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

private:
    struct Key
    {
        Fingerprint fingerprint;
        UpstreamId upstream;
        Incarnation incarnation;
        std::uint32_t sequence;

        auto operator<(const Key &other) const -> bool
        {
            return std::tie(fingerprint, upstream, incarnation, sequence)
                < std::tie(other.fingerprint, other.upstream, other.incarnation, other.sequence);
        }
    };

    struct Entry
    {
        Instant until;
        bool withdrawn = false;
        std::uint64_t order = 0; // Rises with each change; newer notices are advertised first.
    };

    auto dropOldest() -> void;

    std::size_t capacity_;
    std::uint64_t changes_ = 0;
    std::map<Key, Entry> entries_;
};

} // namespace applehatch::core
