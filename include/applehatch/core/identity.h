/// Identifiers of requests, chats and processes that the routing decisions use.
#pragma once

#include "applehatch/settings/settings.h"

#include <cstdint>
#include <string>

namespace applehatch::core {

using settings::Address;
using settings::Duration;
using settings::Instant;
using settings::NodeClock;
using settings::Pool;
using settings::SettingsIndex;
using settings::SettingsPtr;
using settings::UpstreamId;

/// Identifies one run of a sidecar process, from start to exit; larger for a later run. 0 means
/// none.
using Incarnation = std::uint64_t;

/// Assigned by the router that first received the request; unique in the fleet.
using RequestId = std::string;

/// Hash of a request's content: method, path, customer and body.
using Fingerprint = std::uint64_t;

/// Hash of (team, pool, chat); 0 means that the request belongs to no chat.
using ChatKey = std::uint64_t;

/// One incarnation of a sidecar, as identified by context tokens and run-once tickets.
struct UpstreamIncarnation
{
    UpstreamId upstream = 0;
    Incarnation incarnation = 0;

    auto operator==(const UpstreamIncarnation &) const -> bool = default;
};

/// 64-bit hash of `bytes`, stable across processes and versions (XXH3).
[[nodiscard]] auto stableHash(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

} // namespace applehatch::core
