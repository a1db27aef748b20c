/// HTTP/1.1 messages and incremental readers based on Boost.Beast's parser.
#pragma once

#include "applehatch/gateway/byte-budget.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace applehatch::gateway {

/// Header fields in the order of arrival.
class HeaderList
{
public:
    struct Field
    {
        std::string name;
        std::string value;
    };

    auto add(std::string_view name, std::string_view value) -> void;
    auto remove(std::string_view name) -> void;
    /// First value of `name`, compared case-insensitively; null if absent.
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *;
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;
    [[nodiscard]] auto fields() const -> const std::vector<Field> & { return fields_; }
    /// Bytes that the list takes in memory, which may be many times what was sent.
    [[nodiscard]] auto memory() const -> std::size_t;

private:
    std::vector<Field> fields_;
};

[[nodiscard]] auto equalsIgnoringCase(std::string_view a, std::string_view b) -> bool;
[[nodiscard]] auto lessIgnoringCase(std::string_view a, std::string_view b) -> bool;

/// Names of the hop-by-hop headers: the standard ones and those listed in `Connection`.
///
/// Headers in `endToEnd` are never included. Otherwise a caller could list a header that decides
/// how a request runs in `Connection` and so have it removed.
[[nodiscard]] auto hopByHopHeaders(const HeaderList &headers,
                                   const std::vector<std::string> &endToEnd)
    -> std::vector<std::string>;

struct RequestMessage
{
    std::string method;
    std::string target; ///< Path and query as received.
    HeaderList headers;
    std::string body;
    bool keepAlive = true;
    ByteShare kept; ///< What the message takes of the memory for requests.

    [[nodiscard]] auto path() const -> std::string_view;
    /// The `Host` header in lower case and without its port.
    [[nodiscard]] auto host() const -> std::string;
};

/// How the end of a response body is determined.
enum class Framing {
    NoBody, ///< Responses to HEAD and responses with status 1xx, 204 or 304.
    Length,
    Chunked,
    UntilClose,
};

struct ResponseHead
{
    int status = 0;
    std::string reason;
    HeaderList headers;
    Framing framing = Framing::Length;
    /// Body size in bytes; valid with `Framing::Length`. With `Framing::NoBody`, the size that the
    /// answer to GET would have; 0 if not known.
    std::uint64_t length = 0;
    bool keepAlive = true;
};

/// Result of passing bytes to a reader.
enum class ReadState {
    NeedMore,
    Done,
    Failed,
};

/// Why a request is rejected.
enum class RequestFault {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/// Incremental reader of one request.
///
/// A message that could be parsed as two different ones is rejected: both a length and chunked
/// encoding, a transfer coding other than `chunked`, more than one `Host`. Otherwise a caller could
/// smuggle a request inside another, and an upstream would run a request that no caller sent.
///
/// What frames a chunked body beyond the sizes of its chunks, which is extensions and trailers, may
/// be as long as a head.
class RequestReader : private boost::beast::http::basic_parser<true>
{
    using Base = boost::beast::http::basic_parser<true>;

public:
    RequestReader(std::size_t headerBytes, std::size_t bodyBytes);

    /// Consumes as many bytes as possible from the front of `bytes`.
    auto feed(std::string &bytes) -> ReadState;
    [[nodiscard]] auto headRead() const -> bool { return Base::is_header_done(); }
    [[nodiscard]] auto fault() const -> RequestFault { return fault_; }
    [[nodiscard]] auto expectsContinue() const -> bool;
    /// How much of the body has come.
    [[nodiscard]] auto receivedBody() const -> std::size_t { return message_.body.size(); }
    /// Bytes that what has come of the body takes in memory.
    [[nodiscard]] auto bodyCapacity() const -> std::size_t;
    /// The same with all that was announced; 0 until the head is read.
    [[nodiscard]] auto bodyMemory() const -> std::size_t;
    /// Bytes that the head takes in memory; 0 until it is read.
    [[nodiscard]] auto headMemory() const -> std::size_t { return headMemory_; }
    /// Makes place for the body that was announced, so that it need not be moved as it grows.
    auto reserveBody() -> void;
    auto take() -> RequestMessage;

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    auto on_request_impl(boost::beast::http::verb method, Text methodText, Text target, int version,
                         ErrorCode &error) -> void override;
    auto on_response_impl(int code, Text reason, int version, ErrorCode &error) -> void override;
    auto on_field_impl(boost::beast::http::field name, Text nameText, Text value, ErrorCode &error)
        -> void override;
    auto on_header_impl(ErrorCode &error) -> void override;
    auto on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &error)
        -> void override;
    auto on_body_impl(Text body, ErrorCode &error) -> std::size_t override;
    auto on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &error)
        -> void override;
    auto on_chunk_body_impl(std::uint64_t remain, Text body, ErrorCode &error)
        -> std::size_t override;
    auto on_finish_impl(ErrorCode &error) -> void override;

    /// Whether more came beside the body than a head and its like in framing.
    [[nodiscard]] auto hasTooMuchFraming(std::size_t unparsed) const -> bool;

    RequestMessage message_;
    RequestFault fault_ = RequestFault::Malformed;
    std::size_t headerBytes_;
    std::size_t headMemory_ = 0;
    std::size_t parsed_ = 0; // Bytes of the whole message so far.
    std::size_t chunks_ = 0;
};

/// Incremental reader of one response that passes its parts to hooks as they arrive.
class ResponseReader : private boost::beast::http::basic_parser<false>
{
    using Base = boost::beast::http::basic_parser<false>;

public:
    struct Hooks
    {
        std::function<void(ResponseHead &)> head;
        std::function<void(std::string_view)> body;
    };

    /// `isHead`: the request was a `HEAD`, whose response has no body.
    ResponseReader(Hooks hooks, bool isHead);

    auto feed(std::string &bytes) -> ReadState;
    /// Handles an orderly close. Returns `Done` if the close completes the body, else `Failed`.
    auto feedEnd() -> ReadState;
    [[nodiscard]] auto headRead() const -> bool { return Base::is_header_done(); }
    [[nodiscard]] auto keepAlive() const -> bool { return Base::keep_alive(); }

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    auto on_request_impl(boost::beast::http::verb method, Text methodText, Text target, int version,
                         ErrorCode &error) -> void override;
    auto on_response_impl(int code, Text reason, int version, ErrorCode &error) -> void override;
    auto on_field_impl(boost::beast::http::field name, Text nameText, Text value, ErrorCode &error)
        -> void override;
    auto on_header_impl(ErrorCode &error) -> void override;
    auto on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &error)
        -> void override;
    auto on_body_impl(Text body, ErrorCode &error) -> std::size_t override;
    auto on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &error)
        -> void override;
    auto on_chunk_body_impl(std::uint64_t remain, Text body, ErrorCode &error)
        -> std::size_t override;
    auto on_finish_impl(ErrorCode &error) -> void override;

    Hooks hooks_;
    ResponseHead head_;
    bool isHead_;
};

/// Standard reason phrase of an HTTP status.
[[nodiscard]] auto reasonPhrase(int status) -> std::string;

/// Serializes an HTTP/1.1 request and adds `Content-Length` where needed.
[[nodiscard]] auto requestText(const RequestMessage &request) -> std::string;

/// Serializes the status line and headers, and adds the framing and connection headers.
[[nodiscard]] auto headText(const ResponseHead &head) -> std::string;

/// Encodes one chunk of a chunked body.
[[nodiscard]] auto chunkText(std::string_view bytes) -> std::string;

/// Final chunk of a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace applehatch::gateway
