/// Shares the memory for requests out among those that are being read.
#pragma once

#include "applehatch/gateway/byte-budget.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/telemetry/progress.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace applehatch::gateway {

/// Memory for requests from their first byte on. Not thread-safe.
///
/// Whoever stands still gives way to whoever goes on: a client that stops short of the end of its
/// request would otherwise keep others out for as long as it stays. Room is granted in the order in
/// which requests began, whatever those hold that wait: none waits for one that waits itself. What
/// they hold may be a quarter beyond the limit; if it is more, the youngest that wait are refused.
/// A request that gives way or is refused has not run.
class RequestMemory
{
public:
    struct Hooks
    {
        /// There is room now for what was asked for.
        std::function<void()> granted;
        /// The request has to be refused, and its `Reading` destroyed.
        std::function<void()> giveWay;
    };

    class Reading;

    RequestMemory(boost::asio::io_context &loop, std::size_t limitBytes);
    ~RequestMemory();
    RequestMemory(const RequestMemory &) = delete;
    auto operator=(const RequestMemory &) -> RequestMemory & = delete;

    [[nodiscard]] auto budget() -> ByteBudget & { return budget_; }
    /// Returns how many requests gave way since the last call.
    [[nodiscard]] auto takeGivenWay() -> std::size_t;

private:
    struct State;

    ByteBudget budget_;
    /// Shared with the readings: a connection may outlive its listener's memory.
    std::shared_ptr<State> state_;
};

/// The memory of one request while it is read.
class RequestMemory::Reading
{
public:
    Reading(const RequestMemory &memory, Hooks hooks);
    ~Reading();
    Reading(const Reading &) = delete;
    auto operator=(const Reading &) -> Reading & = delete;

    /// Notes that so many bytes of the request have come.
    auto noteReceived(std::size_t bytes) -> void { progress_.note(bytes); }
    /// Holds `bytes` in all from now on. Returns false if there is no room for them; `granted` or
    /// `giveWay` is called later then, by the event loop. Meanwhile it goes on holding `present`,
    /// which has come already.
    [[nodiscard]] auto hold(std::size_t bytes, std::size_t present) -> bool;
    /// Whether `hold` found no room, and neither hook was called since.
    [[nodiscard]] auto isWaiting() const -> bool { return wanted_ > 0; }
    /// Whether `bytes` would find room if there were no other request.
    [[nodiscard]] auto canEverHold(std::size_t bytes) const -> bool
    {
        return kept_.canEverHold(bytes);
    }
    /// Hands over what is held, once the request is complete.
    auto take() -> ByteShare { return std::move(kept_); }
    auto noteRefused() -> void { kept_.noteRefused(); }
    /// Time of the last progress; a request without any stands still since it began.
    [[nodiscard]] auto progressAt() const -> core::Instant { return progress_.at(); }

private:
    friend struct RequestMemory::State;

    /// Whether there is room for `bytes` in all.
    [[nodiscard]] auto fits(std::size_t bytes) const -> bool;
    auto startWaiting(std::size_t bytes, std::size_t present) -> void;
    /// Returns what it waited for.
    auto stopWaiting() -> std::size_t;
    auto noteGranted() -> void;

    std::shared_ptr<State> state_;
    Hooks hooks_;
    ByteShare kept_;
    telemetry::Progress progress_;
    std::size_t wanted_ = 0; // What it waits for; 0 if it does not wait.
    std::list<Reading *>::iterator place_;
};

} // namespace applehatch::gateway
