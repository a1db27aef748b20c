#include "message-size.h"

namespace applehatch::wire {

namespace {

// The struct itself, its list and union headers, and rounding of its texts to words.
constexpr std::size_t fixedBytes = 96;
constexpr std::size_t headerBytes = 32;
constexpr std::size_t entryBytes = 48;

auto headersBytes(const core::Headers &headers) -> std::size_t
{
    auto bytes = headers.size() * headerBytes;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size();
    return bytes;
}

struct Size
{
    auto operator()(const core::Submit &from) const -> std::size_t
    {
        const auto body = from.call.body ? from.call.body->size() : 0;
        const auto &terms = from.terms;
        return 4 * fixedBytes + from.request.size() + terms.team.size() + terms.customer.size()
            + terms.pool.size() + terms.model.size() + terms.idempotencyKey.size()
            + from.call.path.size() + headersBytes(from.call.headers) + body
            + from.loads.size() * entryBytes;
    }

    auto operator()(const core::Head &from) const -> std::size_t
    {
        return fixedBytes + from.request.size() + headersBytes(from.headers);
    }

    auto operator()(const core::Chunk &from) const -> std::size_t
    {
        return fixedBytes + from.request.size() + from.data.size();
    }

    auto operator()(const core::End &from) const -> std::size_t
    {
        return fixedBytes + from.request.size() + from.loads.size() * entryBytes;
    }

    auto operator()(const core::Refusal &from) const -> std::size_t
    {
        return 2 * fixedBytes + from.request.size() + from.failure.detail.size()
            + from.loads.size() * entryBytes;
    }

    auto operator()(const core::SettingsPull &from) const -> std::size_t
    {
        auto bytes = fixedBytes;
        for (const auto &held : from.knownIndices)
            bytes += headerBytes + held.first.size();
        return bytes;
    }

    auto operator()(const core::SettingsReply &from) const -> std::size_t
    {
        auto bytes = fixedBytes;
        for (const auto &subtree : from.texts)
            bytes += fixedBytes + subtree.team.size() + (subtree.text ? subtree.text->size() : 0);
        return bytes;
    }

    template <typename Small>
    auto operator()(const Small & /*from*/) const -> std::size_t
    {
        return 2 * fixedBytes;
    }
};

} // namespace

auto messageBytes(const core::Message &message) -> std::size_t
{
    return std::visit(Size{}, message);
}

} // namespace applehatch::wire
