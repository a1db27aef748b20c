/// How many bytes a message takes on a link, near enough for bounds and first allocations.
#pragma once

#include "applehatch/core/message.h"

#include <cstddef>

namespace applehatch::wire {

[[nodiscard]] auto messageBytes(const core::Message &message) -> std::size_t;

} // namespace applehatch::wire
