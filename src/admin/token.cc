#include "applehatch/admin/api.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <string_view>

namespace applehatch::admin {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

auto sha256Hex(std::string_view text) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1)
        return {};
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex += digits[digest.at(i) >> 4U];
        hex += digits[digest.at(i) & 0xfU];
    }
    return hex;
}

// Returning early at the first differing byte would let a caller find the hash byte by byte.
auto equalInConstantTime(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

auto authorized(const settings::Team &team, const std::string &authorization, bool fromLoopback)
    -> bool
{
    if (team.adminTokenHash.empty())
        return fromLoopback;
    const std::string_view value = authorization;
    if (!value.starts_with(bearerPrefix))
        return false;
    return equalInConstantTime(sha256Hex(value.substr(bearerPrefix.size())), team.adminTokenHash);
}

} // namespace applehatch::admin
