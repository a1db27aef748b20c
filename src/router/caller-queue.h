/// What the node has for one caller, until the thread that serves it takes it.
#pragma once

#include "applehatch/core/router-node.h"

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

namespace applehatch::router {

using CallerItem = std::variant<core::AnswerHead, core::AnswerChunk, core::AnswerEnd,
                                core::AnswerFailure, core::AnswerTicket>;

/// Bounded in bytes. Pushing never blocks: it happens where all callers' answers pass through, and
/// one caller on a slow line would otherwise hold up everyone's.
class CallerQueue
{
public:
    explicit CallerQueue(std::size_t maxBytes);

    /// Queues an item; beyond the bound the queue overflows and takes no more.
    auto push(CallerItem item) -> void;

    /// Waits up to `limit` for items and takes all of them; none when the queue overflowed.
    [[nodiscard]] auto take(core::Duration limit) -> std::optional<std::vector<CallerItem>>;

private:
    std::size_t maxBytes_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<CallerItem> items_;
    std::size_t bytes_ = 0;
    bool overflowed_ = false;
};

} // namespace applehatch::router
