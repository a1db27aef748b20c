/// State of one exchange with a caller: a request, the rest of an answer, or a ticket.
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
    Resume, ///< The rest of an answer that began through this or another router.
    Ticket,
};

enum class ExchangePhase {
    Waiting,   ///< Waits for its link to open; nothing was sent for this attempt.
    Submitted, ///< The sidecar has the request, or may have it.
    Finished,  ///< The whole answer was passed on; the caller has not received all of it.
    Detached,  ///< The caller left a stream that it may resume elsewhere.
};

/// Combines the outcomes of two attempts: `Ran` outweighs `Unknown`, which outweighs `NotRun`.
[[nodiscard]] inline auto worse(Run a, Run b) -> Run
{
    if (a == Run::Ran || b == Run::Ran)
        return Run::Ran;
    return a == Run::Unknown || b == Run::Unknown ? Run::Unknown : Run::NotRun;
}

/// A member that was skipped for a request, or that the request left.
struct PassedOver
{
    UpstreamId upstream = 0;
    std::string reason;
};

/// Progress of an answer from the upstream to the caller. Offsets are bytes of the body.
struct Answer
{
    bool headSent = false;
    bool stream = false;
    bool fromStart = true;   ///< The hash can only be checked for an answer from its start.
    std::uint64_t start = 0; ///< The offset at which this exchange began.
    std::uint64_t received = 0;
    std::uint64_t passedOn = 0;
    std::uint64_t consumed = 0;
    std::uint64_t acknowledged = 0;
    bool gap = false; ///< Data or an end beyond `received` arrived.
    std::optional<End> end;
    BodyHash hash;
    EventSplitter events;
};

struct Exchange
{
    RequestId request; ///< Id towards the caller.
    RequestId origin;  ///< Id towards sidecars; differs from `request` only for a resume.
    ExchangeKind kind = ExchangeKind::Request;
    ExchangePhase phase = ExchangePhase::Waiting;
    Terms terms;
    Call call;
    PoolRef pool;
    Instant deadline;

    UpstreamId tokenUpstream = 0;
    UpstreamId boundTo = 0; ///< The only upstream that may serve this; 0 allows any.
    Incarnation boundIncarnation =
        0; ///< The only accepted incarnation of `boundTo`; 0 accepts any before the first send.
    std::optional<Instant> expires; ///< Expiry of a ticket, on the clock of its sidecar.

    UpstreamId upstream = 0; ///< The upstream of the current attempt; 0 between attempts.
    std::string cause;       ///< Why `upstream` was chosen, for the log.
    std::uint32_t attempt = 0;
    Incarnation submittedTo = 0;
    std::uint32_t hops = 0; ///< Upstreams chosen so far, whether or not anything was sent.
    std::vector<UpstreamId> tried;
    std::vector<PassedOver> passedOver;
    UpstreamId movedFrom = 0; ///< The first upstream that could not take this chat.
    UpstreamId redirect = 0;  ///< Upstream named by a refusal and not yet tried.
    bool redirected = false;
    bool awaitingRevoked = false; ///< A `Revoke` was sent to learn whether a lost submit arrived.
    bool resubmitted = false;     ///< The first submit to this upstream never arrived.

    bool mayWait = false;  ///< The last submit asked to wait rather than be refused.
    Run run = Run::NotRun; ///< Combined outcome of the attempts that ended.
    std::vector<UpstreamId> crashedAt;
    std::optional<ErrorKind> lastKind;  ///< Why the last attempt ended.
    std::optional<Duration> retryAfter; ///< The shortest time that a refusal named.

    Instant lastActivityAt; ///< Time of the last message about this exchange, or of its last send.
    std::optional<Instant>
        linkLostAt; ///< When its link was lost, on the listening clock; none while it works.
    std::optional<Instant> lastResumeAt; ///< Time of the last `Resume`.
    std::uint64_t lastResumeOffset = 0;
    Instant endedAt; ///< When the phase became finished or detached.
    Answer answer;

    /// True when the request may be run again although an earlier attempt may have run.
    [[nodiscard]] auto mayRunAgain() const -> bool
    {
        if (kind != ExchangeKind::Request || terms.runOnce || boundTo != 0 || answer.headSent)
            return false;
        return pool.pool->kind == settings::PoolKind::Model || call.method == "GET"
            || call.method == "HEAD";
    }

    /// True while the caller waits for more of the answer.
    [[nodiscard]] auto isAnswering() const -> bool
    {
        return phase == ExchangePhase::Waiting || phase == ExchangePhase::Submitted;
    }
};

} // namespace applehatch::core
