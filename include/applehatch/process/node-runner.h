/// Serializes calls to a node and performs its actions in order.
#pragma once

#include "applehatch/telemetry/clock.h"

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace applehatch::process {

/// Accepts events from any thread. Actions are performed outside the lock, in the order in which
/// the node returned them.
///
/// Without a single order two threads could send a `Submit` and its `Revoke` in reverse, and a
/// revoked request would run. A thread that finds no other thread performing actions performs the
/// queued actions of all threads until none is left; other threads only queue theirs. An action
/// must therefore never block.
template <typename Node, typename Event, typename Action>
class NodeRunner
{
public:
    template <typename... Arguments>
    explicit NodeRunner(std::function<void(Action &)> perform, Arguments &&...arguments)
        : perform_(std::move(perform))
        , node_(std::forward<Arguments>(arguments)...)
    { }

    auto handle(Event event) -> void
    {
        handle(std::move(event), [](Action &) { return false; });
    }

    /// Like `handle(event)`, but first passes each action to `take`, under the lock. An action for
    /// which `take` returns true is left to the caller of `handle`: it is an answer to the sender
    /// of the event.
    template <typename Take>
    auto handle(Event event, Take take) -> void
    {
        std::unique_lock lock(mutex_);
        auto actions = node_.handle(std::move(event), telemetry::steadyNow());
        for (auto &action : actions) {
            if (!take(action))
                pending_.push_back(std::move(action));
        }
        if (performing_)
            return;
        performing_ = true;
        performPending(lock);
        performing_ = false;
    }

    /// Calls `query` with the node under the lock and returns its result.
    template <typename Query>
    auto read(Query query) const
    {
        const std::lock_guard lock(mutex_);
        return query(node_);
    }

private:
    auto performPending(std::unique_lock<std::mutex> &lock) -> void
    {
        while (!pending_.empty()) {
            auto taken = std::exchange(pending_, {});
            lock.unlock();
            for (auto &action : taken)
                perform_(action);
            lock.lock();
        }
    }

    std::function<void(Action &)> perform_;
    mutable std::mutex mutex_; ///< Guards the members below.
    Node node_;
    std::vector<Action> pending_;
    bool performing_ = false;
};

} // namespace applehatch::process
