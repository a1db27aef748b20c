/// What processes tell each other about load, leaving upstreams and crashes.
#pragma once

#include "applehatch/core/identity.h"

#include <vector>

namespace applehatch::core {

enum class UpstreamState : std::uint8_t {
    Joining, ///< The sidecar runs, its upstream does not answer yet.
    Serving,
    Leaving, ///< Takes no new work.
    Down,    ///< The sidecar runs, its upstream stopped answering.
};

/// The newest known load of one upstream. Fixed size on the wire.
struct DigestEntry
{
    UpstreamId upstream = 0;
    Incarnation incarnation = 0;
    std::uint32_t version = 0; ///< Rises with each change within one incarnation.
    std::uint32_t running = 0; ///< Requests accepted and in the upstream.
    std::uint32_t waiting = 0; ///< Requests accepted and waiting at the sidecar.
    std::uint32_t slots = 1;
    UpstreamState state = UpstreamState::Joining;
    Duration age{0}; ///< Since the sidecar made it, as far as the sender knows.

    auto operator==(const DigestEntry &) const -> bool = default;
};

/// A request that was running when an upstream died.
struct CrashNotice
{
    Fingerprint fingerprint = 0;
    UpstreamLife life;          ///< Where it happened; the same life counts once.
    std::uint32_t sequence = 0; ///< Counts crashes within that life.
    Duration remaining{0};      ///< Until the notice expires.

    auto operator==(const CrashNotice &) const -> bool = default;
};

/// The load of a pool's members in one data centre; all that crosses between data centres.
struct PoolSum
{
    std::uint64_t pool = 0;       ///< Hash of `team/pool`.
    std::uint64_t dataCenter = 0; ///< Hash of its name.
    std::uint32_t version = 0;
    std::uint32_t members = 0;
    std::uint32_t load = 0;
    std::uint32_t slots = 0;
    Duration age{0};

    auto operator==(const PoolSum &) const -> bool = default;
};

/// One digest message; capped in bytes by its sender.
struct Digest
{
    SettingsIndex settingsIndex = 0;
    std::vector<DigestEntry> entries;
    std::vector<PoolSum> sums;
    std::vector<CrashNotice> crashes;
    bool wantsReply = false; ///< Set by the side that opened the exchange.

    auto operator==(const Digest &) const -> bool = default;
};

} // namespace applehatch::core
