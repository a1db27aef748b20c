#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::admin::detail {

/// Decodes `%XX` escapes; returns nothing when an escape is truncated or not hexadecimal.
[[nodiscard]] auto decodePercent(std::string_view text) -> std::optional<std::string>;

/// Returns the decoded, non-empty segments of a path; nothing when one cannot be decoded.
[[nodiscard]] auto pathSegments(std::string_view path) -> std::optional<std::vector<std::string>>;

/// Returns the decoded fields of a query string; nothing when one cannot be decoded. The last of
/// several fields with the same name wins.
[[nodiscard]] auto queryFields(std::string_view query)
    -> std::optional<std::map<std::string, std::string>>;

} // namespace applehatch::admin::detail
