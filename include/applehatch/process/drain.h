/// The end of a process: asked for, drained or cut short.
#pragma once

#include "applehatch/core/identity.h"

#include <condition_variable>
#include <mutex>

namespace applehatch::process {

/// Lets the main thread wait for the end. Thread-safe.
class Drain
{
public:
    /// A stop was asked for; the second time cuts the work short.
    auto request() -> void;

    /// The node has nothing in flight.
    auto done() -> void;

    /// Waits for the first request to stop.
    auto waitForRequest() -> void;

    /// Waits up to `deadline` for the node to drain; false when it was cut short.
    [[nodiscard]] auto waitForDone(core::Duration deadline) -> bool;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int requests_ = 0;
    bool done_ = false;
};

} // namespace applehatch::process
