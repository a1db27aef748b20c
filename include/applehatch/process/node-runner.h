/// Calls one node under a lock and carries its actions out in order.
#pragma once

#include "applehatch/telemetry/clock.h"

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace applehatch::process {

/// Any thread hands in events; actions are carried out outside the lock, in the order in which the
/// node gave them.
///
/// Without the one order two threads could send a `Submit` and its `Revoke` the wrong way round,
/// and a revoked request would run. The thread that finds nobody acting acts for all until nothing
/// is left; others leave their actions to it, so an action must never block.
template <typename Node, typename Event, typename Action>
class NodeRunner
{
public:
    template <typename... Arguments>
    explicit NodeRunner(std::function<void(Action &)> act, Arguments &&...arguments)
        : act_(std::move(act))
        , node_(std::forward<Arguments>(arguments)...)
    { }

    auto handle(Event event) -> void
    {
        handle(std::move(event), [](Action &) { return false; });
    }

    /// As above, but first shows each action to `take`, under the lock; one for which it gives true
    /// is left to it. For answers that belong to the one who sent the event.
    template <typename Take>
    auto handle(Event event, Take take) -> void
    {
        std::unique_lock lock(mutex_);
        auto actions = node_.handle(std::move(event), telemetry::steadyNow());
        for (auto &action : actions) {
            if (!take(action))
                waiting_.push_back(std::move(action));
        }
        if (acting_)
            return;
        acting_ = true;
        actWaiting(lock);
        acting_ = false;
    }

    /// Runs `ask` on the node under the lock.
    template <typename Ask>
    auto read(Ask ask) const
    {
        const std::lock_guard lock(mutex_);
        return ask(node_);
    }

private:
    auto actWaiting(std::unique_lock<std::mutex> &lock) -> void
    {
        while (!waiting_.empty()) {
            auto taken = std::exchange(waiting_, {});
            lock.unlock();
            for (auto &action : taken)
                act_(action);
            lock.lock();
        }
    }

    std::function<void(Action &)> act_;
    mutable std::mutex mutex_; ///< Guards all below.
    Node node_;
    std::vector<Action> waiting_;
    bool acting_ = false;
};

} // namespace applehatch::process
