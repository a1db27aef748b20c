/// Which requests were running when upstreams died.
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
/// A notice with nothing remaining withdraws the one with the same life and sequence; without that
/// an innocent that shared a crash and then finished elsewhere would stay suspected.
class CrashBook
{
public:
    /// How long a notice is kept after its crash.
    static constexpr Duration lifetime = std::chrono::minutes(10);

    explicit CrashBook(std::size_t capacity);

    /// Takes a notice from this or another process; true when it was news.
    auto apply(const CrashNotice &notice, Instant now) -> bool;

    /// The request finished: it did not crash the upstream it ran at.
    auto clear(Fingerprint fingerprint, Instant now) -> void;

    /// How many crashes it shared.
    [[nodiscard]] auto crashes(Fingerprint fingerprint, Instant now) const -> std::size_t;

    /// Whether it may not run any more.
    [[nodiscard]] auto isSuspect(Fingerprint fingerprint, Instant now) const -> bool;

    /// Where those crashes happened.
    [[nodiscard]] auto upstreams(Fingerprint fingerprint, Instant now) const
        -> std::vector<UpstreamId>;

    /// When the last of those crashes happened, on this process's clock; none without one.
    [[nodiscard]] auto lastAt(Fingerprint fingerprint, Instant now) const -> std::optional<Instant>;

    /// Up to `count` notices for a digest, newest first.
    [[nodiscard]] auto notices(std::size_t count, Instant now) const -> std::vector<CrashNotice>;

    auto expire(Instant now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return held_.size(); }

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

    struct Held
    {
        Instant until;
        bool withdrawn = false;
        std::uint64_t order = 0; // Rises with each change; newer ones are told first.
    };

    auto dropOldest() -> void;

    std::size_t capacity_;
    std::uint64_t changes_ = 0;
    std::map<Key, Held> held_;
};

} // namespace applehatch::core
