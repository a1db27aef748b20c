/// One HTTP exchange with an upstream on the event loop of the calling thread.
#pragma once

#include "applehatch/core/message.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <optional>
#include <string>
#include <string_view>

namespace applehatch::clients {

/// Progress of an exchange.
enum class ExchangeStage {
    NotConnected, ///< Nothing was sent.
    Sent,         ///< Some of the request may have arrived.
    HeadRead,
};

/// An HTTP request.
struct ExchangeRequest
{
    std::string method;
    std::string path;
    core::Headers headers;
    std::string_view body; ///< Must outlive the exchange.
};

/// The head of an HTTP response.
struct ExchangeHead
{
    int status = 0;
    core::Headers headers; ///< Without hop-by-hop headers.
    bool framed = false;   ///< The end of the body differs from a broken connection.
};

/// True when the request can be written as HTTP without changing its meaning.
[[nodiscard]] auto sendable(const ExchangeRequest &request) -> bool;

/// True for the same header name in any case.
[[nodiscard]] auto sameName(std::string_view left, std::string_view right) -> bool;

/// The value of a header, whatever its name's case; empty when absent.
[[nodiscard]] auto headerValue(const core::Headers &headers, std::string_view name) -> std::string;

/// Drives one connection. Promises are rejected when the connection breaks or cannot be opened;
/// they and the exchange belong to one thread, and the promises must end before the exchange.
class Exchange
{
public:
    static constexpr std::size_t blockBytes = 16384;

    /// `table` must outlive the exchange.
    Exchange(kj::Network &network, const kj::HttpHeaderTable &table, core::Address upstream);

    /// Opens the connection.
    [[nodiscard]] auto connect() -> kj::Promise<void>;

    /// Sends the request and reads the response head; empty when the head is larger than allowed.
    [[nodiscard]] auto send(const ExchangeRequest &request)
        -> kj::Promise<std::optional<ExchangeHead>>;

    /// The next bytes of the body, which the next read overwrites; empty at its end.
    [[nodiscard]] auto read() -> kj::Promise<std::string_view>;

    [[nodiscard]] auto stage() const -> ExchangeStage { return stage_; }

private:
    [[nodiscard]] auto toKj(const core::Headers &headers) const -> kj::HttpHeaders;

    kj::Network &network_;
    const kj::HttpHeaderTable &table_;
    core::Address upstream_;
    ExchangeStage stage_ = ExchangeStage::NotConnected;
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<kj::HttpClient> client_;
    kj::Maybe<kj::Promise<void>> upload_; ///< Sends the request's body.
    kj::Own<kj::AsyncInputStream> body_;
    kj::Array<char> block_;
};

/// Resolves after `limit`, counted in short timer steps of which a stall of this process uses up at
/// most one. After a stall the upstream's bytes are still unread, and the upstream would be blamed
/// for a silence that this process caused.
[[nodiscard]] auto afterStallAwareDelay(kj::Timer &timer, core::Duration limit)
    -> kj::Promise<void>;

} // namespace applehatch::clients
