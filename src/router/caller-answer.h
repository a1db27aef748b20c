/// Writes the node's answer to one caller's connection.
#pragma once

#include "applehatch/process/http-server.h"

#include "caller-queue.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace applehatch::router {

/// Maximum size in bytes of an answer that is buffered completely before it is sent. Streams are
/// not buffered.
inline constexpr std::size_t maxBufferedAnswer = 16U << 20U;

/// Result of sending an answer to the caller.
enum class AnswerOutcome {
    Sent,               ///< Everything that the node produced was written.
    CallerDisconnected, ///< A write failed, or the caller read too slowly.
    TooLarge, ///< A buffered answer exceeded `maxBufferedAnswer`; the caller got an error.
    GaveWay,  ///< Other answers needed its memory; the caller got an error, if nothing else before.
};

/// Sends the answer of one exchange. Used only by the thread that serves the exchange.
class CallerAnswer
{
public:
    /// `onConsumed` receives how far the caller has consumed the answer, as a byte offset in the
    /// upstream's body.
    CallerAnswer(process::HttpExchange &exchange, core::RequestId request,
                 std::function<void(std::uint64_t)> onConsumed);

    /// Takes items from `queue` and writes them until the answer ends.
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
    /// Tells the caller that the answer gave way to others, if it has none of it yet.
    auto giveWay() -> AnswerOutcome;

    process::HttpExchange &exchange_;
    core::RequestId request_;
    std::function<void(std::uint64_t)> onConsumed_;
    std::optional<core::AnswerHead> head_;
    bool stream_ = false;
    std::string pending_;   ///< Streams: data not yet written. Otherwise: the answer so far.
    std::size_t taken_ = 0; ///< Memory of the items that `pending_` was made of.
    std::uint64_t offset_ = 0;
    std::uint64_t reported_ = 0;
    std::optional<AnswerOutcome> outcome_;
};

} // namespace applehatch::router
