#include "applehatch/gateway/peer-digest.h"

#include "generated/peer.capnp.h"

#include <boost/asio/ip/address_v4.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

namespace applehatch::gateway {

namespace {

// A snapshot holds values of up to a megabyte each; the reader stops far beyond any real one.
constexpr std::uint64_t mostBytes = std::uint64_t{64} * 1024 * 1024;
constexpr std::uint64_t mostWords = mostBytes / sizeof(capnp::word);

auto bytesOf(capnp::MallocMessageBuilder &message) -> std::string
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

// The reader wants aligned words; bytes from a socket may lie anywhere.
auto wordsOf(std::string_view bytes) -> kj::Array<capnp::word>
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.size() * sizeof(capnp::word));
    return words;
}

auto readerOptions() -> capnp::ReaderOptions
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = mostWords;
    return options;
}

auto write(schema::Member::Builder into, const Address &address) -> void
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(address.ip, error);
    into.setIp(error ? 0 : ip.to_uint());
    into.setPort(address.port);
}

auto read(schema::Member::Reader from) -> Address
{
    return {boost::asio::ip::address_v4(from.getIp()).to_string(), from.getPort()};
}

auto readDigest(schema::PeerDigest::Reader from) -> PeerDigest
{
    PeerDigest digest;
    digest.sender = read(from.getSender());
    digest.life = from.getLife();
    digest.sequence = from.getSequence();
    digest.revision = from.getRevision();
    digest.leaving = from.getLeaving();
    for (const auto member : from.getMembers())
        digest.members.push_back(read(member));
    for (const auto load : from.getLoads())
        digest.loads.push_back({load.getUpstream(), load.getRunning()});
    for (const auto crash : from.getCrashes())
        digest.crashes.push_back({crash.getFingerprint(), crash.getCrashes()});
    for (const auto context : from.getContexts())
        digest.contexts.push_back({context.getContext(), context.getUpstream()});
    return digest;
}

auto readSnapshot(schema::Snapshot::Reader from) -> direct::RegistrySnapshot
{
    direct::RegistrySnapshot snapshot;
    snapshot.revision = from.getRevision();
    for (const auto item : from.getItems()) {
        const auto value = item.getValue();
        snapshot.items.push_back(
            {item.getKey().cStr(),
             std::string(reinterpret_cast<const char *>(value.begin()), value.size()),
             item.getRevision()});
    }
    return snapshot;
}

} // namespace

auto encodeDigest(const PeerDigest &digest) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::PeerDigest>();
    write(root.initSender(), digest.sender);
    root.setLife(digest.life);
    root.setSequence(digest.sequence);
    root.setRevision(digest.revision);
    root.setLeaving(digest.leaving);
    auto members = root.initMembers(static_cast<unsigned>(digest.members.size()));
    for (unsigned i = 0; i < members.size(); ++i)
        write(members[i], digest.members[i]);
    auto loads = root.initLoads(static_cast<unsigned>(digest.loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        loads[i].setUpstream(digest.loads[i].upstream);
        loads[i].setRunning(digest.loads[i].running);
    }
    auto crashes = root.initCrashes(static_cast<unsigned>(digest.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        crashes[i].setFingerprint(digest.crashes[i].fingerprint);
        crashes[i].setCrashes(digest.crashes[i].crashes);
    }
    auto contexts = root.initContexts(static_cast<unsigned>(digest.contexts.size()));
    for (unsigned i = 0; i < contexts.size(); ++i) {
        contexts[i].setContext(digest.contexts[i].context);
        contexts[i].setUpstream(digest.contexts[i].upstream);
    }
    return bytesOf(message);
}

auto decodeDigest(std::string_view bytes) -> std::optional<PeerDigest>
{
    const auto words = wordsOf(bytes);
    std::optional<PeerDigest> digest;
    const auto fault = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words, readerOptions());
        digest = readDigest(reader.getRoot<schema::PeerDigest>());
    });
    return fault == nullptr ? digest : std::nullopt;
}

auto encodeSnapshot(const direct::RegistrySnapshot &snapshot) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Snapshot>();
    root.setRevision(snapshot.revision);
    auto items = root.initItems(static_cast<unsigned>(snapshot.items.size()));
    for (unsigned i = 0; i < items.size(); ++i) {
        const auto &item = snapshot.items[i];
        items[i].setKey(item.key.c_str());
        items[i].setValue(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(item.value.data()), item.value.size()));
        items[i].setRevision(item.revision);
    }
    return bytesOf(message);
}

auto decodeSnapshot(std::string_view bytes) -> std::optional<direct::RegistrySnapshot>
{
    const auto words = wordsOf(bytes);
    std::optional<direct::RegistrySnapshot> snapshot;
    const auto fault = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words, readerOptions());
        snapshot = readSnapshot(reader.getRoot<schema::Snapshot>());
    });
    return fault == nullptr ? snapshot : std::nullopt;
}

} // namespace applehatch::gateway
