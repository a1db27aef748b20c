/// Datagrams between routers, and fetching the registry's contents from one another.
#pragma once

#include "applehatch/gateway/caller-connection.h"
#include "applehatch/gateway/peer-table.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/upstream-pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace applehatch::gateway {

/// What a mesh asks of its owner.
struct PeerMeshHooks
{
    /// Fills in what this router tells; sender, life, sequence and members are set by the mesh.
    std::function<void(PeerDigest &)> fill;
    /// A newer digest of a peer came.
    std::function<void(const PeerDigest &)> digestReceived;
    /// A peer gave what it knows of the registry.
    std::function<void(const direct::RegistryNews &)> deltaReceived;
    std::function<void(const std::string &event, const std::string &peer)> note;
};

class PeerMesh
{
public:
    /// A digest to the next routers this often: in a small fleet loads are at most this old, in a
    /// larger one as old as `PeerTable::round`.
    static constexpr Duration digestInterval = std::chrono::milliseconds(200);

    PeerMesh(boost::asio::io_context &loop, UpstreamPool &pool, Address self, PeerMeshHooks hooks);
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    auto operator=(const PeerMesh &) -> PeerMesh & = delete;

    auto start() -> void;
    /// Tells the registry's revision at once: peers that are behind learn of a change without
    /// waiting for the next digest.
    auto advertiseToAll() -> void;
    /// Tells the next peers that the registry answered; they pass it on.
    auto advertiseToSome() -> void;
    auto setSeeds(std::vector<Address> seeds) -> void { table_.setSeeds(std::move(seeds)); }
    /// Asks a peer that knows more of the registry than `revision` for what came since; one at a
    /// time, and any of those with the newest view, so that a reader does not answer the whole
    /// fleet.
    auto fetchNewer(std::uint64_t revision) -> void;
    [[nodiscard]] auto newestRevision(Instant now) const -> std::uint64_t;
    [[nodiscard]] auto table() const -> const PeerTable & { return table_; }
    [[nodiscard]] auto readerBook() -> direct::ReaderBook & { return table_.readerBook(); }

private:
    auto receive() -> void;
    auto take(std::string_view bytes) -> void;
    auto tick() -> void;
    auto send(bool brief, const std::vector<Address> &targets) -> void;
    [[nodiscard]] auto newestPeer(std::uint64_t revision) -> std::optional<Address>;
    auto noteLiveness(Instant now) -> void;
    auto request(const Address &peer, std::uint64_t revision,
                 const UpstreamConnectionPtr &connection) -> void;
    /// The question under way is answered or given up; returns its connection.
    auto finishFetch() -> UpstreamConnectionPtr;

    /// A peer that takes longer to give its view is left alone; usually it takes milliseconds.
    static constexpr Duration fetchTimeout = std::chrono::milliseconds(800);
    static constexpr std::size_t maxDatagramBytes = 65536;

    UpstreamPool &pool_;
    Address self_;
    PeerMeshHooks hooks_;
    std::uint64_t incarnation_;
    PeerTable table_;
    std::uint64_t sequence_ = 0;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    Timer timer_;
    Timer fetchTimer_;
    std::array<char, maxDatagramBytes> buffer_{};
    UpstreamConnectionPtr fetching_;
    bool fetchPending_ = false;
    std::vector<std::string> lastAlive_;
    std::minstd_rand random_;
};

/// The path at which a router tells its peers of the registry; the revision that the peer holds
/// follows.
inline constexpr std::string_view deltaPath = "/registry?after=";

} // namespace applehatch::gateway
