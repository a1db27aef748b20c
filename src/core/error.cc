#include "applehatch/core/error.h"

#include <algorithm>
#include <array>

namespace applehatch::core {

namespace {

// Columns: kind, status, name, title, retryElsewhere, mayRepeat.
constexpr std::array answers{
    ErrorAnswer{ErrorKind::BadRequest, 400, "bad-request", "The request cannot be read", false,
                false},
    ErrorAnswer{ErrorKind::BodyTooLarge, 413, "body-too-large", "The body is too large", false,
                false},
    ErrorAnswer{ErrorKind::UnknownCustomer, 403, "unknown-customer", "No such customer", false,
                false},
    ErrorAnswer{ErrorKind::UnknownModel, 404, "unknown-model", "No pool serves this model", false,
                false},
    ErrorAnswer{ErrorKind::UnknownPath, 404, "unknown-path", "No pool serves this path", false,
                false},
    ErrorAnswer{ErrorKind::Unauthorized, 401, "unauthorized", "The token is missing or wrong",
                false, false},
    ErrorAnswer{ErrorKind::DeadlineUnmeetable, 503, "deadline-unmeetable",
                "The deadline cannot be met", true, true},
    ErrorAnswer{ErrorKind::DeadlineExceeded, 504, "deadline-exceeded", "The deadline passed", false,
                true},
    ErrorAnswer{ErrorKind::Overloaded, 503, "overloaded", "Every upstream is at its bound", true,
                true},
    ErrorAnswer{ErrorKind::CustomerLimit, 429, "customer-limit", "The customer is at its limit",
                true, true},
    ErrorAnswer{ErrorKind::NoUpstream, 503, "no-upstream", "No upstream can be reached", true,
                true},
    ErrorAnswer{ErrorKind::UpstreamLeaving, 503, "upstream-leaving", "The upstream is leaving",
                true, true},
    ErrorAnswer{ErrorKind::UpstreamFailed, 502, "upstream-failed",
                "The upstream broke off its answer", true, true},
    ErrorAnswer{ErrorKind::UpstreamCrashed, 502, "upstream-crashed", "The upstream crashed", true,
                true},
    ErrorAnswer{ErrorKind::CrashSuspect, 422, "crash-suspect", "This request crashed upstreams",
                false, false},
    ErrorAnswer{ErrorKind::AnswerLost, 410, "answer-lost", "The answer can no longer be resumed",
                false, true},
    ErrorAnswer{ErrorKind::OutcomeUnknown, 409, "outcome-unknown", "The request may have run",
                false, false},
    ErrorAnswer{ErrorKind::TicketExpired, 410, "ticket-expired", "The ticket has expired", false,
                false},
    ErrorAnswer{ErrorKind::KeyReused, 422, "key-reused", "The key was used with another request",
                false, false},
    ErrorAnswer{ErrorKind::ResendWindow, 409, "resend-window", "The key's upstream changed lately",
                false, true},
    ErrorAnswer{ErrorKind::StaleIncarnation, 503, "stale-incarnation",
                "The upstream's sidecar restarted", true, true},
    ErrorAnswer{ErrorKind::Revoked, 499, "revoked", "The attempt was revoked", false, true},
    ErrorAnswer{ErrorKind::Draining, 503, "draining", "This router is stopping", true, true},
    ErrorAnswer{ErrorKind::NotReady, 503, "not-ready", "No settings are in force yet", true, true},
    ErrorAnswer{ErrorKind::Internal, 500, "internal", "Internal error", false, true},
};

class Category : public std::error_category
{
public:
    [[nodiscard]] auto name() const noexcept -> const char * override { return "applehatch"; }

    [[nodiscard]] auto message(int code) const -> std::string override
    {
        return std::string(answerFor(static_cast<ErrorKind>(code)).title);
    }
};

} // namespace

auto answerFor(ErrorKind kind) -> const ErrorAnswer &
{
    const auto row =
        std::find_if(answers.begin(), answers.end(),
                     [kind](const ErrorAnswer &answer) { return answer.kind == kind; });
    return row == answers.end() ? answers.back() : *row;
}

auto runName(Run run) -> std::string_view
{
    switch (run) {
    case Run::NotRun:
        return "not-run";
    case Run::Ran:
        return "ran";
    case Run::Unknown:
        break;
    }
    return "unknown";
}

auto errorCategory() -> const std::error_category &
{
    static const Category category;
    return category;
}

auto make_error_code(ErrorKind kind) -> std::error_code
{
    return {static_cast<int>(kind), errorCategory()};
}

} // namespace applehatch::core
