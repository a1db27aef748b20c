/// Router process that calls upstreams itself.
#pragma once

#include "applehatch/direct/dispatcher.h"
#include "applehatch/direct/registry-readers.h"
#include "applehatch/direct/registry-replica.h"
#include "applehatch/gateway/exchange.h"
#include "applehatch/gateway/gateway-metrics.h"
#include "applehatch/gateway/history-inquiry.h"
#include "applehatch/gateway/keeper-query.h"
#include "applehatch/gateway/listener.h"
#include "applehatch/gateway/peer-mesh.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/version-confirmer.h"
#include "applehatch/gateway/vocabulary.h"
#include "applehatch/telemetry/heap.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace applehatch::gateway {

/// Settings of one gateway process.
struct GatewaySettings
{
    std::string name;
    std::string dataCenter;
    Address callers;
    Address readiness;
    Address metrics;
    Address peers; ///< For digests over UDP and registry deltas over HTTP.
    std::vector<Address> seeds;
    direct::RetryLimits retries;
    direct::LoadBound loadBound;
    Duration stopTimeout = std::chrono::seconds(8); ///< From the stop request to process exit.
    /// Maximum time from a change in the registry until it is in force on every router.
    Duration maxPropagationTime = std::chrono::seconds(2);
    direct::ColdTolerance coldTolerance;
    direct::Policies policies;
    /// Memory that the process may use, in bytes.
    std::size_t maxMemory = std::size_t{256} * 1024 * 1024;
    /// Sockets that the process may have open.
    std::size_t maxSockets = 3896;
};

/// Registry contents decoded into routing types.
struct DecodedRegistry
{
    direct::ConfigurationPtr configuration; ///< Null if the registry has none.
    direct::UpstreamList upstreams;
    direct::DataCenters evacuated;     ///< Data centres whose upstreams get no new requests.
    std::vector<std::string> problems; ///< Entries that could not be decoded, each with its reason.
};

using RegistryDecoder =
    std::function<DecodedRegistry(const std::map<std::string, direct::ReplicaItem> &)>;

class GatewayHost
{
public:
    GatewayHost(boost::asio::io_context &loop, GatewaySettings settings, Vocabulary vocabulary,
                RegistryDecoder decoder);
    ~GatewayHost();
    GatewayHost(const GatewayHost &) = delete;
    auto operator=(const GatewayHost &) -> GatewayHost & = delete;

    /// Opens all listeners. Returns the error of the first required listener that cannot be opened.
    [[nodiscard]] auto start() -> boost::system::error_code;
    /// Applies new settings; name, data centre and addresses stay unchanged.
    auto reload(const GatewaySettings &settings) -> void;
    /// Lets requests in flight finish, then stops the event loop.
    auto stop() -> void;

    /// Sets a callback that runs when this router starts or stops being a registry reader.
    auto onReaderRoleChanged(std::function<void(bool reads)> hook) -> void
    {
        readerRoleHook_ = std::move(hook);
    }
    /// Revision from which a registry watch can continue; none when a full snapshot is needed.
    [[nodiscard]] auto watchableRevision() const -> std::optional<std::uint64_t>;

    /// Timeout of the next registry watch.
    [[nodiscard]] auto nextWatchTimeout() const -> Duration;
    /// How long this router lets routers of higher rank try the registry first when no router
    /// reaches it.
    [[nodiscard]] auto takeoverDelay() const -> Duration { return readers_.takeoverDelay(); }

    // Events from the registry client.
    auto registryRead(const direct::RegistrySnapshot &snapshot) -> void;
    auto registryChanged(const std::vector<direct::RegistryChange> &changes, std::uint64_t revision)
        -> void;
    auto registryLost(const std::string &why) -> void;
    /// Called for each successful answer of the registry, with or without a change.
    auto registryAnswered() -> void;

    /// Sets a callback that runs when what the registry still holds of the past is to be read.
    auto onHistoryWanted(std::function<void()> hook) -> void { history_.onWanted(std::move(hook)); }
    auto registryHistoryRead(const direct::RegistryHistory &history) -> void;
    auto registryHistoryFailed(const std::string &why) -> void;

    /// Sets a callback that runs when what has changed in the registry until now is to be read.
    auto onConfirmationWanted(std::function<void()> hook) -> void
    {
        confirmer_.onReadRegistry(std::move(hook));
    }
    auto registryConfirmed() -> void { confirmer_.registryAnswered(); }
    auto registryNotConfirmed(const std::string &why) -> void { confirmer_.registryFailed(why); }

    [[nodiscard]] auto isReady() const -> bool;
    [[nodiscard]] auto pool() -> UpstreamPool & { return pool_; }
    [[nodiscard]] auto dispatcher() -> direct::Dispatcher & { return dispatcher_; }

private:
    /// Whether the log last told that messages of one kind leave no room for more.
    struct MemoryState
    {
        const char *messages;
        bool isShort = false;
    };

    auto takeRequest(const CallerPtr &caller, RequestMessage request) -> void;
    auto startExchange(const CallerPtr &caller, RequestMessage request) -> void;
    auto releaseEarly(Instant now) -> void;
    auto answerReadiness(const CallerPtr &caller) const -> void;
    auto answerMetrics(const CallerPtr &caller) -> void;
    auto answerPeer(const CallerPtr &caller, const RequestMessage &request) -> void;
    /// Encoded changes since `peerRevision`, for a peer that has this revision.
    [[nodiscard]] auto deltaSince(std::uint64_t peerRevision) -> const std::string &;
    auto applyRegistry() -> void;
    auto logUpstreamChanges(const direct::UpstreamList &upstreams) -> void;
    auto applyEvacuations(direct::DataCenters evacuated, Instant now) -> void;
    auto noteTurnedCold(const std::vector<direct::TurnedCold> &upstreams) -> void;
    /// What is known of the routers that share cold upstreams with this one.
    [[nodiscard]] auto fleetView(Instant now) const -> direct::FleetView;
    auto onPeerDigest(const PeerDigest &digest) -> void;
    auto notePeerCrashes(const PeerDigest &digest, Instant now) -> void;
    auto notePeerParts(const PeerDigest &digest, Instant now) -> void;
    /// Logs what is believed anew of parts of prompts; `source` told what led to it.
    auto logPartChanges(const std::string &source) -> void;
    /// Whether this router, of all that it knows, is the first to keep the part.
    [[nodiscard]] auto isFirstKeeper(direct::PartKey part) const -> bool;
    /// Asks the peer for its memory of crashes if it reaches back further than a new one here.
    auto askForCrashMemory(const PeerDigest &digest, Instant now) -> void;
    auto adoptCrashMemory(const Address &peer, const std::optional<std::string> &body,
                          const std::string &why) -> void;
    /// Tells the routers that keep a crash, a part or a stream of it, with others that follow at
    /// once.
    template <typename Report>
    auto tellKeepers(const Report &report) -> void;
    auto sendNotes() -> void;
    /// Returns the addresses of peers that will stay for a while.
    [[nodiscard]] auto lastingPeers(Instant now) const -> std::vector<Address>;

    auto noteVersions(const direct::UpstreamList &upstreams, Instant now) -> void;
    auto notePeerStreams(const PeerDigest &digest, Instant now) -> void;
    /// Tells a process that has just started of the streams that it keeps.
    auto tellNewPeer(const PeerDigest &digest, Instant now) -> void;
    auto askKeepers(direct::StreamKey stream, std::function<void(std::optional<KeptStream>)> done)
        -> void;
    /// Returns the name of the upstream of a registry entry.
    [[nodiscard]] auto instanceOf(const std::string &key) const -> std::string;
    /// Records the versions of entries that were written and changed again within these changes,
    /// and so never are in the list.
    auto noteBriefVersions(const std::vector<direct::RegistryChange> &changes, Instant now) -> void;
    /// Records the versions and upstreams in changes. Unless they are a sequel of the list, an
    /// entry that changes may have been there before. Returns whether every version that served is
    /// known.
    auto noteChanges(const std::vector<direct::RegistryChange> &changes, bool isSequel, Instant now)
        -> bool;
    /// Returns the upstream in an entry as it was written; none if it could not be read.
    [[nodiscard]] static auto writtenUpstream(const direct::RegistryItem &item,
                                              RegistryDecoder &decoder)
        -> std::optional<direct::Upstream>;
    /// What a peer is told that asks for the stream with this key, in hexadecimal.
    [[nodiscard]] auto streamAnswer(std::string_view key) const -> std::string;
    [[nodiscard]] auto confirmerHooks() -> VersionConfirmerHooks;
    auto onPeerDelta(const direct::RegistryDelta &delta) -> void;
    auto registryRegained() -> void;
    /// Decides whether this router reads the registry itself, and reports a change of role.
    auto updateReaderRole(Instant now) -> void;
    auto noteRegistrySilence(Instant now) -> void;
    auto noteReaderRole(bool reads, std::size_t readers, Instant now) -> void;
    /// Milliseconds since the registry last answered any router; -1 when no answer is known.
    [[nodiscard]] auto sinceAnswerMs(Instant now) const -> std::int64_t;
    [[nodiscard]] auto isActiveReader() const -> bool;
    auto fillDigest(PeerDigest &digest) -> void;
    auto exchangeEnded(const Exchange &exchange, const ExchangeReport &report) -> void;
    auto tick() -> void;
    /// Records how late this tick is. Returns true and logs an event if the process was stalled.
    auto noteStall(Instant now) -> bool;
    /// Logs how many connections were closed unread since the last call, if any.
    auto noteClosedUnread() -> void;
    /// Logs whether messages leave room for others, each time that it changes, and how many were
    /// refused.
    auto noteMemory(MemoryState &state, ByteBudget &budget, std::size_t gaveWay) -> void;
    /// Closes connections whose callers stand still and do not take their answers, as long as
    /// these leave no room for others.
    auto closeNotReading(Instant now) -> void;
    /// Sets how many connections each listener may have open.
    auto limitConnections() -> void;
    [[nodiscard]] auto maxCallerConnections() const -> std::size_t;
    /// Whether a request that begins finds a descriptor for its upstream, which may be made.
    [[nodiscard]] auto mayBegin() -> bool;
    /// Logs how many connections were closed for others since the last call, if any.
    auto noteGivenWay() -> void;
    auto continueStop(Instant now) -> void;
    /// Whether all that has come, read or not, is answered.
    [[nodiscard]] auto hasNothingToAnswer() -> bool;
    [[nodiscard]] auto mayEndEarly(Instant now) -> bool;
    /// Takes no new connections, answers what has come, and closes each connection behind its
    /// answer.
    auto beginClosing(Instant now) -> void;
    /// Looks again, at least `minTurns` times, until nothing is left to answer.
    auto continueClosing(int minTurns) -> void;
    auto end() -> void;
    /// Ends all requests that still run, since the process ends now.
    auto endRequests() -> void;
    [[nodiscard]] auto stopView(Instant now) const -> std::optional<StopView>;
    /// Time until a stopping process ends, whatever is still running.
    [[nodiscard]] auto exitTimeLeft(Instant now) const -> std::optional<Duration>;
    [[nodiscard]] auto hasReadyPeer(Instant now) const -> bool;
    auto catchUp(Instant now) -> void;
    /// Logs once that this router has been behind its peers for long, and when it has caught up.
    auto noteBehind(std::uint64_t newest, Instant now) -> void;
    [[nodiscard]] auto callerLimits() const -> direct::CallerLimits;

    boost::asio::io_context &loop_;
    GatewaySettings settings_;
    Vocabulary vocabulary_;
    RegistryDecoder decoder_;
    direct::Dispatcher dispatcher_;
    direct::RegistryReplica replica_;
    direct::RegistryReaders readers_;
    std::function<void(bool)> readerRoleHook_;
    direct::CallerPatience patience_;
    direct::AnswerForecast forecast_;
    // One each: a request is kept until its answer has come, and would wait for itself.
    RequestMemory requests_;
    ByteBudget answers_;
    MemoryState requestsState_{"requests"};
    MemoryState answersState_{"answers"};
    telemetry::HeapTrimmer heap_;
    UpstreamPool pool_;
    GatewayMetrics metrics_;
    PeerMesh mesh_;
    ExchangeEnvironment exchangeEnvironment_;
    std::list<Listener> listeners_; // Of callers, readiness, peers and metrics, in this order.
    Listener *callers_ = nullptr;
    std::size_t unbegun_ = 0;    // Requests refused for want of descriptors, since the last tick.
    std::size_t notReading_ = 0; // Connections closed by `closeNotReading`, since the last tick.
    Timer tick_;
    std::optional<Instant> tickDueAt_;
    /// A request received before the first configuration.
    struct EarlyRequest
    {
        CallerPtr caller;
        RequestMessage request;
        Instant until;
    };

    /// Cache of the last encoded delta: after a change most peers request the same one.
    struct EncodedDelta
    {
        std::uint64_t since = 0;
        std::uint64_t revision = 0;
        std::string text;
    };

    std::shared_ptr<PeerFetch> crashMemoryFetch_;
    std::vector<std::weak_ptr<KeeperQuery>> queries_;         // Running, and some that have ended.
    std::map<std::uint64_t, std::uint64_t> peerIncarnations_; // By rank.
    std::optional<std::uint64_t> firstRevision_; // Of this process's first list of upstreams.
    HistoryInquiry history_;
    VersionConfirmer confirmer_;
    KeeperOutbox outbox_;
    Timer outboxTimer_;
    EncodedDelta lastDelta_;
    std::deque<EarlyRequest> early_;                                          // Ordered by arrival.
    std::unordered_map<const Exchange *, std::weak_ptr<Exchange>> exchanges_; // In flight.
    std::optional<Instant> stopRequestedAt_;
    std::optional<Instant> closingSince_;
    Timer closing_;
    std::optional<Instant> behindSince_; // A peer has had a newer revision since.
    bool isBehindLogged_ = false;
    // Became a reader because no other was known; all peers are notified of the first answer.
    bool reportNextAnswer_ = false;
};

} // namespace applehatch::gateway
