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

/// Runs an action once after a delay unless stopped or restarted before.
///
/// When the event loop stalls for longer than the delay, the timer expires together with the
/// arrival of the bytes that would have stopped it. Asio then runs both handlers, because
/// cancelling has no effect on a handler that is already queued, and the idle timer of a connection
/// could close it right after a request was read. With this class a stopped action never runs.
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
    // Incremented by each start and stop; shared since handlers may outlive the timer.
    std::shared_ptr<std::uint64_t> generation_;
};

} // namespace applehatch::gateway
