/// One-shot timer on the event loop.
#pragma once

#include "applehatch/core/identity.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace applehatch::gateway {

using core::Duration;

/// Runs an action once after a time, unless stopped or started anew before.
///
/// A loop that was held up for longer than the time finds the timer due together with the bytes
/// that would have stopped it. The library then runs both: its cancelling has no effect on a
/// handler that is already queued. A caller whose request had just been read was cut by the idle
/// timer of its connection. Here an action that was stopped never runs.
class Timer
{
public:
    explicit Timer(const boost::asio::any_io_executor &executor);
    ~Timer();
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;

    auto start(Duration after, std::function<void()> action) -> void;
    auto stop() -> void;

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<std::uint64_t>
        generation_; // Counts starts and stops; handlers may outlive the timer.
};

} // namespace applehatch::gateway
