/// Gossip between routers over UDP, and fetching of registry deltas from peers.
#pragma once

#include "applehatch/gateway/caller-connection.h"
#include "applehatch/gateway/keeper-outbox.h"
#include "applehatch/gateway/peer-fetch.h"
#include "applehatch/gateway/peer-table.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/upstream-pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace applehatch::gateway {

/// Callbacks from a mesh to its owner.
struct PeerMeshHooks
{
    /// Fills in this router's state; sender, incarnation, sequence and members are set by the mesh.
    std::function<void(PeerDigest &)> fill;
    /// Called with each new digest of a peer; outdated digests are dropped before, except notes.
    std::function<void(const PeerDigest &)> digestReceived;
    /// Called with a registry delta fetched from a peer.
    std::function<void(const direct::RegistryDelta &)> deltaReceived;
    std::function<void(const std::string &event, const std::string &peer)> note;
};

class PeerMesh
{
public:
    /// Interval between digests. Loads reported by peers are at most this old in a small fleet, and
    /// as old as `PeerTable::roundDuration` in a larger one.
    static constexpr Duration digestInterval = std::chrono::milliseconds(200);

    PeerMesh(boost::asio::io_context &loop, UpstreamPool &pool, Address self, PeerMeshHooks hooks);
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    auto operator=(const PeerMesh &) -> PeerMesh & = delete;

    auto start() -> void;
    /// Sends a brief digest with the registry revision to all known peers at once, so that peers
    /// that are behind learn of a change without waiting for the next regular digest.
    auto advertiseToAll() -> void;
    /// Sends a brief digest to the next `PeerTable::fanout` peers, which pass on that the registry
    /// answered.
    auto advertiseToSome() -> void;
    /// Sends notes to the router that they are addressed to.
    auto sendNotes(const AddressedNotes &notes) -> void;
    auto setSeeds(std::vector<Address> seeds) -> void { table_.setSeeds(std::move(seeds)); }
    /// Fetches the changes since `revision` from a peer with a newer revision. One fetch runs at a
    /// time. The peer is picked at random among those with the newest revision, so that a registry
    /// reader does not have to answer the whole fleet.
    auto fetchNewer(std::uint64_t revision) -> void;
    [[nodiscard]] auto newestRevision(Instant now) const -> std::uint64_t;
    [[nodiscard]] auto table() const -> const PeerTable & { return table_; }
    [[nodiscard]] auto readerTracker() -> direct::ReaderTracker & { return table_.readerTracker(); }

private:
    auto receive() -> void;
    auto take(std::string_view bytes) -> void;
    auto tick() -> void;
    auto send(bool brief, const std::vector<Address> &targets) -> void;
    /// Returns a digest with this router's identity and state.
    [[nodiscard]] auto nextDigest(bool brief) -> PeerDigest;
    auto post(const PeerDigest &digest, const std::vector<Address> &targets) -> void;
    /// Returns a peer with the newest revision, if that is newer than `revision`; the one that
    /// failed last only if there is no other.
    [[nodiscard]] auto newestPeer(std::uint64_t revision) -> std::optional<Address>;
    auto noteLiveness(Instant now) -> void;
    auto takeDelta(const Address &peer, const std::optional<std::string> &body,
                   const std::string &why) -> void;

    /// Timeout for fetching a delta from a peer, which usually takes milliseconds.
    static constexpr Duration fetchTimeout = std::chrono::milliseconds(800);
    static constexpr std::size_t maxDatagramBytes = 65536;

    boost::asio::io_context &loop_;
    UpstreamPool &pool_;
    Address self_;
    PeerMeshHooks hooks_;
    std::uint64_t incarnation_;
    PeerTable table_;
    std::uint64_t sequence_ = 0;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    Timer timer_;
    std::array<char, maxDatagramBytes> buffer_{};
    std::shared_ptr<PeerFetch> fetching_;
    std::optional<Address> lastFailed_; // The peer from which the latest fetch failed.
    std::vector<std::string> lastAlive_;
    std::minstd_rand random_;
};

/// Path at which a router serves registry deltas to its peers; the requesting peer's revision
/// follows.
inline constexpr std::string_view deltaPath = "/registry?after=";
/// Path at which a router serves its memory of crashes to peers that have just started.
inline constexpr std::string_view crashMemoryPath = "/crashes";

} // namespace applehatch::gateway
