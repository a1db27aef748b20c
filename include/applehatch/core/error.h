/// The error kinds and the HTTP answer to each.
#pragma once

#include "applehatch/core/identity.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace applehatch::core {

/// Every kind of error that is reported to callers.
enum class ErrorKind {
    BadRequest = 1, ///< The request is malformed or a header is out of range.
    BodyTooLarge,
    UnknownCustomer,
    UnknownModel,
    UnknownPath,
    Unauthorized,
    DeadlineUnmeetable, ///< Refused because the queue would outlast the deadline.
    DeadlineExceeded,
    Overloaded, ///< Every candidate is at its load bound or its queue is full.
    CustomerLimit,
    NoUpstream, ///< No live pool member could be reached.
    UpstreamLeaving,
    UpstreamFailed, ///< The upstream answered with a failure or closed the answer early.
    UpstreamCrashed,
    CrashSuspect,   ///< This request crashed upstreams before; not retried.
    AnswerLost,     ///< The answer can no longer be resumed.
    OutcomeUnknown, ///< A run-once request may have run and is not run again.
    TicketExpired,
    KeyReused,        ///< The idempotency key was used with another request body.
    ResendWindow,     ///< The key's upstream restarted; refused until the resend window has passed.
    StaleIncarnation, ///< Addressed to an earlier incarnation of the sidecar.
    Revoked,
    Draining, ///< This router is stopping.
    NotReady, ///< No settings are in force yet.
    Internal,
};

/// Whether a request ran at an upstream, as far as is known.
enum class Run {
    NotRun,
    Ran,
    Unknown,
};

/// The HTTP answer to one kind of error.
struct ErrorAnswer
{
    ErrorKind kind;
    int status;            ///< HTTP status.
    std::string_view name; ///< `kind` in the problem document, such as `deadline-exceeded`.
    std::string_view title;
    bool retryElsewhere; ///< A router may try another upstream if the request is `NotRun`.
    bool mayRepeat;      ///< The caller may send the request again after `Retry-After`.
};

/// The failure of a request, as reported to its caller.
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    Run run = Run::NotRun;
    std::string detail; ///< Human-readable; never parsed.
    std::optional<Duration> retryAfter;

    auto operator==(const Failure &) const -> bool = default;
};

/// Returns the answer to errors of `kind`; that of `Internal` for a value outside the enumeration.
[[nodiscard]] auto answerFor(ErrorKind kind) -> const ErrorAnswer &;

/// Returns `not-run`, `ran` or `unknown`.
[[nodiscard]] auto runName(Run run) -> std::string_view;

/// The category of `ErrorKind` codes. Its messages are the titles of the answers.
[[nodiscard]] auto errorCategory() -> const std::error_category &;

[[nodiscard]] auto make_error_code(ErrorKind kind) -> std::error_code;

} // namespace applehatch::core

template <>
struct std::is_error_code_enum<applehatch::core::ErrorKind> : std::true_type
{ };
