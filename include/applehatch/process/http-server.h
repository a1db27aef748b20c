/// An HTTP server over CivetWeb: one thread for each connection.
#pragma once

#include "applehatch/core/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

struct mg_connection;

namespace applehatch::process {

/// How reading a request's body ended.
enum class BodyRead {
    Whole,
    TooLarge,
    Broken, ///< The caller left or its body cannot be read.
};

/// One request and the answer to it; used by the thread that serves it only.
///
/// Each write says whether it reached the connection; after the first `false` the caller is gone.
class HttpExchange
{
public:
    explicit HttpExchange(mg_connection *connection);

    [[nodiscard]] auto method() const -> std::string_view;
    [[nodiscard]] auto path() const -> std::string_view;  ///< As sent, not decoded.
    [[nodiscard]] auto query() const -> std::string_view; ///< Empty without one.
    [[nodiscard]] auto header(const char *name) const -> std::string_view; ///< Empty without one.
    [[nodiscard]] auto headers() const -> core::Headers;
    [[nodiscard]] auto remoteIp() const -> std::string_view;

    /// Whether the caller closed its side since its request was read. A caller that closes only its
    /// sending side counts as gone too.
    [[nodiscard]] auto callerLeft() -> bool;

    /// Reads the whole body into `body`, up to `limit` bytes.
    [[nodiscard]] auto readBody(std::size_t limit, std::string &body) -> BodyRead;

    /// Sends a whole answer, with its length.
    [[nodiscard]] auto respond(int status, const core::Headers &headers, std::string_view body)
        -> bool;

    /// Begins an answer of unknown length; parts follow.
    [[nodiscard]] auto beginStream(int status, const core::Headers &headers) -> bool;
    [[nodiscard]] auto streamPart(std::string_view data) -> bool;
    [[nodiscard]] auto endStream() -> bool;

private:
    mg_connection *connection_;
    int socket_ = -1;     ///< Found at the first look; the library's.
    bool chunked_ = true; ///< HTTP/1.0 knows no chunks: the end is the connection's.
};

struct HttpServerOptions
{
    core::Address address; ///< Port 0 picks a free one.
    int threads = 4;       ///< Most callers served at once; more wait for their turn.
    core::Duration ioTimeout = std::chrono::seconds(30); ///< For a read or write that stalls.
};

class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange &)>;

    HttpServer();

    /// Stops accepting and waits for the handlers to end.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Binds and serves; once. Error: `std::errc::address_not_available`.
    [[nodiscard]] auto start(const HttpServerOptions &options, Handler handler,
                             core::Address &bound) -> std::error_code;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::process
