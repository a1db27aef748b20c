/// A thread that repeats a task until it is destroyed.
#pragma once

#include "applehatch/core/identity.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace applehatch::process {

/// Runs `task` every `period`; a run that takes longer delays the next one.
class Periodic
{
public:
    Periodic(core::Duration period, std::function<void()> task);

    /// Waits for a running task to end.
    ~Periodic();
    Periodic(const Periodic &) = delete;
    auto operator=(const Periodic &) -> Periodic & = delete;

private:
    auto run(core::Duration period, const std::function<void()> &task) -> void;

    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace applehatch::process
