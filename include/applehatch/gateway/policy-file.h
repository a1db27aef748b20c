/// The file that turns optional decisions on: JSON with comments.
#pragma once

#include "applehatch/direct/policies.h"

#include <optional>
#include <string>

namespace applehatch::gateway {

/// Parses the text of a policy file. Returns nothing and sets `problem` to the path and the cause
/// if it is not JSON, has an unknown key or a value that is not a boolean.
[[nodiscard]] auto parsePolicies(const std::string &text, std::string &problem)
    -> std::optional<direct::Policies>;

} // namespace applehatch::gateway
