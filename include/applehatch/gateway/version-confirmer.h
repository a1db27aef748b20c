/// Confirmation that this router knows every version that serves now.
#pragma once

#include "applehatch/gateway/peer-fetch.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/upstream-pool.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace applehatch::gateway {

/// What confirmed that no version serves that this router does not know.
enum class VersionsConfirmedBy {
    Nobody,
    Registry, ///< It told all changes in an answer to a read begun after the request.
    Peers,    ///< Most of those asked after the request answered, and none knew of more.
};

/// Returns a name for the log.
[[nodiscard]] auto nameOf(VersionsConfirmedBy confirmedBy) -> const char *;

/// Callbacks from a confirmer to its owner.
struct VersionConfirmerHooks
{
    /// Starts to read what has changed in the registry; without it, only peers are asked. What is
    /// read is to be applied before `registryAnswered`.
    std::function<void()> readRegistry;
    /// All other routers, also those that were not heard lately.
    std::function<std::vector<Address>()> peers;
    /// Path at which a peer tells what has changed since this router's revision.
    std::function<std::string()> path;
    /// Applies what a peer answered; returns whether it could be read.
    std::function<bool(const std::string &body)> peerAnswered;
    /// Called at the end of each round.
    std::function<void(VersionsConfirmedBy, Duration took, std::size_t waiting,
                       const std::string &why)>
        ended;
};

/// Finds out whether a version serves of which this router has not heard yet.
///
/// What a router knows of the registry is as old as the last word that it heard. A stream that is
/// taken up may have begun since, at a version that joined since. The stream began before it was
/// taken up, and the version joined before that; so whoever is asked after the stream was taken up
/// knows of it. The registry is asked first. While it does not answer, peers are: the version may
/// be known to those only that cannot be reached, so most of those asked must answer.
///
/// Requests that come together share a round; one that comes during a round waits for the next.
class VersionConfirmer
{
public:
    using Done = std::function<void(VersionsConfirmedBy)>;

    /// Limit on waiting for the registry; a slow one takes a quarter of a second.
    static constexpr Duration maxRegistryWait = std::chrono::milliseconds(400);
    /// After a failure, peers alone are asked for this long.
    static constexpr Duration registryRetryDelay = std::chrono::seconds(1);
    /// Limit on waiting for the answers of peers, which usually take milliseconds.
    static constexpr Duration maxPeerWait = std::chrono::milliseconds(250);
    /// Number of peers asked, at random, so that the effort does not grow with the fleet.
    static constexpr std::size_t maxPeersAsked = 16;
    /// Shortest time from one round to the next, which limits the calls of the registry.
    static constexpr Duration roundInterval = std::chrono::milliseconds(50);

    VersionConfirmer(boost::asio::io_context &loop, UpstreamPool &pool, std::uint32_t seed,
                     VersionConfirmerHooks hooks);
    ~VersionConfirmer();
    VersionConfirmer(const VersionConfirmer &) = delete;
    auto operator=(const VersionConfirmer &) -> VersionConfirmer & = delete;

    auto onReadRegistry(std::function<void()> hook) -> void
    {
        hooks_.readRegistry = std::move(hook);
    }
    /// Calls back once, from the event loop, at the end of a round that begins from now on.
    auto confirm(Done done) -> void;
    /// The read that `readRegistry` started has ended.
    auto registryAnswered() -> void;
    auto registryFailed(const std::string &why) -> void;

private:
    auto startRound() -> void;
    auto askPeers() -> void;
    auto takeAnswer(const std::optional<std::string> &body) -> void;
    auto countPeers() -> void;
    auto endRound(VersionsConfirmedBy confirmedBy) -> void;

    boost::asio::io_context &loop_;
    UpstreamPool &pool_;
    VersionConfirmerHooks hooks_;
    std::minstd_rand random_;
    Timer timer_;
    std::vector<Done> waiting_; // For the next round.
    std::vector<Done> inRound_;
    bool isReading_ = false; // The registry, for the round that runs.
    Instant roundStartedAt_;
    Instant nextRegistryRead_;
    std::string whyNotRegistry_;
    std::vector<std::shared_ptr<PeerFetch>> fetches_;
    std::size_t asked_ = 0;
    std::size_t answered_ = 0;
    std::size_t unanswered_ = 0;
};

} // namespace applehatch::gateway
