/// Datagrams between routers, and fetching the registry's contents from one another.
#pragma once

#include "applehatch/gateway/caller-connection.h"
#include "applehatch/gateway/peer-table.h"
#include "applehatch/gateway/upstream-pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace applehatch::gateway {

/// What a mesh asks of its owner.
struct PeerMeshHooks
{
    /// Fills in what this router tells; sender, life, sequence and members are set by the mesh.
    std::function<void(PeerDigest &)> fill;
    /// A newer digest of a peer came.
    std::function<void(const PeerDigest &)> heard;
    /// A peer gave its view of the registry.
    std::function<void(const direct::RegistrySnapshot &)> snapshot;
    std::function<void(const std::string &event, const std::string &peer)> note;
};

class PeerMesh
{
public:
    /// A digest to each router this often: loads and revisions are at most this old, plus the way.
    static constexpr Duration period = std::chrono::milliseconds(200);

    PeerMesh(boost::asio::io_context &loop, UpstreamPool &pool, Address self, PeerMeshHooks hooks);
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    auto operator=(const PeerMesh &) -> PeerMesh & = delete;

    auto start() -> void;
    /// Sends a digest at once: peers that are behind learn of a change without waiting for the
    /// next.
    auto tellNow() -> void;
    auto setSeeds(std::vector<Address> seeds) -> void { table_.setSeeds(std::move(seeds)); }
    /// Asks the peer with the newest view of the registry for it, when that is newer than
    /// `revision`; one at a time.
    auto fetchNewer(std::uint64_t revision) -> void;
    [[nodiscard]] auto newestRevision(Instant now) const -> std::uint64_t;
    [[nodiscard]] auto table() const -> const PeerTable & { return table_; }

private:
    auto receive() -> void;
    auto take(std::string_view bytes) -> void;
    auto tick() -> void;
    auto send() -> void;
    auto noteLiveness(Instant now) -> void;
    auto request(const Address &peer, const UpstreamConnectionPtr &connection) -> void;

    /// A peer that takes longer to give its view is left alone; usually it takes milliseconds.
    static constexpr Duration fetchTimeout = std::chrono::milliseconds(800);
    static constexpr std::size_t largestDatagram = 65536;

    UpstreamPool &pool_;
    Address self_;
    PeerMeshHooks hooks_;
    PeerTable table_;
    std::uint64_t life_;
    std::uint64_t sequence_ = 0;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer fetchTimer_;
    std::array<char, largestDatagram> buffer_{};
    UpstreamConnectionPtr fetching_;
    bool fetchPending_ = false;
    std::vector<std::string> lastAlive_;
};

/// The path at which a router gives its view of the registry to its peers.
inline constexpr std::string_view snapshotPath = "/registry";

} // namespace applehatch::gateway
