/// A strict base64 decoder for the values of the configuration service.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace applehatch::core {

/// Decodes padded base64 of the standard alphabet. Returns `nullopt` for anything else, such as
/// spaces, missing padding or nonzero unused bits in the last group.
[[nodiscard]] auto decodeBase64(std::string_view text) -> std::optional<std::string>;

} // namespace applehatch::core
