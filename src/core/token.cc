#include "applehatch/core/token.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <vector>

namespace applehatch::core {

namespace {

constexpr char separator = '.';
constexpr int hexBase = 16;

auto hex(std::uint64_t value) -> std::string
{
    std::array<char, 2 * sizeof(value)> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
    return {digits.data(), end.ptr};
}

auto parseHex(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    const auto *last = text.data() + text.size();
    const auto result = std::from_chars(text.data(), last, value, hexBase);
    if (text.empty() || result.ec != std::errc() || result.ptr != last)
        return std::nullopt;
    return value;
}

// Splits `text` into exactly `count` fields. The last field keeps any further separators; the
// result is empty if there are too few.
auto split(std::string_view text, std::size_t count) -> std::vector<std::string_view>
{
    std::vector<std::string_view> fields;
    while (fields.size() + 1 < count) {
        const auto end = text.find(separator);
        if (end == std::string_view::npos)
            return {};
        fields.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    fields.push_back(text);
    return fields;
}

} // namespace

auto formatContext(const UpstreamIncarnation &context) -> std::string
{
    return hex(context.upstream) + separator + hex(context.incarnation);
}

auto parseContext(std::string_view text) -> std::optional<UpstreamIncarnation>
{
    const auto fields = split(text, 2);
    if (fields.empty())
        return std::nullopt;
    const auto upstream = parseHex(fields[0]);
    const auto incarnation = parseHex(fields[1]);
    if (!upstream || !incarnation)
        return std::nullopt;
    return UpstreamIncarnation{*upstream, *incarnation};
}

auto formatPosition(const Position &position) -> std::string
{
    return hex(position.upstream) + separator + hex(position.offset) + separator + position.request;
}

auto parsePosition(std::string_view text) -> std::optional<Position>
{
    const auto fields = split(text, 3);
    if (fields.empty() || fields[2].empty())
        return std::nullopt;
    const auto upstream = parseHex(fields[0]);
    const auto offset = parseHex(fields[1]);
    if (!upstream || !offset)
        return std::nullopt;
    return Position{*upstream, std::string(fields[2]), *offset};
}

auto formatTicket(const Ticket &ticket) -> std::string
{
    return hex(ticket.target.upstream) + separator + hex(ticket.target.incarnation) + separator
        + hex(ticket.nonce) + separator
        + hex(static_cast<std::uint64_t>(ticket.expires.time_since_epoch().count())) + separator
        + ticket.pool;
}

auto parseTicket(std::string_view text) -> std::optional<Ticket>
{
    const auto fields = split(text, 5);
    if (fields.empty() || fields[4].empty())
        return std::nullopt;
    const auto upstream = parseHex(fields[0]);
    const auto incarnation = parseHex(fields[1]);
    const auto nonce = parseHex(fields[2]);
    const auto expires = parseHex(fields[3]);
    if (!upstream || !incarnation || !nonce || !expires)
        return std::nullopt;
    return Ticket{{*upstream, *incarnation},
                  std::string(fields[4]),
                  *nonce,
                  Instant(Duration(static_cast<Duration::rep>(*expires)))};
}

} // namespace applehatch::core
