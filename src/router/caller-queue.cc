#include "caller-queue.h"

#include <utility>

namespace applehatch::router {

CallerQueue::CallerQueue(std::size_t maxBytes, Keep keep)
    : maxBytes_(maxBytes)
    , keep_(std::move(keep))
{ }

auto CallerQueue::memoryOf(const CallerItem &item) -> std::size_t
{
    const auto *chunk = std::get_if<core::AnswerChunk>(&item);
    constexpr std::size_t copies = 2;
    return chunk == nullptr ? 0 : sizeof(item) + copies * chunk->data.size();
}

auto CallerQueue::overflow() -> void
{
    const std::lock_guard lock(mutex_);
    overflowed_ = true;
    items_.clear();
    changed_.notify_one();
}

auto CallerQueue::push(CallerItem item) -> void
{
    const auto memory = memoryOf(item);
    if (memory > 0 && keep_ && !keep_(memory))
        return overflow();
    const std::lock_guard lock(mutex_);
    if (overflowed_)
        return;
    if (const auto *chunk = std::get_if<core::AnswerChunk>(&item))
        bytes_ += chunk->data.size();
    if (bytes_ > maxBytes_) {
        overflowed_ = true;
        items_.clear();
    } else {
        items_.push_back(std::move(item));
    }
    changed_.notify_one();
}

auto CallerQueue::take(core::Duration timeout) -> std::optional<std::vector<CallerItem>>
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout, [this] { return overflowed_ || !items_.empty(); });
    if (overflowed_)
        return std::nullopt;
    bytes_ = 0;
    return std::exchange(items_, {});
}

} // namespace applehatch::router
