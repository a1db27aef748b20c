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

/// Largest accepted digest datagram, in bytes; fits an Ethernet frame.
inline constexpr std::size_t maxDatagramBytes = 1400;

/// Encodes a digest as the packed bytes of one datagram. Ages are rounded up to whole milliseconds.
[[nodiscard]] auto encodeDigest(const core::Digest &digest) -> std::string;

/// Decodes a digest; empty when the bytes are truncated, malformed or hold values out of range.
[[nodiscard]] auto decodeDigest(std::string_view bytes) -> std::optional<core::Digest>;

/// Encodes one message as unpacked bytes, the form in which a link carries it within a batch.
[[nodiscard]] auto encodeMessage(const core::Message &message) -> std::string;

/// Decodes a message; empty when the bytes are truncated, malformed, too large or hold values out
/// of range.
[[nodiscard]] auto decodeMessage(std::string_view bytes) -> std::optional<core::Message>;

/// Name of a message's kind for metrics, such as `chunk`.
[[nodiscard]] auto kindName(const core::Message &message) -> std::string_view;

/// Whether a kind counts as control traffic. Payload is what a caller sends or receives: `submit`,
/// `head`, `chunk`, `end` and `refusal`. Every other kind, digests included, is control traffic.
[[nodiscard]] auto isControlKind(std::string_view kind) -> bool;

} // namespace applehatch::wire
