#include "applehatch/wire/codec.h"

#include "schema-codec.h"

#include <algorithm>
#include <array>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/io.h>

namespace applehatch::wire {

namespace {

constexpr int nestingLimit = 16;

// Packing turns two bytes into up to 2 KiB of zeros, so a datagram could otherwise ask for
// megabytes; this bounds what its sender can make us allocate.
constexpr std::size_t maxDigestWords = 8192;

constexpr std::array kindNames{
    std::string_view("submit"),         std::string_view("revoke"),
    std::string_view("resume"),         std::string_view("acknowledge"),
    std::string_view("heartbeat"),      std::string_view("head"),
    std::string_view("chunk"),          std::string_view("end"),
    std::string_view("refusal"),        std::string_view("revoked"),
    std::string_view("moved"),          std::string_view("settings-pull"),
    std::string_view("settings-reply"),
};
constexpr std::array payloadKinds{
    std::string_view("submit"), std::string_view("head"),    std::string_view("chunk"),
    std::string_view("end"),    std::string_view("refusal"),
};
static_assert(kindNames.size() == std::variant_size_v<core::Message>);

auto limits(std::size_t words) -> capnp::ReaderOptions
{
    return {words, nestingLimit};
}

auto kjBytes(std::string_view bytes) -> kj::ArrayPtr<const kj::byte>
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

} // namespace

auto encodeDigest(const core::Digest &digest) -> std::string
{
    capnp::MallocMessageBuilder builder;
    write(digest, builder.initRoot<schema::Digest>());
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto packed = stream.getArray();
    return {reinterpret_cast<const char *>(packed.begin()), packed.size()};
}

auto decodeDigest(std::string_view bytes) -> std::optional<core::Digest>
{
    if (bytes.size() > maxDatagramBytes)
        return std::nullopt;
    std::optional<core::Digest> digest;
    const auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(kjBytes(bytes));
        capnp::PackedMessageReader reader(stream, limits(maxDigestWords));
        digest = read(reader.getRoot<schema::Digest>());
    });
    return failure == nullptr ? std::move(digest) : std::nullopt;
}

auto encodeMessage(const core::Message &message) -> std::string
{
    capnp::MallocMessageBuilder builder;
    write(message, builder.initRoot<schema::Message>());
    const auto words = capnp::messageToFlatArray(builder);
    const auto flat = words.asBytes();
    return {reinterpret_cast<const char *>(flat.begin()), flat.size()};
}

auto decodeMessage(std::string_view bytes) -> std::optional<core::Message>
{
    if (bytes.empty() || bytes.size() > maxMessageBytes || bytes.size() % sizeof(capnp::word) != 0)
        return std::nullopt;
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    std::optional<core::Message> message;
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words, limits(maxMessageBytes / sizeof(capnp::word)));
        message = read(reader.getRoot<schema::Message>());
    });
    return failure == nullptr ? std::move(message) : std::nullopt;
}

auto kindName(const core::Message &message) -> std::string_view
{
    return kindNames[message.index()];
}

auto isControlKind(std::string_view kind) -> bool
{
    return std::find(payloadKinds.begin(), payloadKinds.end(), kind) == payloadKinds.end();
}

} // namespace applehatch::wire
