/// Opaque tokens that callers store and send back: context, position in an answer, run-once ticket.
#pragma once

#include "applehatch/core/identity.h"

#include <optional>
#include <string>

namespace applehatch::core {

/// A position at which an answer can be resumed, sent as the SSE event id.
struct Position
{
    UpstreamId upstream = 0;
    RequestId request;
    std::uint64_t offset = 0;
};

/// Permission to run a request at one incarnation of one upstream only.
struct Ticket
{
    UpstreamIncarnation target;
    std::string pool;        ///< `team/pool`.
    std::uint64_t nonce = 0; ///< Makes each ticket a unique idempotency key.
    Instant expires;         ///< On the sidecar's clock.
};

[[nodiscard]] auto formatContext(const UpstreamIncarnation &context) -> std::string;
[[nodiscard]] auto parseContext(std::string_view text) -> std::optional<UpstreamIncarnation>;
[[nodiscard]] auto formatPosition(const Position &position) -> std::string;
[[nodiscard]] auto parsePosition(std::string_view text) -> std::optional<Position>;
[[nodiscard]] auto formatTicket(const Ticket &ticket) -> std::string;
[[nodiscard]] auto parseTicket(std::string_view text) -> std::optional<Ticket>;

} // namespace applehatch::core
