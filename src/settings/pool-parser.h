/// Parsing and validation of a team's pools.
#pragma once

#include "reader.h"

namespace applehatch::settings {

/// Reads all pools in `pools` and reports values that must be unique but occur in several pools.
[[nodiscard]] auto parsePools(const std::string &team, const Json &pools, const std::string &path,
                              Report &report) -> std::map<std::string, Pool>;

} // namespace applehatch::settings
