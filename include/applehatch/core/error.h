/// The closed list of error kinds and the table from kind to answer.
#pragma once

#include "applehatch/core/identity.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace applehatch::core {

/// Everything that a caller can be told went wrong.
enum class ErrorKind {
    BadRequest = 1, ///< The request cannot be read, or a header is out of range.
    BodyTooLarge,
    UnknownCustomer,
    UnknownModel,
    UnknownPath,
    Unauthorized,
    DeadlineUnmeetable, ///< Refused on arrival: the queue would outlast the deadline.
    DeadlineExceeded,
    Overloaded, ///< Every candidate is at its bound or its queue is full.
    CustomerLimit,
    NoUpstream, ///< No live member could be reached.
    UpstreamLeaving,
    UpstreamFailed, ///< The upstream answered with a failure or broke off.
    UpstreamCrashed,
    CrashSuspect,   ///< This request crashed upstreams before; final.
    AnswerLost,     ///< The answer can no longer be resumed.
    OutcomeUnknown, ///< A run-once request may have run; never run again.
    TicketExpired,
    KeyReused,        ///< The idempotency key was used with another body.
    ResendWindow,     ///< The key's upstream restarted; refused until the window has passed.
    StaleIncarnation, ///< Addressed to an earlier life of the sidecar.
    Revoked,
    Draining, ///< This router is stopping.
    NotReady, ///< No settings are in force yet.
    Internal,
};

/// What is known about whether the request ran at an upstream.
enum class Run {
    NotRun,
    Ran,
    Unknown,
};

/// How one kind is told to a caller.
struct ErrorAnswer
{
    ErrorKind kind;
    int status;            ///< HTTP status.
    std::string_view name; ///< `kind` in the problem document, such as `deadline-exceeded`.
    std::string_view title;
    bool retryElsewhere; ///< A router may try another upstream when the run is `NotRun`.
    bool mayRepeat;      ///< The caller may send it again after `Retry-After`.
};

/// A failure on its way to a caller.
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    Run run = Run::NotRun;
    std::string detail; ///< For people; never parsed.
    std::optional<Duration> retryAfter;

    auto operator==(const Failure &) const -> bool = default;
};

/// The row of the table for a kind.
[[nodiscard]] auto answerFor(ErrorKind kind) -> const ErrorAnswer &;

/// `not-run`, `ran` or `unknown`.
[[nodiscard]] auto runName(Run run) -> std::string_view;

/// The category of `ErrorKind` codes; its messages are the table's titles.
[[nodiscard]] auto errorCategory() -> const std::error_category &;

[[nodiscard]] auto make_error_code(ErrorKind kind) -> std::error_code;

} // namespace applehatch::core

template <>
struct std::is_error_code_enum<applehatch::core::ErrorKind> : std::true_type
{ };
