#include "applehatch/emulator/engine-cache.h"

namespace applehatch::emulator {

EngineCache::EngineCache(std::size_t chats, milliseconds eventDelay, std::uint64_t gapEvery)
    : chats_(chats)
    , eventDelay_(eventDelay)
    , gapEvery_(gapEvery)
{ }

auto EngineCache::holds(const std::string &chat) const -> bool
{
    const std::lock_guard lock(mutex_);
    return held_.contains(chat);
}

auto EngineCache::store(const std::string &chat) -> std::string
{
    if (chat.empty()) {
        return {};
    }
    const std::lock_guard lock(mutex_);
    if (const auto found = held_.find(chat); found != held_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return {};
    }
    recent_.push_front(chat);
    held_[chat] = recent_.begin();
    publish(true, chat);
    if (held_.size() <= chats_) {
        return {};
    }
    auto oldest = recent_.back();
    recent_.pop_back();
    held_.erase(oldest);
    publish(false, oldest);
    return oldest;
}

auto EngineCache::publish(bool stored, const std::string &chat) -> void
{
    ++sequence_;
    if (gapEvery_ != 0 && sequence_ % gapEvery_ == 0) {
        return;
    }
    events_.push_back({sequence_, Clock::now() + eventDelay_, stored, chat});
}

auto EngineCache::events(std::uint64_t after) const -> nlohmann::json
{
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    auto next = after > sequence_ ? 0 : after;
    auto gap = after > sequence_;
    auto list = nlohmann::json::array();
    for (const auto &event : events_) {
        if (event.sequence <= next || event.at > now) {
            continue;
        }
        gap = gap || event.sequence != next + 1;
        next = event.sequence;
        list.push_back({{"op", event.stored ? "stored" : "evicted"}, {"chat", event.chat}});
    }
    return {{"next", next}, {"gap", gap}, {"events", list}};
}

} // namespace applehatch::emulator
