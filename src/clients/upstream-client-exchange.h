/// One HTTP exchange with an upstream on an event loop of its own.
#pragma once

#include "applehatch/core/message.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace applehatch::clients {

/// How far an exchange came.
enum class ExchangeStage {
    NotConnected, ///< Nothing was handed to the network.
    Sent,         ///< Some of the request may have arrived.
    HeadRead,
};

/// Why an exchange was given up.
enum class ExchangeStop {
    None,
    Cancelled,
    Silent, ///< No byte for the longest allowed pause.
};

/// What is sent.
struct ExchangeRequest
{
    std::string method;
    std::string path;
    core::Headers headers;
    std::string_view body; ///< Must outlive the exchange.
};

/// The head of what came back.
struct ExchangeHead
{
    int status = 0;
    core::Headers headers; ///< Without those that concern only this connection.
    bool framed = false;   ///< The end of the body can be told from a broken connection.
};

/// True when the request can be written as HTTP without changing its meaning.
[[nodiscard]] auto sendable(const ExchangeRequest &request) -> bool;

/// True for the same header name in any case.
[[nodiscard]] auto sameName(std::string_view left, std::string_view right) -> bool;

/// The value of a header, whatever its name's case; empty when absent.
[[nodiscard]] auto headerValue(const core::Headers &headers, std::string_view name) -> std::string;

/// Drives one connection from the calling thread, which must not run an event loop already.
///
/// Every wait ends when `cancelled` is set (within `checkPeriod`) or when the allowed pause has
/// passed without a byte. Failures of the connection are thrown as `kj::Exception` and never leave
/// this package.
class Exchange
{
public:
    static constexpr auto checkPeriod = std::chrono::milliseconds(50);
    static constexpr std::size_t blockBytes = 65536;

    Exchange(const core::Address &upstream, const std::atomic<bool> &cancelled);

    /// Longest wait for the next byte from now on.
    auto allowPause(core::Duration pause) -> void { pause_ = pause; }

    /// Opens the connection; false when it could not be opened in time.
    [[nodiscard]] auto connect(core::Duration limit) -> bool;

    /// Sends the request and reads the head of the answer; none when given up.
    [[nodiscard]] auto send(const ExchangeRequest &request) -> std::optional<ExchangeHead>;

    /// The next bytes of the body; empty at its end or when given up.
    [[nodiscard]] auto read() -> std::string_view;

    [[nodiscard]] auto stage() const -> ExchangeStage { return stage_; }
    [[nodiscard]] auto stop() const -> ExchangeStop { return stop_; }

private:
    template <typename T>
    auto await(kj::Promise<T> promise) -> kj::Maybe<T>;
    auto giveUp(core::Duration waited) -> kj::Promise<void>;
    auto toKj(const core::Headers &headers) const -> kj::HttpHeaders;

    kj::AsyncIoContext io_;
    core::Address upstream_;
    const std::atomic<bool> &cancelled_;
    core::Duration pause_{std::chrono::seconds(10)};
    ExchangeStage stage_ = ExchangeStage::NotConnected;
    ExchangeStop stop_ = ExchangeStop::None;
    kj::Own<kj::HttpHeaderTable> table_;
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<kj::HttpClient> client_;
    kj::Maybe<kj::Promise<void>> upload_; ///< The request's body on its way.
    kj::Own<kj::AsyncInputStream> body_;
    kj::Array<char> block_;
};

} // namespace applehatch::clients
