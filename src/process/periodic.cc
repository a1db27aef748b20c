#include "applehatch/process/periodic.h"

#include <utility>

namespace applehatch::process {

Periodic::Periodic(core::Duration interval, std::function<void()> task)
    : Periodic([interval] { return interval; }, std::move(task))
{ }

Periodic::Periodic(std::function<core::Duration()> wait, std::function<void()> task)
    : thread_(
        [this, heldWait = std::move(wait), heldTask = std::move(task)] { run(heldWait, heldTask); })
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

auto Periodic::run(const std::function<core::Duration()> &wait, const std::function<void()> &task)
    -> void
{
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, wait(), [this] { return stopping_; })) {
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace applehatch::process
