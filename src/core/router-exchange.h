/// One exchange with a caller: a request, the rest of an answer, or a ticket.
#pragma once

#include "applehatch/core/router-node.h"

#include "router-body.h"
#include "router-pools.h"

#include <optional>
#include <string>
#include <vector>

namespace applehatch::core {

enum class ExchangeKind {
    Request,
    Resume, ///< The rest of an answer, begun through this or another router.
    Ticket,
};

enum class ExchangePhase {
    Waiting,   ///< For its link to open; nothing was sent for this attempt.
    Submitted, ///< The sidecar has it, or may have.
    Finished,  ///< The whole answer was passed on; the caller has not taken all of it.
    Detached,  ///< The caller left a stream that it may resume elsewhere.
};

/// What is known of two attempts together: that one ran outweighs that one may have.
[[nodiscard]] inline auto worse(Run a, Run b) -> Run
{
    if (a == Run::Ran || b == Run::Ran)
        return Run::Ran;
    return a == Run::Unknown || b == Run::Unknown ? Run::Unknown : Run::NotRun;
}

/// A member that a request did not go to, or not stay at.
struct PassedOver
{
    UpstreamId upstream = 0;
    std::string reason;
};

/// What has arrived of an answer, and what the caller has of it. Offsets count the body's bytes.
struct Answer
{
    bool headSent = false;
    bool stream = false;
    bool fromStart = true;   ///< Only then can the hash be checked.
    std::uint64_t start = 0; ///< The offset at which this exchange began.
    std::uint64_t received = 0;
    std::uint64_t passedOn = 0;
    std::uint64_t consumed = 0;
    std::uint64_t acknowledged = 0;
    bool gap = false; ///< Something later than `received` arrived.
    std::optional<End> end;
    BodyHash hash;
    EventSplitter events;
};

struct Exchange
{
    RequestId request; ///< Towards the caller.
    RequestId origin;  ///< Towards sidecars; another only for a resume.
    ExchangeKind kind = ExchangeKind::Request;
    ExchangePhase phase = ExchangePhase::Waiting;
    Terms terms;
    Call call;
    PoolRef pool;
    Instant deadline;

    UpstreamId tokenHome = 0;
    UpstreamId boundTo = 0;         ///< The only upstream this may go to; 0 leaves it free.
    Incarnation boundLife = 0;      ///< The only life of it; 0 accepts any before the first send.
    std::optional<Instant> expires; ///< A ticket's, on the clock of its sidecar.

    UpstreamId upstream = 0; ///< Where it is, or waits to go; 0 between attempts.
    std::string cause;       ///< Why it is there, for the log.
    std::uint32_t attempt = 0;
    Incarnation submittedTo = 0;
    std::uint32_t hops = 0; ///< Upstreams chosen so far, whether or not anything was sent.
    std::vector<UpstreamId> tried;
    std::vector<PassedOver> passedOver;
    UpstreamId home = 0;     ///< The home that could not take this chat.
    UpstreamId redirect = 0; ///< Named by a refusal and not yet tried.
    bool redirected = false;
    bool settling = false;    ///< A `Revoke` was sent to learn whether a lost submit arrived.
    bool resubmitted = false; ///< The first submit to this upstream never reached it.

    bool mayWait = false;  ///< The last submit asked to wait rather than be refused.
    Run run = Run::NotRun; ///< The worst that is known of the attempts that are over.
    std::vector<UpstreamId> crashedAt;
    std::optional<ErrorKind> lastKind;  ///< Why the last attempt ended.
    std::optional<Duration> retryAfter; ///< The shortest that a refusal named.

    Instant heardAt;                ///< Last message about this exchange, or its last send.
    std::optional<Instant> lostAt;  ///< When its link went, on the listening clock; none if well.
    std::optional<Instant> askedAt; ///< Last `Resume`.
    std::uint64_t askedFrom = 0;
    Instant leftAt; ///< When the phase became finished or detached.
    Answer answer;

    /// True when the request may be run again although an earlier attempt may have run.
    [[nodiscard]] auto mayRunAgain() const -> bool
    {
        if (kind != ExchangeKind::Request || terms.runOnce || boundTo != 0 || answer.headSent)
            return false;
        return pool.pool->kind == settings::PoolKind::Model || call.method == "GET"
            || call.method == "HEAD";
    }

    /// True while a caller waits for more.
    [[nodiscard]] auto isAnswering() const -> bool
    {
        return phase == ExchangePhase::Waiting || phase == ExchangePhase::Submitted;
    }
};

} // namespace applehatch::core
