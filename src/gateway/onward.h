/// What of a message goes on to the next hop.
#pragma once

#include "applehatch/gateway/http-message.h"

#include <string>
#include <vector>

namespace applehatch::gateway {

/// All headers but those named in `dropped`, in any case of letters.
[[nodiscard]] auto headersWithout(const HeaderList &headers,
                                  const std::vector<std::string> &dropped) -> HeaderList;

/// Status and headers of an upstream's answer as its caller gets them; the framing is the caller's.
[[nodiscard]] auto forwardedHead(const ResponseHead &head) -> ResponseHead;

} // namespace applehatch::gateway
