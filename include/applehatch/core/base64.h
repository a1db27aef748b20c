/// Strict base64, as the configuration service encodes values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace applehatch::core {

/// Decodes padded base64 of the standard alphabet; none for anything else, such as blanks, missing
/// padding or stray bits in the last group.
[[nodiscard]] auto decodeBase64(std::string_view text) -> std::optional<std::string>;

} // namespace applehatch::core
