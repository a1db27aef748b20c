/// Parts of prompts as the log names them.
#pragma once

#include "applehatch/direct/part-suspects.h"

#include <string>
#include <vector>

namespace applehatch::gateway {

/// Names the first few of `parts` and tells how many more there are, since a caller may send any
/// number.
[[nodiscard]] auto partsText(const std::vector<direct::PartKey> &parts) -> std::string;

} // namespace applehatch::gateway
