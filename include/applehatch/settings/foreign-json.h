/// Reading of JSON texts that others wrote.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace applehatch::settings {

/// Deepest nesting of objects and arrays that is read; what the formats here use is under 8. The
/// JSON library copies, compares and writes a value by one call a level, so a value nested some ten
/// thousand deep would overflow the stack of a process that only looks at it.
inline constexpr std::size_t maxJsonDepth = 64;
/// Longest text that is read, in bytes.
inline constexpr std::size_t maxJsonBytes = std::size_t{64} * 1024 * 1024;

/// Whether the text opens at most `maxJsonDepth` objects and arrays inside one another. The text
/// need not be valid JSON.
[[nodiscard]] auto isShallowJson(std::string_view text) -> bool;

/// Parses a text. Throws `std::invalid_argument` if it is too long or nested too deep, and
/// `nlohmann::json::parse_error` if it is not JSON.
[[nodiscard]] auto parseForeignJson(std::string_view text) -> nlohmann::json;

/// The same without exceptions: returns a discarded value for a text that cannot be used.
[[nodiscard]] auto tryParseForeignJson(std::string_view text) -> nlohmann::json;

} // namespace applehatch::settings
