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
    : loop_(loop)
    , pool_(pool)
    , self_(std::move(self))
    , hooks_(std::move(hooks))
    , incarnation_(telemetry::wallMicroseconds())
    , table_(self_, digestInterval, incarnation_)
    , socket_(loop)
    , timer_(loop.get_executor())
    , random_(static_cast<std::uint32_t>(core::stableHash(keyOf(self_), incarnation_)))
{ }

PeerMesh::~PeerMesh()
{
    if (fetching_)
        fetching_->cancel();
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
    const auto isNews = table_.apply(*digest, telemetry::steadyNow());
    const auto isForeignNote = digest->isNote && digest->sender != self_;
    if (isNews || isForeignNote)
        hooks_.digestReceived(*digest);
}

auto PeerMesh::tick() -> void
{
    const auto now = telemetry::steadyNow();
    send(false, table_.nextTargets(now));
    noteLiveness(now);
    timer_.start(digestInterval, [this] { tick(); });
}

auto PeerMesh::send(bool brief, const std::vector<Address> &targets) -> void
{
    auto digest = nextDigest(brief);
    if (!brief)
        digest.members = table_.nextMembers(telemetry::steadyNow());
    post(digest, targets);
}

auto PeerMesh::sendNotes(const AddressedNotes &notes) -> void
{
    if (!socket_.is_open())
        return;
    auto digest = nextDigest(true);
    digest.isNote = true;
    digest.crashes = notes.crashes;
    digest.streams = notes.streams;
    digest.parts = notes.parts;
    post(digest, {notes.to});
}

auto PeerMesh::nextDigest(bool brief) -> PeerDigest
{
    PeerDigest digest;
    digest.sender = self_;
    digest.incarnation = incarnation_;
    digest.sequence = ++sequence_;
    digest.brief = brief;
    hooks_.fill(digest);
    return digest;
}

auto PeerMesh::post(const PeerDigest &digest, const std::vector<Address> &targets) -> void
{
    const auto bytes = encodeDigest(digest);
    for (const auto &target : targets) {
        error_code error; // Ignored: the next digest replaces a lost one.
        socket_.send_to(asio::buffer(bytes), endpointOf(target), 0, error);
    }
}

auto PeerMesh::advertiseToAll() -> void
{
    if (socket_.is_open())
        send(true, table_.targets(telemetry::steadyNow()));
}

auto PeerMesh::advertiseToSome() -> void
{
    if (socket_.is_open())
        send(true, table_.nextBriefTargets(telemetry::steadyNow()));
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
    for (const auto &reader : table_.readerTracker().readers(now))
        newest = std::max(newest, reader.revision);
    return newest;
}

auto PeerMesh::newestPeer(std::uint64_t revision) -> std::optional<Address>
{
    const auto now = telemetry::steadyNow();
    std::uint64_t newest = revision;
    std::vector<Address> peers;
    const auto consider = [&](const Address &address, std::uint64_t known) {
        if (known <= revision || known < newest)
            return;
        if (known > newest)
            peers.clear();
        newest = known;
        peers.push_back(address);
    };
    for (const auto &row : table_.alive(now))
        consider(row.address, row.revision);
    for (const auto &reader : table_.readerTracker().readers(now))
        consider(reader.router, reader.revision);
    if (peers.empty())
        return std::nullopt;
    if (lastFailed_ && std::any_of(peers.begin(), peers.end(), [this](const Address &peer) {
            return peer != *lastFailed_;
        }))
        std::erase(peers, *lastFailed_);
    return peers[random_() % peers.size()];
}

auto PeerMesh::fetchNewer(std::uint64_t revision) -> void
{
    if (fetching_)
        return;
    const auto peer = newestPeer(revision);
    if (!peer)
        return;
    fetching_ = PeerFetch::start(
        loop_, pool_, *peer, std::string(deltaPath) + std::to_string(revision), fetchTimeout,
        [this, peer](const std::optional<std::string> &body, const std::string &why) {
            fetching_ = nullptr;
            lastFailed_ = body ? std::nullopt : peer;
            takeDelta(*peer, body, why);
        });
}

auto PeerMesh::takeDelta(const Address &peer, const std::optional<std::string> &body,
                         const std::string &why) -> void
{
    if (!body)
        return hooks_.note("peer-fetch-failed", keyOf(peer) + ' ' + why);
    if (const auto delta = decodeDelta(*body))
        return hooks_.deltaReceived(*delta);
    hooks_.note("peer-fetch-failed", keyOf(peer) + " invalid response");
}

} // namespace applehatch::gateway
