#include "applehatch/core/base64.h"

#include <cstdint>

namespace applehatch::core {

namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t groupLetters = 4;
constexpr std::size_t groupBytes = 3;
constexpr unsigned bitsPerLetter = 6;
constexpr unsigned bitsPerByte = 8;
constexpr std::uint32_t byteMask = 0xff;

auto paddingOf(std::string_view text) -> std::size_t
{
    if (text.size() >= 2 && text.substr(text.size() - 2) == "==") {
        return 2;
    }
    return !text.empty() && text.back() == '=' ? 1 : 0;
}

/// Decodes a group of four letters, of which the last `padding` are padding, and appends the bytes
/// to `into`.
auto decodeGroup(std::string_view group, std::size_t padding, std::string &into) -> bool
{
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < groupLetters; ++i) {
        const auto padded = i >= groupLetters - padding;
        const auto value = padded ? 0 : alphabet.find(group[i]);
        if (value == std::string_view::npos) {
            return false;
        }
        bits = bits << bitsPerLetter | static_cast<std::uint32_t>(value);
    }
    for (std::size_t i = 0; i < groupBytes; ++i) {
        const auto byte = bits >> (bitsPerByte * (groupBytes - 1 - i)) & byteMask;
        if (i < groupBytes - padding) {
            into.push_back(static_cast<char>(byte));
        } else if (byte != 0) {
            return false;
        }
    }
    return true;
}

} // namespace

auto decodeBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % groupLetters != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / groupLetters * groupBytes);
    const auto padding = paddingOf(text);
    for (std::size_t at = 0; at < text.size(); at += groupLetters) {
        const auto last = at + groupLetters == text.size();
        if (!decodeGroup(text.substr(at, groupLetters), last ? padding : 0, bytes)) {
            return std::nullopt;
        }
    }
    return bytes;
}

} // namespace applehatch::core
