/// The encoding of run-once tickets as idempotency keys between router and sidecar.
#pragma once

#include "applehatch/core/message.h"
#include "applehatch/core/token.h"

#include <optional>
#include <string>

namespace applehatch::core {

/// Returns the `Terms::idempotencyKey` of a request with a ticket.
///
/// The key begins with a control character, which no HTTP header can contain. Otherwise a caller
/// could send a key that looks like a ticket and bypass the resend window.
[[nodiscard]] auto ticketKey(const Ticket &ticket) -> std::string;

/// Returns the expiry of the ticket on the sidecar's clock, or `nullopt` if `key` is not a
/// ticket's.
[[nodiscard]] auto ticketKeyExpiry(const std::string &key) -> std::optional<Instant>;

/// Returns the hash by which `rendezvousOwner` chooses the owner of an idempotency key.
[[nodiscard]] auto runOnceHash(const Terms &terms) -> std::uint64_t;

} // namespace applehatch::core
