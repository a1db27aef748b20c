/// The decision logic of a sidecar, which has sole authority over its upstream.
#pragma once

#include "applehatch/core/load-table.h"
#include "applehatch/core/log-line.h"
#include "applehatch/core/membership.h"
#include "applehatch/core/message.h"
#include "applehatch/core/router-node.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace applehatch::core {

/// A connection from a router or another sidecar. Numbered by the host; numbers are not reused.
using LinkId = std::uint64_t;

/// One run of a request at the upstream. Numbered by the node.
using RunId = std::uint64_t;

struct PeerLinkUp
{
    LinkId link = 0;
};

struct PeerLinkDown
{
    LinkId link = 0;
};

/// The process at the other end received what was sent to it. The host may report only some of
/// these.
struct PeerResponded
{
    LinkId link = 0;
};

struct FromPeer
{
    LinkId link = 0;
    Message message;
};

/// The upstream began to answer.
struct RunHead
{
    RunId run = 0;
    int status = 200;
    Headers headers;
    bool warm = false; ///< The engine found the chat's context in its cache.
};

struct RunChunk
{
    RunId run = 0;
    std::string data;
};

/// The upstream marked its answer as complete.
struct RunEnd
{
    RunId run = 0;
};

/// The reason why a run ended without a complete answer.
enum class RunBreak {
    NeverSent,  ///< No connection could be made, so the request did not run.
    Lost,       ///< The connection broke after sending, so the request may have run.
    EndedEarly, ///< The upstream closed the answer before its end marker.
    Silent,     ///< No byte arrived for longer than the upstream's longest pause.
};

struct RunBroken
{
    RunId run = 0;
    RunBreak how = RunBreak::Lost;
};

/// The status of the upstream, polled by the host.
struct UpstreamReport
{
    bool reachable = false;
    std::string epoch; ///< Changes when the upstream process restarts.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<std::string> models; ///< Models that are loaded.
    std::uint64_t fence = 0; ///< Highest fencing number seen by the upstream; 0 if it keeps none.
};

/// Events of the engine's prefix cache, which may be late and have gaps.
struct CacheEvents
{
    std::vector<ChatKey> stored;
    std::vector<ChatKey> evicted;
    bool gap = false; ///< Events before these were lost.
};

/// The engine answered an order.
struct OrderAnswered
{
    std::uint64_t fence = 0;
    bool done = false;
    std::string detail;
};

/// The KV cache of a chat was imported or refused by `to`.
struct HandoffDone
{
    ChatKey chat = 0;
    UpstreamId to = 0;
    bool done = false;
};

using SidecarEvent =
    std::variant<PeerLinkUp, PeerLinkDown, PeerResponded, FromPeer, RunHead, RunChunk, RunEnd,
                 RunBroken, UpstreamReport, CacheEvents, OrderAnswered, HandoffDone, DigestReceived,
                 SettingsInForce, HostListRead, Tick, DrainRequested>;

/// Send `message` over an open link.
struct SendToPeer
{
    LinkId link = 0;
    Message message;
};

/// Close a link that timed out. No `PeerLinkDown` is reported for this link.
struct ClosePeer
{
    LinkId link = 0;
};

/// Send `message` to another sidecar; loss is tolerated.
struct SendToUpstreamPeer
{
    UpstreamId upstream = 0;
    Message message;
};

/// Call the upstream. With `resumeFrom`, an engine continues a stream that it still has from that
/// offset.
struct StartRun
{
    RunId run = 0;
    RequestId request;
    Call call;
    int priority = 0;
    ChatKey chat = 0;
    Duration remaining{0}; ///< Time until the deadline.
    std::uint64_t resumeFrom = 0;
};

/// Cancel the run at the upstream. A `RunBroken` or `RunEnd` of the run may still arrive.
struct CancelRun
{
    RunId run = 0;
};

enum class OrderKind {
    LoadModel,
    UnloadModel,
};

/// Send the engine an order with a fencing number.
struct GiveOrder
{
    std::uint64_t fence = 0;
    OrderKind kind = OrderKind::LoadModel;
    std::string model;
};

/// Export a chat's KV cache and import it at `to`.
struct HandOff
{
    ChatKey chat = 0;
    UpstreamId to = 0;
};

using SidecarAction = std::variant<SendToPeer, ClosePeer, SendToUpstreamPeer, StartRun, CancelRun,
                                   GiveOrder, HandOff, SendDigest, WriteLog, Drained>;

/// The identity of a sidecar.
struct SidecarIdentity
{
    std::string team;
    std::string pool;
    std::string member;
    std::string dataCenter;
    Incarnation incarnation = 1; ///< Increases with each restart of this sidecar.
    std::uint64_t seed = 0;
};

/// Limits of one sidecar; all apply at the same time.
struct SidecarLimits
{
    std::size_t answerBytes = 64U << 20U; ///< Bytes of all answers stored for resuming.
    std::size_t unacknowledgedBytesPerAnswer = 4U << 20U; ///< Unacknowledged bytes of one answer.
    std::size_t keys = 200000;     ///< Entries of the table of idempotency keys.
    std::size_t pointers = 100000; ///< Entries of the table of moved chats.
    std::size_t tombstones =
        100000; ///< Entries of each table of ended attempts or started requests.
    Duration answerLifetime =
        std::chrono::seconds(60); ///< After the answer ends, if not acknowledged.
    Duration digestInterval = std::chrono::seconds(1);
    std::size_t digestBytes = 1000;                    ///< Maximum size of a digest datagram.
    std::size_t unsolicitedEntries = 10;               ///< Entries of an unsolicited digest.
    std::size_t replyBytesPerSecond = 1500;            ///< Budget for digests sent in reply.
    Duration clockInterval = std::chrono::seconds(60); ///< Between heartbeats on a link in use.
    Duration linkTimeout =
        std::chrono::seconds(4); ///< Without a sign of its router, a link is closed.
    Duration unreadTimeout =
        std::chrono::seconds(15);         ///< A request that no link reads is cancelled after this.
    std::size_t recordBytes = 32U << 20U; ///< Bytes of recorded answers of idempotency keys.
    std::size_t crashNotices = 1000;
};

/// Counters and gauges that the host exports as metrics.
struct SidecarCounts
{
    std::uint64_t submitted = 0;
    std::uint64_t runs = 0;
    std::uint64_t refusedBound = 0;
    std::uint64_t refusedDeadline = 0;
    std::uint64_t refusedCrash = 0;
    std::uint64_t refusedLeaving = 0;
    std::uint64_t replays = 0;
    std::uint64_t redirects = 0;
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    std::uint64_t bound = 0; ///< Load at which the next request would be refused.
    std::uint64_t answerBytes = 0;
    std::uint64_t keys = 0;
    std::uint64_t pointers = 0;
    std::uint64_t crashes = 0;
};

/// The decision logic of a sidecar. Not thread-safe: the host holds a lock around each call.
class SidecarNode
{
public:
    explicit SidecarNode(SidecarIdentity identity, SidecarLimits limits = {});
    ~SidecarNode();
    SidecarNode(const SidecarNode &) = delete;
    auto operator=(const SidecarNode &) -> SidecarNode & = delete;

    /// Handles one event and returns the resulting actions in order.
    [[nodiscard]] auto handle(SidecarEvent event, Instant now) -> std::vector<SidecarAction>;

    [[nodiscard]] auto counts() const -> SidecarCounts;
    [[nodiscard]] auto state() const -> UpstreamState;
    [[nodiscard]] auto loads() const -> const LoadTable &;
    [[nodiscard]] auto settings() const -> SettingsPtr;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::core
