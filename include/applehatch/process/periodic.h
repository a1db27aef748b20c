/// Background thread that runs a task periodically.
#pragma once

#include "applehatch/core/identity.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace applehatch::process {

/// Runs a task repeatedly on its own thread until destroyed. A run that takes long delays the next
/// one.
class Periodic
{
public:
    /// Waits for `interval` before each run.
    Periodic(core::Duration interval, std::function<void()> task);

    /// Waits before each run for the time that `wait` returns; both functions are called on this
    /// object's thread.
    Periodic(std::function<core::Duration()> wait, std::function<void()> task);

    /// Stops the thread, waiting for a running task to return.
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
