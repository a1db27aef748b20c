/// A thread that repeats a task until it is destroyed.
#pragma once

#include "applehatch/core/identity.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace applehatch::process {

/// Runs `task` again and again; a run that takes long delays the next one.
class Periodic
{
public:
    /// Waits `period` before each run.
    Periodic(core::Duration period, std::function<void()> task);

    /// Waits before each run for what `wait` then gives; both are called on the one thread.
    Periodic(std::function<core::Duration()> wait, std::function<void()> task);

    /// Waits for a running task to end.
    ~Periodic();
    Periodic(const Periodic &) = delete;
    auto operator=(const Periodic &) -> Periodic & = delete;

private:
    auto run(const std::function<core::Duration()> &wait, const std::function<void()> &task)
        -> void;

    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace applehatch::process
