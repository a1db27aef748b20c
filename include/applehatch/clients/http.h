/// A whole HTTP exchange, for calls whose answers are small.
#pragma once

#include "applehatch/core/message.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace applehatch::clients {

/// Largest body taken from an answer unless a request says otherwise, in bytes.
inline constexpr std::size_t defaultMaxBodyBytes = 16U << 20U;

/// One request; a connection is opened for it and closed after its answer.
struct HttpRequest
{
    core::Address server;
    std::string method = "GET";
    std::string path; ///< With its query, already escaped.
    core::Headers headers;
    std::string body;
    core::Duration timeout = std::chrono::seconds(5); ///< Until the whole answer.
    std::size_t maxBodyBytes = defaultMaxBodyBytes;
    /// Ends the exchange within 100 ms once true; null for one that only its timeout ends.
    const std::atomic<bool> *cancelled = nullptr;
};

struct HttpResponse
{
    int status = 0;
    core::Headers headers;
    std::string body;

    /// The first header of that name, whatever its case; empty without one.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

/// Sends `request` and reads its whole answer; blocks the calling thread, which must not run an
/// event loop. Thread-safe.
///
/// Errors: `std::errc::connection_refused` when no connection could be made,
/// `std::errc::timed_out` without a whole answer in time, `std::errc::operation_canceled` once
/// `cancelled` is true, `std::errc::bad_message` for an answer
/// that is not HTTP or was cut short, `std::errc::message_size` for a body beyond `maxBodyBytes`,
/// `std::errc::invalid_argument` for a method that HTTP does not know. An answer of any status is
/// no error.
[[nodiscard]] auto exchange(const HttpRequest &request, HttpResponse &into) -> std::error_code;

} // namespace applehatch::clients
