/// The process of a router that calls upstreams itself.
#pragma once

#include "applehatch/direct/dispatcher.h"
#include "applehatch/direct/registry-readers.h"
#include "applehatch/direct/registry-replica.h"
#include "applehatch/gateway/exchange.h"
#include "applehatch/gateway/gateway-metrics.h"
#include "applehatch/gateway/listener.h"
#include "applehatch/gateway/peer-mesh.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/vocabulary.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::gateway {

/// What one gateway process is told at its start.
struct GatewaySettings
{
    std::string name;
    std::string dataCenter;
    Address callers;
    Address readiness;
    Address metrics;
    Address peers; ///< Datagrams and registry views.
    std::vector<Address> seeds;
    direct::RetryLimits retries;
    direct::LoadBound loadBound;
    Duration stopWithin = std::chrono::seconds(8); ///< From the request to stop to its end.
    /// From the registry's word of a change until it is in force on every router.
    Duration changeWithin = std::chrono::seconds(2);
};

/// The registry's contents in the project's own types.
struct DecodedRegistry
{
    direct::ConfigurationPtr configuration; ///< Null when there is none.
    direct::UpstreamList upstreams;
    std::vector<std::string> problems; ///< Entries that could not be used, and why.
};

using RegistryDecoder =
    std::function<DecodedRegistry(const std::map<std::string, direct::HeldItem> &)>;

class GatewayHost
{
public:
    GatewayHost(boost::asio::io_context &loop, GatewaySettings settings, Vocabulary vocabulary,
                RegistryDecoder decoder);

    /// Opens all listeners; an error for the first that cannot be opened.
    [[nodiscard]] auto start() -> boost::system::error_code;
    /// New settings; addresses stay as they are.
    auto reload(const GatewaySettings &settings) -> void;
    /// Finishes what is under way and stops the loop.
    auto stop() -> void;

    /// Called when this router's turn to read the registry begins or ends.
    auto onReadingTurn(std::function<void(bool reads)> hook) -> void
    {
        readerRoleHook_ = std::move(hook);
    }
    /// The revision from which the registry may be watched on; none when all of it must be read.
    [[nodiscard]] auto watchableRevision() const -> std::optional<std::uint64_t>;

    /// How long the next watch waits for a change.
    [[nodiscard]] auto nextWatch() const -> Duration;
    /// How long routers that come first are given to reach the registry when nobody does.
    [[nodiscard]] auto readingDelay() const -> Duration { return readers_.delay(); }

    // From the registry's client.
    auto registryRead(const direct::RegistrySnapshot &snapshot) -> void;
    auto registryChanged(const std::vector<direct::RegistryChange> &changes, std::uint64_t revision)
        -> void;
    auto registryLost(const std::string &why) -> void;
    /// Any good answer, whether it told of a change or not.
    auto registryAnswered() -> void;

    [[nodiscard]] auto isReady() const -> bool;
    [[nodiscard]] auto pool() -> UpstreamPool & { return pool_; }
    [[nodiscard]] auto dispatcher() -> direct::Dispatcher & { return dispatcher_; }

private:
    auto takeRequest(const CallerPtr &caller, RequestMessage request) -> void;
    auto startExchange(const CallerPtr &caller, RequestMessage request) -> void;
    auto releaseEarly(Instant now) -> void;
    auto answerReadiness(const CallerPtr &caller) const -> void;
    auto answerMetrics(const CallerPtr &caller) -> void;
    auto answerPeer(const CallerPtr &caller, const RequestMessage &request) -> void;
    /// What a peer that holds revision `held` is told.
    [[nodiscard]] auto deltaSince(std::uint64_t peerRevision) -> const std::string &;
    auto applyRegistry() -> void;
    auto logUpstreamChanges(const direct::UpstreamList &upstreams) -> void;
    auto onPeerDigest(const PeerDigest &digest) -> void;
    auto onPeerDelta(const direct::RegistryNews &news) -> void;
    auto registryRegained() -> void;
    /// Decides whether this router reads the registry itself.
    auto updateReaderRole(Instant now) -> void;
    auto noteRegistrySilence(Instant now) -> void;
    auto noteReaderRole(bool reads, std::size_t readers, Instant now) -> void;
    /// Since the registry last answered anybody; -1 when no answer is known.
    [[nodiscard]] auto sinceAnswerMs(Instant now) const -> std::int64_t;
    [[nodiscard]] auto isActiveReader() const -> bool;
    auto fillDigest(PeerDigest &digest) -> void;
    auto exchangeEnded(const ExchangeReport &report) -> void;
    auto tick() -> void;
    /// Tells when the loop was busy with something else for long; true then.
    auto noteStall(Instant now) -> bool;
    auto continueStop(Instant now) -> void;
    [[nodiscard]] auto streamTimeLeft() const -> std::optional<Duration>;
    [[nodiscard]] auto hasReadyPeer(Instant now) const -> bool;
    auto catchUp(Instant now) -> void;
    [[nodiscard]] auto callerLimits() const -> direct::CallerLimits;

    boost::asio::io_context &loop_;
    GatewaySettings settings_;
    Vocabulary vocabulary_;
    RegistryDecoder decoder_;
    direct::Dispatcher dispatcher_;
    direct::RegistryReplica replica_;
    direct::RegistryReaders readers_;
    std::function<void(bool)> readerRoleHook_;
    direct::StreamPace pace_;
    UpstreamPool pool_;
    GatewayMetrics metrics_;
    PeerMesh mesh_;
    ExchangeEnvironment exchangeEnvironment_;
    std::list<Listener> listeners_;
    Listener *callers_ = nullptr;
    Timer tick_;
    std::optional<Instant> tickDueAt_;
    /// A request that came before the first configuration.
    struct EarlyRequest
    {
        CallerPtr caller;
        RequestMessage request;
        Instant until;
    };

    /// News as last encoded; after a change most peers ask for the same.
    struct EncodedDelta
    {
        std::uint64_t since = 0;
        std::uint64_t revision = 0;
        std::string text;
    };

    EncodedDelta lastDelta_;
    std::deque<EarlyRequest> early_; // Oldest first.
    std::size_t inFlight_ = 0;
    std::optional<Instant> stopRequestedAt_;
    std::optional<Instant> behindSince_;
    bool reportNextAnswer_ = false; // Nobody was heard to read; this router's turn came for it.
};

} // namespace applehatch::gateway
