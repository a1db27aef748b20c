/// Parsing and validation of callers' requests.
#pragma once

#include "applehatch/core/router-node.h"
#include "applehatch/process/http-server.h"

#include <cstddef>
#include <variant>

namespace applehatch::router {

/// Maximum size of a request body in bytes.
inline constexpr std::size_t maxRequestBody = 4U << 20U;
inline constexpr std::string_view completionsPath = "/v1/chat/completions";
inline constexpr std::string_view answersPath = "/v1/answers";
inline constexpr std::string_view ticketsPath = "/v1/tickets";

template <typename Value>
using ReadResult = std::variant<Value, core::Failure>;

/// Reads a model call or a plain service's call.
[[nodiscard]] auto readCall(process::HttpExchange &exchange, const core::RequestId &request)
    -> ReadResult<core::CallerRequest>;

/// Reads a request to resume an answer.
[[nodiscard]] auto readResume(process::HttpExchange &exchange, const core::RequestId &request)
    -> ReadResult<core::CallerResume>;

/// Reads a request for a run-once ticket.
[[nodiscard]] auto readTicketRequest(process::HttpExchange &exchange,
                                     const core::RequestId &request)
    -> ReadResult<core::TicketRequest>;

} // namespace applehatch::router
