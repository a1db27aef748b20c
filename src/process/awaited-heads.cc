#include "applehatch/process/awaited-heads.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/progress.h"

#include "caller-socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <vector>

namespace applehatch::process {

auto AwaitedHeads::begin() -> void
{
    const std::lock_guard lock(mutex_);
    ++waiting_;
}

auto AwaitedHeads::end() -> void
{
    const std::lock_guard lock(mutex_);
    --waiting_;
}

auto AwaitedHeads::addServed(const std::string &caller) -> void
{
    const std::lock_guard lock(mutex_);
    served_.insert(caller);
}

auto AwaitedHeads::removeServed(const std::string &caller) -> void
{
    const std::lock_guard lock(mutex_);
    served_.erase(caller);
}

auto AwaitedHeads::lacking(std::size_t spare, std::size_t threads) -> std::size_t
{
    const std::lock_guard lock(mutex_);
    const auto wanted = waiting_ + served_.size() + spare;
    return wanted - std::min(wanted, threads);
}

auto AwaitedHeads::keepFree(std::size_t spare, std::size_t threads) -> std::size_t
{
    const std::lock_guard lock(mutex_);
    const auto taken = waiting_ + served_.size();
    if (taken + spare <= threads) {
        waits_.clear();
        return 0;
    }
    look();
    const auto latest = telemetry::steadyNow() - telemetry::Progress::stillTime;
    std::vector<Wait *> longest;
    for (auto &[caller, wait] : waits_) {
        if (!wait.isEnded && wait.noticedAt <= latest)
            longest.push_back(&wait);
    }
    std::sort(longest.begin(), longest.end(),
              [](const Wait *a, const Wait *b) { return a->number < b->number; });
    // No more than threads wait: whoever comes later is still in the library's queue.
    const auto most = std::min({longest.size(), waiting_, taken + spare - threads});
    for (std::size_t i = 0; i < most; ++i) {
        longest[i]->isEnded = true;
        ::shutdown(longest[i]->socket, SHUT_RDWR);
    }
    return most;
}

auto AwaitedHeads::look() -> void
{
    const auto now = telemetry::steadyNow();
    std::map<std::string, Wait> seen;
    for (const auto &[socket, caller] : callerSockets(port_)) {
        if (served_.contains(caller))
            continue;
        const auto known = waits_.find(caller);
        seen[caller] = known != waits_.end() ? known->second : Wait{socket, now, ++noticed_, false};
    }
    waits_ = std::move(seen);
}

} // namespace applehatch::process
