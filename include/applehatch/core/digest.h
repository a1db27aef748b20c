/// Gossip digests, by which processes exchange load, upstream states and crash notices.
#pragma once

#include "applehatch/core/identity.h"

#include <vector>

namespace applehatch::core {

enum class UpstreamState : std::uint8_t {
    Joining, ///< The sidecar runs, but its upstream does not answer yet.
    Serving,
    Leaving, ///< Accepts no new requests.
    Down,    ///< The sidecar runs, but its upstream stopped answering.
};

/// The newest known load of one upstream. Its size on the wire is fixed.
struct DigestEntry
{
    UpstreamId upstream = 0;
    Incarnation incarnation = 0;
    std::uint32_t version = 0; ///< Incremented with each change within one incarnation.
    std::uint32_t running = 0; ///< Accepted requests that run at the upstream.
    std::uint32_t waiting = 0; ///< Accepted requests that wait at the sidecar.
    std::uint32_t slots = 1;
    UpstreamState state = UpstreamState::Joining;
    Duration age{0}; ///< Time since the sidecar made the entry, as far as the sender knows.

    auto operator==(const DigestEntry &) const -> bool = default;
};

/// A request that was running when an upstream died.
struct CrashNotice
{
    Fingerprint fingerprint = 0;
    UpstreamIncarnation origin; ///< Where the crash happened; one incarnation counts once.
    std::uint32_t sequence = 0; ///< Number of the crash within that incarnation.
    Duration remaining{0};      ///< Time until the notice expires.

    auto operator==(const CrashNotice &) const -> bool = default;
};

/// The total load of a pool's members in one data centre. Between data centres, large pools
/// exchange only these sums.
struct PoolSum
{
    std::uint64_t pool = 0;       ///< Hash of `team/pool`.
    std::uint64_t dataCenter = 0; ///< Hash of the data centre's name.
    std::uint32_t version = 0;
    std::uint32_t members = 0;
    std::uint32_t load = 0;
    std::uint32_t slots = 0;
    Duration age{0};

    auto operator==(const PoolSum &) const -> bool = default;
};

/// One digest message. Its sender limits its size in bytes.
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
