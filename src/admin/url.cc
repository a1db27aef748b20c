#include "url.h"

#include <charconv>

namespace applehatch::admin::detail {

namespace {

constexpr std::size_t escapeLength = 3;
constexpr int hexBase = 16;

// Calls `visit` with each piece between separators; stops and returns false when `visit` does.
template <typename Visitor>
auto forEachPiece(std::string_view text, char separator, Visitor visit) -> bool
{
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        if (!visit(text.substr(0, end)))
            return false;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return true;
}

} // namespace

auto decodePercent(std::string_view text) -> std::optional<std::string>
{
    std::string decoded;
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        if (text.size() < escapeLength)
            return std::nullopt;
        unsigned int byte = 0;
        const auto *last = text.data() + escapeLength;
        const auto result = std::from_chars(text.data() + 1, last, byte, hexBase);
        if (result.ec != std::errc() || result.ptr != last)
            return std::nullopt;
        decoded += static_cast<char>(byte);
        text.remove_prefix(escapeLength);
    }
    return decoded;
}

auto pathSegments(std::string_view path) -> std::optional<std::vector<std::string>>
{
    std::vector<std::string> segments;
    const auto complete = forEachPiece(path, '/', [&](std::string_view piece) {
        auto segment = decodePercent(piece);
        if (segment && !segment->empty())
            segments.push_back(std::move(*segment));
        return segment.has_value();
    });
    return complete ? std::optional(segments) : std::nullopt;
}

auto queryFields(std::string_view query) -> std::optional<std::map<std::string, std::string>>
{
    std::map<std::string, std::string> fields;
    const auto complete = forEachPiece(query, '&', [&](std::string_view piece) {
        const auto equals = std::min(piece.find('='), piece.size());
        const auto name = decodePercent(piece.substr(0, equals));
        const auto value = decodePercent(piece.substr(std::min(equals + 1, piece.size())));
        if (name && value)
            fields[*name] = *value;
        return name && value;
    });
    return complete ? std::optional(fields) : std::nullopt;
}

} // namespace applehatch::admin::detail
