/// Thread pool for blocking calls.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace applehatch::sidecar {

/// Adds threads as tasks arrive, up to a limit; further tasks wait for a free thread.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t limit);

    /// Calls `stop`.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    auto operator=(const WorkerPool &) -> WorkerPool & = delete;

    /// Runs `task` on a thread of the pool, or drops it after `stop`. Thread-safe; never waits for
    /// a task.
    auto run(std::function<void()> task) -> void;

    /// Waits for all tasks, including those still queued.
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
