/// Messages and digests as Cap'n Proto bytes.
#pragma once

#include "applehatch/core/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace applehatch::wire {

/// Largest accepted message between processes, in bytes.
inline constexpr std::size_t maxMessageBytes = 16U << 20U;

/// Packed bytes of a digest for one datagram.
[[nodiscard]] auto encodeDigest(const core::Digest &digest) -> std::string;

/// None when the bytes are truncated, garbage or hold values out of range.
[[nodiscard]] auto decodeDigest(std::string_view bytes) -> std::optional<core::Digest>;

} // namespace applehatch::wire
