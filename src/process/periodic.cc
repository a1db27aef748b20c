#include "applehatch/process/periodic.h"

#include <utility>

namespace applehatch::process {

Periodic::Periodic(core::Duration period, std::function<void()> task)
    : thread_([this, period, held = std::move(task)] { run(period, held); })
{ }

Periodic::~Periodic()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopped_.notify_all();
    thread_.join();
}

auto Periodic::run(core::Duration period, const std::function<void()> &task) -> void
{
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, period, [this] { return stopping_; })) {
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace applehatch::process
