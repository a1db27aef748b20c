#include "applehatch/process/drain.h"

namespace applehatch::process {

auto Drain::request() -> void
{
    const std::lock_guard lock(mutex_);
    ++requests_;
    changed_.notify_all();
}

auto Drain::done() -> void
{
    const std::lock_guard lock(mutex_);
    done_ = true;
    changed_.notify_all();
}

auto Drain::waitForRequest() -> void
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return requests_ > 0; });
}

auto Drain::waitForDone(core::Duration deadline) -> bool
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, deadline, [this] { return done_ || requests_ > 1; });
    return done_;
}

} // namespace applehatch::process
