/// Locations of chat contexts: cached at this upstream, or at the upstream that the chat moved to.
#pragma once

#include "applehatch/core/expiring-map.h"

#include <cstddef>
#include <vector>

namespace applehatch::core {

/// Hints about which upstream caches a chat's context.
///
/// Cache events arrive late and with gaps. A wrong hint costs one cold run and nothing else.
class ChatPointers
{
public:
    explicit ChatPointers(std::size_t capacity);

    /// Records that the newest turn of `chat` ran at `holder`, another upstream.
    auto markMoved(ChatKey chat, UpstreamId holder, Instant now) -> void;

    /// Records that the newest turn of `chat` ran at this upstream.
    auto markRun(ChatKey chat, Instant now) -> void;

    /// Records that the engine stored the context of `chat`.
    auto markStored(ChatKey chat, Instant now) -> void;

    /// Records that the engine dropped the context of `chat`.
    auto markEvicted(ChatKey chat) -> void;

    /// Records that the engine restarted with an empty cache.
    auto markAllEvicted() -> void;

    [[nodiscard]] auto isWarm(ChatKey chat, Instant now) const -> bool;

    /// The other upstream that holds the context of `chat`; 0 when unknown.
    [[nodiscard]] auto holder(ChatKey chat, Instant now) const -> UpstreamId;

    /// Up to `count` chats with a context at this upstream, most recently used first.
    [[nodiscard]] auto mostRecentlyUsed(std::size_t count) const -> std::vector<ChatKey>;

    /// Checks about `maxChats` entries of each of the two tables and drops the expired ones. The
    /// next call continues where this one stopped.
    auto expireSome(Instant now, std::size_t maxChats) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return holders_.size(); }

private:
    struct Warm
    { };

    ExpiringMap<UpstreamId> holders_;
    ExpiringMap<Warm> warm_;
};

} // namespace applehatch::core
