/// Threads for calls that block.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace applehatch::sidecar {

/// Grows with the tasks at hand up to its limit; beyond it tasks wait for a thread.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t limit);

    /// As `stop`.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    auto operator=(const WorkerPool &) -> WorkerPool & = delete;

    /// Runs `task` on a thread of the pool; dropped after `stop`. Thread-safe; never blocks on a
    /// task.
    auto run(std::function<void()> task) -> void;

    /// Waits for all tasks, also those not yet begun.
    auto stop() -> void;

private:
    auto work() -> void;

    std::size_t limit_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace applehatch::sidecar
