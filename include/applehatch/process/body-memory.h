/// Memory and threads that bodies of requests may take while they are read.
#pragma once

#include "applehatch/core/identity.h"
#include "applehatch/telemetry/progress.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>

namespace applehatch::process {

/// Requests that were refused, and connections that were closed, for the sake of others.
struct GivenWay
{
    std::uint64_t bodies = 0;  ///< Stood still while others needed their room or thread.
    std::uint64_t refused = 0; ///< Found no room for their body.
    std::uint64_t heads = 0;   ///< Held a thread, and their head had not come.
    std::uint64_t answers = 0; ///< Were not read, or the largest when there was no room for all.
};

/// Bounds the bodies that a server reads and keeps. Thread-safe.
///
/// A body that stands still would keep its thread and its memory until the read times out. It gives
/// way as soon as another body needs either, the one that stands still longest first.
class BodyMemory
{
public:
    /// A body that finds no room waits this long at most, all its parts together.
    static constexpr core::Duration maxWait = std::chrono::seconds(1);
    /// A body up to this size needs no room.
    static constexpr std::size_t smallBytes = std::size_t{16} * 1024;

    /// At most `maxReading` bodies are read at a time.
    BodyMemory(std::size_t limitBytes, std::size_t maxReading);
    BodyMemory(const BodyMemory &) = delete;
    auto operator=(const BodyMemory &) -> BodyMemory & = delete;

    class Body;

    /// Returns what gave way, or was refused, since the last call.
    [[nodiscard]] auto takeGivenWay() -> GivenWay;

private:
    /// Lets the body that stands still longest give way, if any does.
    auto dropStill() -> void;

    std::mutex mutex_; ///< Guards all that follows, and each `Body`. No lock is taken under it.
    std::condition_variable freed_;
    std::size_t limit_;
    std::size_t maxReading_;
    std::size_t kept_ = 0;
    std::size_t reading_ = 0;
    std::list<Body *> bodies_; ///< Those that are read.
    GivenWay gaveWay_;
};

/// One body, from its first byte until its request is answered. Used by one thread.
class BodyMemory::Body
{
public:
    /// `giveWay` ends the read that the body's thread waits in. It is called by other threads.
    Body(BodyMemory &memory, std::function<void()> giveWay);
    ~Body();
    Body(const Body &) = delete;
    auto operator=(const Body &) -> Body & = delete;

    /// Keeps `bytes` in all from now on, and waits for room if there is none. Returns false if
    /// there is none for long, or the body has given way.
    [[nodiscard]] auto keep(std::size_t bytes) -> bool;
    /// Notes that so many bytes have come.
    auto noteReceived(std::size_t bytes) -> void;
    /// The whole body has come, or nothing more will.
    auto endReading() -> void;
    [[nodiscard]] auto hasGivenWay() const -> bool;

private:
    friend class BodyMemory;

    [[nodiscard]] auto fits(std::size_t bytes) const -> bool;
    auto stopReading() -> void;

    BodyMemory &memory_;
    std::function<void()> giveWay_;
    std::size_t kept_ = 0;
    telemetry::Progress progress_;
    core::Duration waited_{0};
    bool isReading_ = false;
    bool isWaiting_ = false;
    bool gaveWay_ = false;
};

} // namespace applehatch::process
