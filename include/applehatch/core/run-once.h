/// How run-once keys are named on the way from router to sidecar.
#pragma once

#include "applehatch/core/message.h"
#include "applehatch/core/token.h"

#include <optional>
#include <string>

namespace applehatch::core {

/// What `Terms::idempotencyKey` holds for a request with a ticket.
///
/// It begins with a control character, which no HTTP header can carry; otherwise a caller could
/// send a key that passes for a ticket and so escape the resend window.
[[nodiscard]] auto ticketKey(const Ticket &ticket) -> std::string;

/// When the ticket expires on the sidecar's clock; none when `key` is not a ticket's.
[[nodiscard]] auto ticketKeyExpiry(const std::string &key) -> std::optional<Instant>;

/// The key that `rendezvousOwner` takes for a request with an idempotency key.
[[nodiscard]] auto runOnceHash(const Terms &terms) -> std::uint64_t;

} // namespace applehatch::core
