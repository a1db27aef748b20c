/// Where chats' contexts are: here, or at the upstream they moved to.
#pragma once

#include "applehatch/core/expiring-map.h"

#include <cstddef>
#include <vector>

namespace applehatch::core {

/// Hints only: cache events come late and with gaps, so a wrong one costs a cold run, no more.
class ChatPointers
{
public:
    explicit ChatPointers(std::size_t capacity);

    /// The chat's newest turn ran elsewhere.
    auto moved(ChatKey chat, UpstreamId holder, Instant now) -> void;

    /// The chat's newest turn ran here.
    auto ran(ChatKey chat, Instant now) -> void;

    /// The engine stored the chat's context.
    auto stored(ChatKey chat, Instant now) -> void;

    /// The engine dropped the chat's context.
    auto evicted(ChatKey chat) -> void;

    /// The engine restarted and holds nothing.
    auto evictedAll() -> void;

    [[nodiscard]] auto isWarm(ChatKey chat, Instant now) const -> bool;

    /// Who holds the chat's context; 0 when unknown.
    [[nodiscard]] auto holder(ChatKey chat, Instant now) const -> UpstreamId;

    /// Chats held here, the latest used first.
    [[nodiscard]] auto hottest(std::size_t count) const -> std::vector<ChatKey>;

    /// Drops what has expired among about `most` chats of each kind, in turn.
    auto expireSome(Instant now, std::size_t most) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return moved_.size(); }

private:
    struct Warm
    { };

    ExpiringMap<UpstreamId> moved_;
    ExpiringMap<Warm> warm_;
};

} // namespace applehatch::core
