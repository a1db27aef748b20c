#include "worker-pool.h"

#include <utility>

namespace applehatch::sidecar {

WorkerPool::WorkerPool(std::size_t limit)
    : limit_(limit)
{ }

WorkerPool::~WorkerPool()
{
    stop();
}

auto WorkerPool::stop() -> void
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (auto &thread : std::exchange(threads_, {}))
        thread.join();
}

auto WorkerPool::run(std::function<void()> task) -> void
{
    const std::lock_guard lock(mutex_);
    if (stopping_)
        return;
    tasks_.push_back(std::move(task));
    if (tasks_.size() > idle_ && threads_.size() < limit_)
        threads_.emplace_back([this] { work(); });
    else
        changed_.notify_one();
}

auto WorkerPool::work() -> void
{
    std::unique_lock lock(mutex_);
    while (true) {
        ++idle_;
        changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        --idle_;
        if (tasks_.empty())
            return;
        const auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace applehatch::sidecar
