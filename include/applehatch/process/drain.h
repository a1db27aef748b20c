/// Shutdown state of a process: stop requested, drained or cut short.
#pragma once

#include "applehatch/core/identity.h"

#include <condition_variable>
#include <mutex>

namespace applehatch::process {

/// A drained process answers what still lies unread in its sockets: it ends once nothing has come
/// for `unreadQuiet`, after `unreadLimit` at the latest.
inline constexpr core::Duration unreadQuiet = std::chrono::milliseconds(100);
inline constexpr core::Duration unreadLimit = std::chrono::seconds(1);

/// Lets the main thread wait for a stop request and for the drain that follows. Thread-safe.
class Drain
{
public:
    /// Requests a stop. A second call cuts the drain short.
    auto request() -> void;

    /// Reports that the node has nothing in flight.
    auto done() -> void;

    /// Blocks until a stop is first requested.
    auto waitForRequest() -> void;

    /// Blocks for up to `deadline` until the node has drained. Returns false when the deadline
    /// passed or a second stop request came first.
    [[nodiscard]] auto waitForDone(core::Duration deadline) -> bool;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int requests_ = 0;
    bool done_ = false;
};

} // namespace applehatch::process
