/// Memory and threads that answers may take until their callers have taken them.
#pragma once

#include "applehatch/core/identity.h"
#include "applehatch/telemetry/heap.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace applehatch::process {

/// Bounds what a server keeps of answers. Thread-safe.
///
/// An answer that its caller does not read keeps its memory, and the thread that writes it, until
/// the write times out. It gives way as soon as other answers need the memory, or other callers the
/// thread: the one that stands still longest first. Where none stands still the largest gives way.
/// An answer that gave way counts until its thread has freed it; if many do at a time, newcomers
/// give way too.
class AnswerMemory
{
public:
    explicit AnswerMemory(std::size_t limitBytes);
    AnswerMemory(const AnswerMemory &) = delete;
    auto operator=(const AnswerMemory &) -> AnswerMemory & = delete;

    class Answer;

    /// Looks up the sockets, at `port`, of answers that stand still and have none, so that their
    /// writes can be ended. To be called now and then: it takes too long for the threads that hand
    /// answers over.
    auto findSockets(std::uint16_t port) -> void;
    /// Lets so many answers give way at most that stand still, and returns how many did.
    auto dropStill(std::size_t most) -> std::size_t;
    /// Gives freed memory back to the system if much was. To be called now and then, by one thread.
    auto trim() -> void;
    /// Returns how many gave way since the last call.
    [[nodiscard]] auto takeGivenWay() -> std::uint64_t;

private:
    /// Whether what is kept, and will not be freed soon, is too much.
    [[nodiscard]] auto isOver() const -> bool { return kept_ - leaving_ > limit_; }
    auto dropStillest() -> bool;
    auto dropLargest() -> void;
    auto drop(Answer &answer) -> void;

    std::mutex mutex_; ///< Guards what follows and each `Answer`; held when hooks are called.
    std::size_t limit_;
    std::size_t kept_ = 0;
    std::size_t leaving_ = 0; ///< Of `kept_`, what belongs to answers that gave way.
    std::list<Answer *> answers_;
    std::uint64_t gaveWay_ = 0;
    telemetry::HeapTrimmer heap_; ///< Used by `trim` alone.
};

/// One answer. Thread-safe but for `beginWrite` and `endWrite`, which the writing thread calls.
class AnswerMemory::Answer
{
public:
    /// `caller` is the name of the connection's other end.
    Answer(std::shared_ptr<AnswerMemory> memory, std::string caller);
    ~Answer();
    Answer(const Answer &) = delete;
    auto operator=(const Answer &) -> Answer & = delete;

    /// Keeps so many bytes more; others give way if there is no room. Returns false if this answer
    /// has given way.
    [[nodiscard]] auto keep(std::size_t bytes) -> bool;
    auto release(std::size_t bytes) -> void;
    [[nodiscard]] auto hasGivenWay() const -> bool;
    /// Calls `hook` when the answer gives way, by any thread, with the memory's lock held. It is
    /// not called any more once another one, or none, was set.
    auto onGivenWay(std::function<void()> hook) -> void;

    /// The socket that the answer is written to; owned by the library, which closes it after the
    /// answer's end.
    auto setSocket(int socket) -> void;
    /// A part of the answer is being written from now on, and then no longer.
    auto beginWrite() -> void;
    auto endWrite() -> void;

private:
    friend class AnswerMemory;

    /// Whether a write has lasted for `time`.
    [[nodiscard]] auto isStillFor(core::Duration time) const -> bool;
    /// Ends the present write, if there is one and its socket is known.
    auto endWriteNow() const -> void;

    std::shared_ptr<AnswerMemory> memory_;
    std::string caller_;
    std::size_t kept_ = 0;
    bool gaveWay_ = false;
    std::function<void()> onGivenWay_;
    int socket_ = -1; ///< Of streams looked up once a write stands still.
    /// When the present write began, 0 if there is none. Not guarded: each part of each stream
    /// would otherwise take the lock twice.
    std::atomic<core::Instant::rep> writingSince_{0};
};

} // namespace applehatch::process
