#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::admin::detail {

/// Decodes `%XX`; none when an escape is cut short or not hexadecimal.
[[nodiscard]] auto decodePercent(std::string_view text) -> std::optional<std::string>;

/// The decoded segments of a path, without empty ones; none when one cannot be decoded.
[[nodiscard]] auto pathSegments(std::string_view path) -> std::optional<std::vector<std::string>>;

/// The decoded fields of a query string; the last of two with one name wins.
[[nodiscard]] auto queryFields(std::string_view query)
    -> std::optional<std::map<std::string, std::string>>;

} // namespace applehatch::admin::detail
