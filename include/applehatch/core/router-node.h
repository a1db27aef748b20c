/// The router's decision logic: takes events with their time and returns actions.
#pragma once

#include "applehatch/core/load-table.h"
#include "applehatch/core/log-line.h"
#include "applehatch/core/membership.h"
#include "applehatch/core/message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace applehatch::core {

/// A caller's request after its headers were read and checked.
struct CallerRequest
{
    RequestId request;
    Terms terms; ///< `pool` may be empty; the node finds it from model or path.
    Call call;
    std::string contextToken;         ///< Echoed from an earlier answer; empty without one.
    std::string ticket;               ///< Run-once ticket; empty without one.
    std::optional<Duration> deadline; ///< From now; the pool's default without one.
};

/// A caller asks for the rest of an answer, at any router.
struct CallerResume
{
    RequestId request;    ///< Identifies this exchange with the caller.
    std::string position; ///< The last `Last-Event-ID` that the caller received.
    std::string team;
    std::string customer;
};

/// A caller asks for a run-once ticket.
struct TicketRequest
{
    RequestId request;
    std::string team;
    std::string customer;
    std::string pool;
};

/// The caller received everything before `offset`.
struct CallerConsumed
{
    RequestId request;
    std::uint64_t offset = 0;
};

/// The caller's connection closed before its answer was complete.
struct CallerDisconnected
{
    RequestId request;
};

/// A connection to a sidecar opened, and its first heartbeat was read.
struct LinkUp
{
    UpstreamId upstream = 0;
    Incarnation incarnation = 0;
    Instant clock; ///< The sidecar's clock.
};

/// A connection to a sidecar failed or could not be opened.
struct LinkDown
{
    UpstreamId upstream = 0;
};

struct FromSidecar
{
    UpstreamId upstream = 0;
    Message message;
};

struct DigestReceived
{
    Digest digest;
};

struct SettingsInForce
{
    SettingsPtr settings;
};

struct HostListRead
{
    HostList list;
};

/// Sent by the host about every 50 ms.
struct Tick
{ };

/// The process was asked to stop.
struct DrainRequested
{ };

using RouterEvent = std::variant<CallerRequest, CallerResume, TicketRequest, CallerConsumed,
                                 CallerDisconnected, LinkUp, LinkDown, FromSidecar, DigestReceived,
                                 SettingsInForce, HostListRead, Tick, DrainRequested>;

/// Send `message`. The host opens the connection when there is none, and reports `LinkUp` or
/// `LinkDown`. Messages to one upstream keep their order.
struct SendToSidecar
{
    UpstreamId upstream = 0;
    Message message;
};

/// Open a connection without sending anything.
struct OpenLink
{
    UpstreamId upstream = 0;
};

/// Close a connection that went silent or did not open in time. No `LinkDown` is reported for it.
struct DropLink
{
    UpstreamId upstream = 0;
};

/// Begin answering a caller.
struct AnswerHead
{
    RequestId request;
    int status = 200;
    Headers headers;
};

/// The next part of a caller's answer; offsets are those of the upstream's body.
struct AnswerChunk
{
    RequestId request;
    std::uint64_t offset = 0;
    std::string data;
    std::string position; ///< What the caller sends as `Last-Event-ID` to go on after this part.
};

/// The answer is complete.
struct AnswerEnd
{
    RequestId request;
};

/// The request failed; after an `AnswerHead` the failure is sent within the stream.
struct AnswerFailure
{
    RequestId request;
    Failure failure;
};

/// A run-once ticket was issued.
struct AnswerTicket
{
    RequestId request;
    std::string ticket;
    Duration lifetime{0};
};

/// Ask a random sidecar for its digest over UDP.
struct SendDigest
{
    UpstreamId upstream = 0; ///< 0 replies to the sender of the digest being handled.
    Digest digest;
};

/// Write one log line.
struct WriteLog
{
    LogLine line;
};

/// Everything in flight is finished; the process may exit.
struct Drained
{ };

using RouterAction =
    std::variant<SendToSidecar, OpenLink, DropLink, AnswerHead, AnswerChunk, AnswerEnd,
                 AnswerFailure, AnswerTicket, SendDigest, WriteLog, Drained>;

/// One member considered for a request, and why it was passed over.
struct Candidate
{
    UpstreamId upstream = 0;
    std::string name;
    bool chosen = false;
    std::string reason; ///< Such as `token`, `leaving`, `at-bound`, `link-down`.
    std::uint32_t load = 0;
    std::uint32_t bound = 0;
};

/// The input of a placement hook.
struct PlacementView
{
    const Pool &pool;
    const LoadTable &loads;
    ChatKey chat;
    UpstreamId tokenUpstream; ///< 0 without a context token.
    /// Members not known to be leaving, down or already tried, in the order of `pool.members`.
    std::vector<UpstreamId> usable;
    std::string_view ownDataCenter;
    Instant now;
    PoolLoad poolLoad; ///< Load of `pool`, at most a few ticks old; empty without any report.
    Fingerprint fingerprint = 0; ///< The request's; 0 when only the chat is looked up.
};

/// Orders the usable members, best first.
using Placement = std::function<std::vector<UpstreamId>(const PlacementView &, Random &)>;

/// Identity of the router process.
struct RouterIdentity
{
    std::string name;
    std::string dataCenter;
    std::uint64_t seed = 0;
};

/// Counts that the host exports as metrics.
struct RouterCounts
{
    std::uint64_t received = 0;
    std::uint64_t attempts = 0; ///< Submits sent; divided by `received` it is the amplification.
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< Safe to retry, but the budget was spent.
    std::uint64_t failures = 0;
    std::uint64_t warm = 0; ///< Answers that found the chat's context.
    std::uint64_t resumed = 0;
    std::uint64_t inFlight = 0;
};

/// The router's decision logic. Not thread-safe: the host holds its lock around each call.
class RouterNode
{
public:
    explicit RouterNode(RouterIdentity identity);
    RouterNode(RouterIdentity identity, Placement placement);
    ~RouterNode();
    RouterNode(const RouterNode &) = delete;
    auto operator=(const RouterNode &) -> RouterNode & = delete;

    /// Handles one event and returns the actions to carry out, in order.
    [[nodiscard]] auto handle(RouterEvent event, Instant now) -> std::vector<RouterAction>;

    /// The candidates for the next request of `chat`, best first; changes nothing.
    /// `chat` is the chat's name; `Terms::chat` of a `CallerRequest` is its `stableHash`.
    [[nodiscard]] auto explain(const std::string &team, const std::string &pool,
                               const std::string &chat, const std::string &contextToken,
                               Instant now) const -> std::vector<Candidate>;

    [[nodiscard]] auto counts() const -> RouterCounts;
    [[nodiscard]] auto ready() const -> bool; ///< Settings in force, and not draining.
    [[nodiscard]] auto draining() const -> bool;
    [[nodiscard]] auto loads() const -> const LoadTable &;
    [[nodiscard]] auto settings() const -> SettingsPtr;
    /// Whether a running request, or an answer just sent, depends on the link to `upstream`.
    [[nodiscard]] auto dependsOn(UpstreamId upstream) const -> bool;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::core
