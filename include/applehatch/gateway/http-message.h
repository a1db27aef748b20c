/// HTTP/1.1 messages, read by Boost.Beast's parser from bytes as they arrive.
#pragma once

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

/// Names and values in the order in which they came.
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
    /// The first value of `name`, in any case of letters; null without one.
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *;
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;
    [[nodiscard]] auto fields() const -> const std::vector<Field> & { return fields_; }

private:
    std::vector<Field> fields_;
};

[[nodiscard]] auto equalsIgnoringCase(std::string_view a, std::string_view b) -> bool;

/// The headers that concern one connection only: the fixed ones and those that `Connection` names.
///
/// `kept` is never among them. Without that a caller could have a header that decides how a request
/// runs dropped on the way by naming it in `Connection`.
[[nodiscard]] auto hopByHopHeaders(const HeaderList &headers,
                                   const std::vector<std::string> &endToEnd)
    -> std::vector<std::string>;

struct RequestMessage
{
    std::string method;
    std::string target; ///< As sent: path and query.
    HeaderList headers;
    std::string body;
    bool keepAlive = true;

    [[nodiscard]] auto path() const -> std::string_view;
    /// The `Host` header in lower case and without its port.
    [[nodiscard]] auto host() const -> std::string;
};

/// How a response tells where its body ends.
enum class Framing {
    NoBody, ///< Answers to HEAD, 204 and 304.
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
    std::uint64_t length = 0; ///< With `Framing::Length`.
    bool keepAlive = true;
};

/// What came of bytes handed to a reader.
enum class ReadState {
    NeedMore,
    Done,
    Failed,
};

/// Why a request cannot be read.
enum class RequestFault {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/// Reads one request.
///
/// Whatever could be taken for two different messages is refused: both a length and chunks, a
/// transfer coding other than `chunked`, more than one `Host`. Otherwise a caller could hide a
/// request inside another, and an upstream would run what no caller sent.
class RequestReader : private boost::beast::http::basic_parser<true>
{
    using Base = boost::beast::http::basic_parser<true>;

public:
    RequestReader(std::size_t headerBytes, std::size_t bodyBytes);

    /// Takes what it can from the front of `bytes`.
    auto feed(std::string &bytes) -> ReadState;
    [[nodiscard]] auto headRead() const -> bool { return Base::is_header_done(); }
    [[nodiscard]] auto fault() const -> RequestFault { return fault_; }
    [[nodiscard]] auto expectsContinue() const -> bool;
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

    RequestMessage message_;
    RequestFault fault_ = RequestFault::Malformed;
};

/// Reads one response after another; the parts are given to hooks as they come.
class ResponseReader : private boost::beast::http::basic_parser<false>
{
    using Base = boost::beast::http::basic_parser<false>;

public:
    struct Hooks
    {
        std::function<void(ResponseHead &)> head;
        std::function<void(std::string_view)> body;
    };

    /// `toHead`: the request was a `HEAD`, whose response has no body.
    ResponseReader(Hooks hooks, bool isHead);

    auto feed(std::string &bytes) -> ReadState;
    /// The connection was closed in order; whole when the body ends that way.
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

/// The standard reason phrase of a status.
[[nodiscard]] auto reasonPhrase(int status) -> std::string;

/// `METHOD target HTTP/1.1`, headers and body; the length header is set here.
[[nodiscard]] auto requestText(const RequestMessage &request) -> std::string;

/// Status line and headers; framing headers are set here.
[[nodiscard]] auto headText(const ResponseHead &head) -> std::string;

/// One chunk of a chunked body.
[[nodiscard]] auto chunkText(std::string_view bytes) -> std::string;

/// The end of a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace applehatch::gateway
