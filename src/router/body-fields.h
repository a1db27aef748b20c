/// Extraction of the JSON body fields that routing needs.
#pragma once

#include <optional>
#include <string>

namespace applehatch::router {

struct BodyFields
{
    std::string model;
    std::string pool;
    bool stream = false;
};

/// Reads top-level fields without building the document. Returns nothing when `body` is not a JSON
/// object or one of the fields has the wrong type.
[[nodiscard]] auto readBodyFields(const std::string &body) -> std::optional<BodyFields>;

} // namespace applehatch::router
