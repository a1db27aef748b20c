/// Writes one caller's answer as the node gives it.
#pragma once

#include "applehatch/process/http-server.h"

#include "caller-queue.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace applehatch::router {

/// Largest answer that is held whole before it is sent, in bytes; streams are not held.
inline constexpr std::size_t maxBufferedAnswer = 16U << 20U;

/// How an answer ended for the caller's connection.
enum class AnswerOutcome {
    Sent,       ///< Everything that the node gave was written.
    CallerLeft, ///< A write failed, or the caller read too slowly.
    TooLarge,   ///< A buffered answer beyond `maxBufferedAnswer`; the caller was told.
};

/// Serves one exchange; used by its thread only.
class CallerAnswer
{
public:
    /// `onConsumed` is told how far the caller took the answer, as offsets of the upstream's body.
    CallerAnswer(process::HttpExchange &exchange, core::RequestId request,
                 std::function<void(std::uint64_t)> onConsumed);

    /// Takes items from `queue` until the answer is over.
    [[nodiscard]] auto serve(CallerQueue &queue) -> AnswerOutcome;

private:
    auto take(core::AnswerHead &head) -> bool;
    auto take(core::AnswerChunk &chunk) -> bool;
    auto take(core::AnswerEnd &end) -> bool;
    auto take(core::AnswerFailure &failure) -> bool;
    auto take(core::AnswerTicket &ticket) -> bool;
    auto flush() -> bool;
    auto reportConsumed() -> void;
    auto sendProblem(const core::Failure &failure) -> bool;

    process::HttpExchange &exchange_;
    core::RequestId request_;
    std::function<void(std::uint64_t)> onConsumed_;
    std::optional<core::AnswerHead> head_;
    bool stream_ = false;
    std::string pending_; ///< Of a stream: not yet written. Otherwise: the answer so far.
    std::uint64_t offset_ = 0;
    std::uint64_t reported_ = 0;
    std::optional<AnswerOutcome> outcome_;
};

} // namespace applehatch::router
