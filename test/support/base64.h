/// Base64 as the platform's store writes values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace applehatch::testing {

inline auto base64(std::string_view text) -> std::string
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = i; j < i + 3; ++j)
            bits = bits << 8U | (j < text.size() ? static_cast<unsigned char>(text[j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            encoded += i + j > text.size() ? '=' : digits[bits >> (18U - 6U * j) & 63U];
    }
    return encoded;
}

} // namespace applehatch::testing
