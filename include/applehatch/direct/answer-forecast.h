/// Whether an answer will end within a given time, for a process that is shutting down.
#pragma once

#include "applehatch/direct/answer-times.h"
#include "applehatch/direct/stream-duration-estimator.h"

#include <cstdint>
#include <optional>
#include <string>

namespace applehatch::direct {

/// Answers that are expected to take about as long as one another.
struct AnswerKind
{
    std::string route;
    std::string service;
    bool isStream = false;
    std::uint32_t maxTokens = 0; ///< Most tokens of a streamed answer; 0 if unknown.
};

/// How many known answers took longer than is left, in words for the log.
[[nodiscard]] auto tookLongerText(Duration left, const LongerShare &longer) -> std::string;

/// Foresees whether an answer ends in time from how long the latest of its kind took.
///
/// Streams of one route differ by their tokens, so those of a route that are allowed between a
/// power of two and the next are one kind. Tokens alone decide only while next to nothing is known
/// of a kind: an engine may take the time of a long answer for a few tokens. Not thread-safe.
class AnswerForecast
{
public:
    /// Of so many latest answers of a kind, two that take too long show that it has turned slow.
    static constexpr std::size_t latestAnswers = 32;
    static constexpr std::size_t slowAnswers = 2;

    auto noteBegun(const AnswerKind &kind, Instant at) -> void;
    /// Records that an answer whose request came at `at` no longer runs; see
    /// `AnswerTimes::noteEnded`.
    auto noteEnded(const AnswerKind &kind, Instant at, bool isWhole, Instant now) -> void;
    /// Records that a stream took `duration` from its first event to its last.
    auto noteStream(std::uint32_t maxTokens, Duration duration) -> void;

    /// Why an answer that begins now would probably not end within `left`, in words for the log;
    /// none if it would. At most the share `toleratedShare` of its kind may take longer.
    [[nodiscard]] auto whyNotWithin(const AnswerKind &kind, Duration left, double toleratedShare,
                                    Instant now) const -> std::optional<std::string>;
    /// Counts the latest answers of the kind that took longer than `limit`.
    [[nodiscard]] auto longerThan(const AnswerKind &kind, Duration limit, Instant now) const
        -> LongerShare;
    auto expire(Instant now) -> void { times_.expire(now); }

private:
    AnswerTimes times_;
    StreamDurationEstimator pace_;
};

} // namespace applehatch::direct
