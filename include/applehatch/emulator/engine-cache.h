/// The prefix cache of the engine stand-in, and the late and gappy word about it.
#pragma once

#include "applehatch/emulator/upstream-server.h"

#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace applehatch::emulator {

/// Holds the contexts of a limited number of chats, the least recently used going first.
/// Thread-safe.
class EngineCache
{
public:
    /// Every `gapEvery`-th event is lost; 0 loses none.
    EngineCache(std::size_t chats, milliseconds eventDelay, std::uint64_t gapEvery);

    [[nodiscard]] auto holds(const std::string &chat) const -> bool;
    /// Gives the chat whose context had to go; empty when none had to.
    auto store(const std::string &chat) -> std::string;

    /// What `GET /v1/cache/events` answers.
    [[nodiscard]] auto events(std::uint64_t after) const -> nlohmann::json;

private:
    struct Event
    {
        std::uint64_t sequence = 0;
        Clock::time_point at;
        bool stored = false;
        std::string chat;
    };

    auto publish(bool stored, const std::string &chat) -> void;

    const std::size_t chats_;
    const milliseconds eventDelay_;
    const std::uint64_t gapEvery_;
    mutable std::mutex mutex_;
    std::list<std::string> recent_; ///< Most recently used first.
    std::map<std::string, std::list<std::string>::iterator> held_;
    std::deque<Event> events_;
    std::uint64_t sequence_ = 0;
};

} // namespace applehatch::emulator
