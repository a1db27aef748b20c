/// Single blocking HTTP requests, for calls with small responses.
#pragma once

#include "applehatch/core/message.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace applehatch::clients {

/// Default limit of a response body, in bytes.
inline constexpr std::size_t defaultMaxBodyBytes = 16U << 20U;

/// One request; it uses a connection of its own, closed after the response.
struct HttpRequest
{
    core::Address server;
    std::string method = "GET";
    std::string path; ///< Path and query, already escaped.
    core::Headers headers;
    std::string body;
    core::Duration timeout = std::chrono::seconds(5); ///< For the whole exchange.
    std::size_t maxBodyBytes = defaultMaxBodyBytes;
    /// Ends the exchange within 100 ms once true; null if only the timeout may end it.
    const std::atomic<bool> *cancelled = nullptr;
};

struct HttpResponse
{
    int status = 0;
    core::Headers headers;
    std::string body;

    /// Value of the first header with this name, compared case-insensitively; empty if absent.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

/// Sends `request` and reads the whole response; blocks the calling thread, which must not run an
/// event loop. Thread-safe.
///
/// Errors: `std::errc::connection_refused` when no connection could be made,
/// `std::errc::timed_out` when the response is not complete in time,
/// `std::errc::operation_canceled` once `cancelled` is true, `std::errc::bad_message` for a
/// response that is not HTTP or is truncated, `std::errc::message_size` for a body beyond
/// `maxBodyBytes`, `std::errc::invalid_argument` for a method that HTTP does not define. No
/// response status is an error.
[[nodiscard]] auto exchange(const HttpRequest &request, HttpResponse &into) -> std::error_code;

} // namespace applehatch::clients
