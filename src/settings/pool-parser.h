/// The checked reading of a team's pools.
#pragma once

#include "reader.h"

namespace applehatch::settings {

/// Reads every pool below `pools`, and checks what must differ between pools.
[[nodiscard]] auto parsePools(const std::string &team, const Json &pools, const std::string &path,
                              Report &report) -> std::map<std::string, Pool>;

} // namespace applehatch::settings
