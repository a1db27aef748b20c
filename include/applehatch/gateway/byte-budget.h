/// Bound on the bytes that a process keeps of its callers' and upstreams' messages.
#pragma once

#include "applehatch/core/identity.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace applehatch::gateway {

/// Bytes of messages that a process keeps, and the limit on their sum. Not thread-safe.
///
/// Each message has a limit of its own. Many large ones at once, such as answers without end from
/// one upstream in trouble, would still take the process over the memory that it may use, and end
/// everything that runs in it.
class ByteBudget
{
public:
    /// A message up to this size never waits. All that there can be of them at a time take less
    /// than what is left for them beside the limit.
    static constexpr std::size_t smallBytes = std::size_t{16} * 1024;
    /// Messages up to this size may take a quarter more than the limit, so that those of usual size
    /// go on beside large ones.
    static constexpr std::size_t usualBytes = std::size_t{128} * 1024;
    static constexpr std::size_t usualShare = 4; ///< One part in so many of the limit.
    /// A message that waits for room looks for it this often.
    static constexpr core::Duration checkInterval = std::chrono::milliseconds(20);

    explicit ByteBudget(std::size_t limitBytes) { setLimit(limitBytes); }
    ByteBudget(const ByteBudget &) = delete;
    auto operator=(const ByteBudget &) -> ByteBudget & = delete;

    auto setLimit(std::size_t limitBytes) -> void { state_->limit = limitBytes; }
    [[nodiscard]] auto limit() const -> std::size_t { return state_->limit; }
    /// Returns what all may take together for a message of so many bytes to find room.
    [[nodiscard]] auto limitFor(std::size_t bytes) const -> std::size_t
    {
        return state_->limitFor(bytes);
    }
    [[nodiscard]] auto kept() const -> std::size_t { return state_->kept; }
    [[nodiscard]] auto hasRoom() const -> bool { return state_->kept < state_->limit; }
    /// Returns how many messages were refused for lack of room since the last call.
    [[nodiscard]] auto takeRefused() -> std::size_t { return std::exchange(state_->refused, 0); }

private:
    friend class ByteShare;

    struct State
    {
        [[nodiscard]] auto limitFor(std::size_t bytes) const -> std::size_t
        {
            return bytes <= usualBytes ? limit + limit / usualShare : limit;
        }

        std::size_t limit = 0;
        std::size_t kept = 0;
        std::size_t refused = 0;
        std::multiset<std::size_t> large; ///< Sizes of the messages that are not small.
    };

    /// Shared with the shares: a connection may outlive its listener's budget.
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

/// The bytes that one message keeps. They are given back when it is destroyed or assigned.
class ByteShare
{
public:
    /// Counts nothing.
    ByteShare() = default;
    explicit ByteShare(const ByteBudget &budget)
        : budget_(budget.state_)
    { }
    ~ByteShare() { release(); }
    ByteShare(ByteShare &&other) noexcept;
    auto operator=(ByteShare &&other) noexcept -> ByteShare &;
    ByteShare(const ByteShare &) = delete;
    auto operator=(const ByteShare &) -> ByteShare & = delete;

    auto add(std::size_t bytes) -> void;
    /// Keeps `bytes` in all from now on.
    auto resize(std::size_t bytes) -> void;
    auto release() -> void;
    [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

    /// Whether there is room for `bytes` more, or the message is so small with them that it need
    /// not wait.
    [[nodiscard]] auto mayAdd(std::size_t bytes) const -> bool;
    /// Whether a message of `bytes` would find room if it were the only one.
    [[nodiscard]] auto canEverHold(std::size_t bytes) const -> bool;
    /// Whether no message that is kept is larger.
    [[nodiscard]] auto isLargest() const -> bool;
    /// Counts this message as refused for lack of room.
    auto noteRefused() -> void;

private:
    std::shared_ptr<ByteBudget::State> budget_;
    std::size_t bytes_ = 0;
};

/// Gives back the memory of an empty buffer that has grown: many connections are idle at a time.
auto shrinkIfEmpty(std::string &buffer) -> void;

} // namespace applehatch::gateway
