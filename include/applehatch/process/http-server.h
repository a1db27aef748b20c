/// HTTP server on top of CivetWeb, with one thread per connection.
#pragma once

#include "applehatch/core/message.h"
#include "applehatch/process/answer-memory.h"
#include "applehatch/process/body-memory.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

struct mg_connection;

namespace applehatch::process {

/// Result of reading a request's body.
enum class BodyRead {
    Complete,
    TooLarge,
    Incomplete, ///< The caller disconnected or the body cannot be read.
    NoRoom,     ///< Other bodies take the memory or the threads.
};

/// One request and its answer. Used only by the thread that serves the request.
///
/// Each write returns whether it reached the connection; after the first `false` the caller has
/// disconnected.
class HttpExchange
{
public:
    /// `bodies` bounds the bodies of all exchanges, and outlives this one; `answers` their answers.
    HttpExchange(mg_connection *connection, BodyMemory &bodies,
                 std::shared_ptr<AnswerMemory> answers);

    [[nodiscard]] auto method() const -> std::string_view;
    [[nodiscard]] auto path() const -> std::string_view;  ///< As sent, not decoded.
    [[nodiscard]] auto query() const -> std::string_view; ///< Empty when there is none.
    [[nodiscard]] auto header(const char *name) const -> std::string_view; ///< Empty if absent.
    [[nodiscard]] auto headers() const -> core::Headers;
    [[nodiscard]] auto remoteIp() const -> std::string_view;

    /// Returns whether the caller has closed its side of the connection since its request was read.
    /// A caller that closes only its sending side counts as disconnected too.
    [[nodiscard]] auto callerDisconnected() -> bool;

    /// Reads the whole body into `body`, up to `limit` bytes.
    [[nodiscard]] auto readBody(std::size_t limit, std::string &body) -> BodyRead;

    /// Sends a complete answer with its length.
    [[nodiscard]] auto respond(int status, const core::Headers &headers, std::string_view body)
        -> bool;

    /// Begins an answer of unknown length, to be followed by `streamPart` and `endStream`.
    [[nodiscard]] auto beginStream(int status, const core::Headers &headers) -> bool;
    [[nodiscard]] auto streamPart(std::string_view data) -> bool;
    [[nodiscard]] auto endStream() -> bool;

    /// What is kept of the answer until it is written has to be counted here.
    [[nodiscard]] auto answer() const -> const std::shared_ptr<AnswerMemory::Answer> &
    {
        return answer_;
    }

private:
    [[nodiscard]] auto write(std::string_view text) -> bool;
    /// The connection's socket, -1 if it is not found.
    [[nodiscard]] auto socket() -> int;
    /// Whether the request's method and the status allow a body.
    [[nodiscard]] auto sendsBody(int status) const -> bool;

    /// Reads what the library hands over, as far as there is room.
    [[nodiscard]] auto readParts(std::size_t limit, std::string &body) -> BodyRead;
    /// Makes room in `body` for so many bytes. Returns false if there is none.
    [[nodiscard]] auto makeRoom(std::string &body, std::size_t bytes) -> bool;

    mg_connection *connection_;
    BodyMemory &bodies_;
    std::optional<BodyMemory::Body> body_; ///< Kept until the request is answered.
    std::shared_ptr<AnswerMemory::Answer> answer_;
    int socket_ = -1;       ///< Looked up on first use; owned by the library.
    bool chunked_ = true;   ///< False for HTTP/1.0, which ends a body by closing.
    bool sendsBody_ = true; ///< The stream that was begun has a body.
};

struct HttpServerOptions
{
    core::Address address; ///< Port 0 selects a free port.
    int threads = 4;       ///< Callers served at once; further callers wait.
    core::Duration ioTimeout = std::chrono::seconds(30); ///< For a stalled read or write.
    /// Bytes that bodies of requests may take together, each counted twice. Half of the threads
    /// read bodies, at most.
    std::size_t bodyMemory = std::size_t{256} * 1024 * 1024;
    /// Bytes that answers may take together, as far as they are counted with their exchanges.
    std::size_t answerMemory = std::size_t{256} * 1024 * 1024;
};

/// HTTP server that calls a handler on a pool of threads, once per request.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange &)>;

    HttpServer();

    /// Stops accepting connections and waits for the running handlers to return.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Binds and starts serving; may be called once. `bound` receives the address with the actual
    /// port. Error: `std::errc::address_not_available`.
    [[nodiscard]] auto start(const HttpServerOptions &options, Handler handler,
                             core::Address &bound) -> std::error_code;

    /// Returns what gave way to others since the last call.
    [[nodiscard]] auto takeGivenWay() -> GivenWay;

    /// Waits until no request came or ran for `quiet`, at most for `limit`. What the library has
    /// accepted and not read would otherwise be reset as the server ends.
    auto awaitQuiet(core::Duration quiet, core::Duration limit) -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::process
