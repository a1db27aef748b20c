/// Which upstreams are believed to be cold, and until when.
#pragma once

#include "applehatch/direct/directory.h"

#include <unordered_map>

namespace applehatch::direct {

/// An upstream that just started, or lost its memory, is cold for some seconds and bears few
/// requests. Its registry entry tells how much longer; the news may be seconds old, so that a later
/// report never shortens the time that an earlier one gave.
class ColdUpstreams
{
public:
    /// Longest time that is believed; a longer one in a registry entry counts as this.
    static constexpr Duration maxTime = std::chrono::seconds(60);

    /// Records that the upstream is cold until `until`. Returns whether it was believed warm.
    auto note(UpstreamId upstream, Instant until, Instant now) -> bool;
    [[nodiscard]] auto isCold(UpstreamId upstream, Instant now) const -> bool;
    /// When the upstream will be warm; `now` if it is.
    [[nodiscard]] auto warmAt(UpstreamId upstream, Instant now) const -> Instant;
    auto forget(UpstreamId upstream) -> void { until_.erase(upstream); }

private:
    std::unordered_map<UpstreamId, Instant> until_;
};

} // namespace applehatch::direct
