/// Headers of forwarded messages.
#pragma once

#include "applehatch/gateway/http-message.h"

#include <string>
#include <vector>

namespace applehatch::gateway {

/// All headers except those in `dropped`; names are compared case-insensitively.
[[nodiscard]] auto headersWithout(const HeaderList &headers,
                                  const std::vector<std::string> &dropped) -> HeaderList;

/// Status and headers of an upstream's answer without its hop-by-hop and framing headers, which are
/// set for the caller's connection.
[[nodiscard]] auto forwardedHead(const ResponseHead &head) -> ResponseHead;

} // namespace applehatch::gateway
