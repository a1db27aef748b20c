/// The few fields of a JSON body that routing needs.
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

/// Reads top-level fields without building the document; none when `body` is not a JSON object or
/// one of the fields has another type.
[[nodiscard]] auto readBodyFields(const std::string &body) -> std::optional<BodyFields>;

} // namespace applehatch::router
