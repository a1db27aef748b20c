#include "applehatch/core/chat-pointers.h"

#include <chrono>

namespace applehatch::core {

namespace {

constexpr Duration holderLifetime = std::chrono::hours(6);
constexpr Duration warmLifetime = std::chrono::hours(6);

} // namespace

ChatPointers::ChatPointers(std::size_t capacity)
    : holders_(capacity)
    , warm_(capacity)
{ }

auto ChatPointers::markMoved(ChatKey chat, UpstreamId holder, Instant now) -> void
{
    if (chat != 0 && holder != 0)
        holders_.put(chat, holder, now + holderLifetime);
}

auto ChatPointers::markRun(ChatKey chat, Instant now) -> void
{
    holders_.erase(chat);
    markStored(chat, now);
}

auto ChatPointers::markStored(ChatKey chat, Instant now) -> void
{
    if (chat != 0)
        warm_.put(chat, {}, now + warmLifetime);
}

auto ChatPointers::markEvicted(ChatKey chat) -> void
{
    warm_.erase(chat);
}

auto ChatPointers::markAllEvicted() -> void
{
    warm_.expire(Instant::max());
}

auto ChatPointers::isWarm(ChatKey chat, Instant now) const -> bool
{
    return warm_.find(chat, now) != nullptr;
}

auto ChatPointers::holder(ChatKey chat, Instant now) const -> UpstreamId
{
    const auto *holder = holders_.find(chat, now);
    return holder == nullptr ? 0 : *holder;
}

auto ChatPointers::mostRecentlyUsed(std::size_t count) const -> std::vector<ChatKey>
{
    return warm_.newest(count);
}

auto ChatPointers::expireSome(Instant now, std::size_t maxChats) -> void
{
    holders_.expireSome(now, maxChats);
    warm_.expireSome(now, maxChats);
}

} // namespace applehatch::core
