#include "applehatch/gateway/peer-mesh.h"

#include "applehatch/telemetry/clock.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

auto endpointOf(const Address &address) -> udp::endpoint
{
    error_code error;
    const auto ip = asio::ip::make_address_v4(address.ip, error);
    return {error ? asio::ip::address_v4() : ip, address.port};
}

auto keyOf(const Address &address) -> std::string
{
    return address.ip + ':' + std::to_string(address.port);
}

} // namespace

PeerMesh::PeerMesh(asio::io_context &loop, UpstreamPool &pool, Address self, PeerMeshHooks hooks)
    : pool_(pool)
    , self_(std::move(self))
    , hooks_(std::move(hooks))
    , table_(self_)
    , life_(telemetry::wallMicroseconds())
    , socket_(loop)
    , timer_(loop)
    , fetchTimer_(loop)
{ }

PeerMesh::~PeerMesh()
{
    if (fetching_)
        fetching_->abort();
}

auto PeerMesh::start() -> void
{
    error_code error;
    socket_.open(udp::v4(), error);
    socket_.bind(endpointOf(self_), error);
    if (error)
        return hooks_.note("peers-unavailable", error.message());
    receive();
    tick();
}

auto PeerMesh::receive() -> void
{
    socket_.async_receive_from(asio::buffer(buffer_), from_,
                               [this](error_code error, std::size_t count) {
                                   if (error == asio::error::operation_aborted)
                                       return;
                                   if (!error)
                                       take({buffer_.data(), count});
                                   receive();
                               });
}

auto PeerMesh::take(std::string_view bytes) -> void
{
    const auto digest = decodeDigest(bytes);
    if (!digest)
        return hooks_.note("datagram-unreadable", from_.address().to_string());
    if (table_.apply(*digest, telemetry::steadyNow()))
        hooks_.heard(*digest);
}

auto PeerMesh::tick() -> void
{
    send();
    noteLiveness(telemetry::steadyNow());
    timer_.expires_after(period);
    timer_.async_wait([this](error_code error) {
        if (!error)
            tick();
    });
}

auto PeerMesh::send() -> void
{
    const auto now = telemetry::steadyNow();
    PeerDigest digest;
    digest.sender = self_;
    digest.life = life_;
    digest.sequence = ++sequence_;
    digest.members = table_.members(now);
    hooks_.fill(digest);
    const auto bytes = encodeDigest(digest);
    for (const auto &target : table_.targets(now)) {
        error_code error; // A datagram that cannot be sent is made up for by the next one.
        socket_.send_to(asio::buffer(bytes), endpointOf(target), 0, error);
    }
}

auto PeerMesh::tellNow() -> void
{
    if (socket_.is_open())
        send();
}

auto PeerMesh::noteLiveness(Instant now) -> void
{
    std::vector<std::string> alive;
    for (const auto &row : table_.alive(now))
        alive.push_back(keyOf(row.address));
    for (const auto &peer : alive) {
        if (std::find(lastAlive_.begin(), lastAlive_.end(), peer) == lastAlive_.end())
            hooks_.note("peer-regained", peer);
    }
    for (const auto &peer : lastAlive_) {
        if (std::find(alive.begin(), alive.end(), peer) == alive.end())
            hooks_.note("peer-lost", peer);
    }
    lastAlive_ = std::move(alive);
}

auto PeerMesh::newestRevision(Instant now) const -> std::uint64_t
{
    std::uint64_t newest = 0;
    for (const auto &row : table_.alive(now))
        newest = std::max(newest, row.revision);
    return newest;
}

auto PeerMesh::fetchNewer(std::uint64_t revision) -> void
{
    if (fetchPending_)
        return;
    const auto rows = table_.alive(telemetry::steadyNow());
    const auto newest =
        std::max_element(rows.begin(), rows.end(), [](const PeerRow &a, const PeerRow &b) {
            return a.revision < b.revision;
        });
    if (newest == rows.end() || newest->revision <= revision)
        return;
    fetchPending_ = true;
    const auto peer = newest->address;
    fetchTimer_.expires_after(fetchTimeout);
    fetchTimer_.async_wait([this](error_code error) {
        if (error)
            return;
        fetchPending_ = false;
        if (const auto connection = std::exchange(fetching_, nullptr))
            connection->abort();
    });
    pool_.acquire(peer, [this, peer](const UpstreamConnectionPtr &connection, bool) {
        if (connection)
            request(peer, connection);
    });
}

auto PeerMesh::request(const Address &peer, const UpstreamConnectionPtr &connection) -> void
{
    if (!fetchPending_)
        return connection->abort();
    fetching_ = connection;
    const auto body = std::make_shared<std::string>();
    const auto settle = [this] {
        fetchPending_ = false;
        fetchTimer_.cancel();
        return std::exchange(fetching_, nullptr);
    };
    AnswerHooks hooks;
    hooks.head = [](ResponseHead &) {};
    hooks.body = [body](std::string_view bytes) { body->append(bytes); };
    hooks.failed = [this, settle, peer](const std::string &why) {
        settle();
        hooks_.note("peer-fetch-failed", keyOf(peer) + ' ' + why);
    };
    hooks.done = [this, settle, peer, body] {
        if (const auto whole = settle())
            pool_.release(peer, whole);
        if (const auto snapshot = decodeSnapshot(*body))
            hooks_.snapshot(*snapshot);
    };
    WireRequest wire;
    wire.text = "GET " + std::string(snapshotPath) + " HTTP/1.1\r\nHost: " + peer.ip + "\r\n\r\n";
    connection->send(std::move(wire), std::move(hooks));
}

} // namespace applehatch::gateway
