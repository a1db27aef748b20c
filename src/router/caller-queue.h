/// Queue of answer items from the node to the thread that serves one caller.
#pragma once

#include "applehatch/core/router-node.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

namespace applehatch::router {

using CallerItem = std::variant<core::AnswerHead, core::AnswerChunk, core::AnswerEnd,
                                core::AnswerFailure, core::AnswerTicket>;

/// Thread-safe queue bounded in bytes. `push` never blocks: it runs on a thread that handles the
/// answers of all callers, and one caller with a slow connection would otherwise delay them all.
class CallerQueue
{
public:
    /// Asked before so many bytes are kept. False if there is no room for them.
    using Keep = std::function<bool(std::size_t)>;

    explicit CallerQueue(std::size_t maxBytes, Keep keep = nullptr);

    /// Bytes that an item takes until it is written: it is copied once on its way.
    [[nodiscard]] static auto memoryOf(const CallerItem &item) -> std::size_t;

    /// Queues an item. Beyond the bound the queue overflows and accepts no further items.
    auto push(CallerItem item) -> void;
    /// Drops all items; the queue accepts no further ones.
    auto overflow() -> void;

    /// Waits up to `timeout` for items and removes all of them. Returns nothing when the queue
    /// overflowed.
    [[nodiscard]] auto take(core::Duration timeout) -> std::optional<std::vector<CallerItem>>;

private:
    std::size_t maxBytes_;
    Keep keep_; ///< Not called with `mutex_` held: it may call `overflow`.
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<CallerItem> items_;
    std::size_t bytes_ = 0;
    bool overflowed_ = false;
};

} // namespace applehatch::router
