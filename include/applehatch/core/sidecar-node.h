/// The sidecar's decisions: the authority for its upstream.
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

/// One connection from a router or another sidecar; numbered by the host, never reused.
using LinkId = std::uint64_t;

/// One run of one request at the upstream; numbered by the node.
using RunId = std::uint64_t;

struct PeerLinkUp
{
    LinkId link = 0;
};

struct PeerLinkDown
{
    LinkId link = 0;
};

/// The process at the other end took what was sent to it. The host need not tell each time.
struct PeerResponded
{
    LinkId link = 0;
};

struct FromPeer
{
    LinkId link = 0;
    Message message;
};

/// The upstream's answer began.
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

/// The upstream said that its answer is whole.
struct RunEnd
{
    RunId run = 0;
};

/// How a run ended without a whole answer.
enum class RunBreak {
    NeverSent,  ///< No connection could be made: it did not run.
    Lost,       ///< The connection broke after sending: it may have run.
    EndedEarly, ///< The upstream closed the answer before its end marker.
    Silent,     ///< No byte for longer than the upstream ever pauses.
};

struct RunBroken
{
    RunId run = 0;
    RunBreak how = RunBreak::Lost;
};

/// What the upstream says of itself, polled by the host.
struct UpstreamReport
{
    bool reachable = false;
    std::string epoch; ///< Changes when the upstream process restarts.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<std::string> models; ///< What it holds.
    std::uint64_t fence = 0;         ///< Highest fencing number it has seen; 0 when it keeps none.
};

/// Late and gappy word from the engine about its prefix cache.
struct CacheEvents
{
    std::vector<ChatKey> stored;
    std::vector<ChatKey> evicted;
    bool gap = false; ///< Events before these were lost.
};

/// An order to the engine was answered.
struct OrderAnswered
{
    std::uint64_t fence = 0;
    bool done = false;
    std::string detail;
};

/// KV cache of a chat arrived at, or was refused by, its next home.
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

/// Carry `message` over an open link.
struct SendToPeer
{
    LinkId link = 0;
    Message message;
};

/// Close a link that went silent. A `PeerLinkDown` is not reported for it.
struct ClosePeer
{
    LinkId link = 0;
};

/// Carry `message` to another sidecar; loss is tolerated.
struct SendToUpstreamPeer
{
    UpstreamId upstream = 0;
    Message message;
};

/// Call the upstream. `resumeFrom` asks an engine to go on with a stream it still holds.
struct StartRun
{
    RunId run = 0;
    RequestId request;
    Call call;
    int priority = 0;
    ChatKey chat = 0;
    Duration remaining{0}; ///< Until the deadline.
    std::uint64_t resumeFrom = 0;
};

/// Cancel the run at the upstream; a `RunBroken` or `RunEnd` may still arrive for it.
struct CancelRun
{
    RunId run = 0;
};

enum class OrderKind {
    LoadModel,
    UnloadModel,
};

/// Give the engine an order with this fencing number.
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

/// What the host knows of itself.
struct SidecarIdentity
{
    std::string team;
    std::string pool;
    std::string member;
    std::string dataCenter;
    Incarnation incarnation = 1; ///< Larger in each later life of this sidecar.
    std::uint64_t seed = 0;
};

/// Limits on what one sidecar keeps; all in force at once.
struct SidecarLimits
{
    std::size_t answerBytes = 64U << 20U;               ///< Answers kept for resuming, in all.
    std::size_t answerBytesEach = 4U << 20U;            ///< Unacknowledged bytes of one answer.
    std::size_t keys = 200000;                          ///< Idempotency keys.
    std::size_t pointers = 100000;                      ///< Where chats have moved.
    std::size_t tombstones = 100000;                    ///< Revoked attempts.
    Duration answerLifetime = std::chrono::seconds(60); ///< After the end, until acknowledged.
    Duration digestPeriod = std::chrono::seconds(1);
    std::size_t digestBytes = 1000;                  ///< Largest digest datagram.
    std::size_t toldEntries = 10;                    ///< In a digest that nobody asked for.
    std::size_t replyBytesPerSecond = 1500;          ///< Digests sent in reply.
    Duration clockPeriod = std::chrono::seconds(60); ///< Between readings on a link in use.
    Duration silence = std::chrono::seconds(4); ///< Without a sign of its router, a link is dead.
    Duration linkGrace = std::chrono::seconds(15); ///< A run without any link is kept this long.
    std::size_t recordBytes = 32U << 20U;          ///< Recorded answers of idempotency keys.
    std::size_t crashNotices = 1000;
};

/// Counts that the host exports as metrics.
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

/// The sidecar's decisions. Not thread-safe: the host holds its lock around each call.
class SidecarNode
{
public:
    explicit SidecarNode(SidecarIdentity identity, SidecarLimits limits = {});
    ~SidecarNode();
    SidecarNode(const SidecarNode &) = delete;
    auto operator=(const SidecarNode &) -> SidecarNode & = delete;

    /// Takes one event and gives what is to be done, in order.
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
