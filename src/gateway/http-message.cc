#include "applehatch/gateway/http-message.h"

#include "applehatch/core/http-status.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace applehatch::gateway {

namespace http = boost::beast::http;

namespace {

using Field = HeaderList::Field;

constexpr std::array<std::string_view, 9> hopByHopNames = {"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Connection",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade"};

auto lower(char c) -> char
{
    constexpr char distance = 'a' - 'A';
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + distance) : c;
}

auto text(boost::beast::string_view view) -> std::string_view
{
    return {view.data(), view.size()};
}

auto trimmed(std::string_view value) -> std::string_view
{
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
        value.remove_prefix(1);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
        value.remove_suffix(1);
    return value;
}

auto splitList(std::string_view list) -> std::vector<std::string_view>
{
    std::vector<std::string_view> parts;
    while (!list.empty()) {
        const auto comma = list.find(',');
        const auto part = trimmed(list.substr(0, comma));
        if (!part.empty())
            parts.push_back(part);
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return parts;
}

auto appendHeaders(std::string &out, const HeaderList &headers) -> void
{
    for (const auto &field : headers.fields()) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

// Feeds the parser from the front of `bytes` until it is done, fails or needs more bytes.
template <typename Parser>
auto feedAll(Parser &parser, std::string &bytes, boost::beast::error_code &error) -> ReadState
{
    while (!parser.is_done()) {
        const auto taken = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        bytes.erase(0, taken);
        if (error == http::error::need_more) {
            error = {};
            return ReadState::NeedMore;
        }
        if (error)
            return ReadState::Failed;
        if (!parser.is_done() && taken == 0)
            return ReadState::NeedMore;
    }
    return ReadState::Done;
}

auto framingOf(int status, bool isHead, bool isChunked, bool hasLength) -> Framing
{
    if (isHead || !core::allowsBody(status))
        return Framing::NoBody;
    if (isChunked)
        return Framing::Chunked;
    return hasLength ? Framing::Length : Framing::UntilClose;
}

} // namespace

auto equalsIgnoringCase(std::string_view a, std::string_view b) -> bool
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char left, char right) { return lower(left) == lower(right); });
}

auto lessIgnoringCase(std::string_view a, std::string_view b) -> bool
{
    // Shorter ones first, since most names differ in that.
    if (a.size() != b.size())
        return a.size() < b.size();
    return std::lexicographical_compare(
        a.begin(), a.end(), b.begin(), b.end(),
        [](char left, char right) { return lower(left) < lower(right); });
}

auto HeaderList::add(std::string_view name, std::string_view value) -> void
{
    fields_.push_back({std::string(name), std::string(value)});
}

auto HeaderList::remove(std::string_view name) -> void
{
    std::erase_if(fields_, [name](const Field &f) { return equalsIgnoringCase(f.name, name); });
}

auto HeaderList::find(std::string_view name) const -> const std::string *
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [name](const Field &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return found == fields_.end() ? nullptr : &found->value;
}

auto HeaderList::memory() const -> std::size_t
{
    auto bytes = fields_.capacity() * sizeof(Field);
    for (const auto &field : fields_)
        bytes += field.name.capacity() + field.value.capacity();
    return bytes;
}

auto HeaderList::count(std::string_view name) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(fields_.begin(), fields_.end(),
                      [name](const Field &field) { return equalsIgnoringCase(field.name, name); }));
}

auto hopByHopHeaders(const HeaderList &headers, const std::vector<std::string> &endToEnd)
    -> std::vector<std::string>
{
    std::vector<std::string> names(hopByHopNames.begin(), hopByHopNames.end());
    const auto isEndToEnd = [&endToEnd](std::string_view name) {
        return std::any_of(endToEnd.begin(), endToEnd.end(), [name](const std::string &each) {
            return equalsIgnoringCase(each, name);
        });
    };
    for (const auto &field : headers.fields()) {
        if (!equalsIgnoringCase(field.name, "Connection"))
            continue;
        for (const auto name : splitList(field.value)) {
            if (!isEndToEnd(name))
                names.emplace_back(name);
        }
    }
    return names;
}

auto RequestMessage::path() const -> std::string_view
{
    return std::string_view(target).substr(0, target.find('?'));
}

auto RequestMessage::host() const -> std::string
{
    const auto *value = headers.find("Host");
    if (value == nullptr)
        return {};
    auto name = value->substr(0, value->find(':'));
    std::transform(name.begin(), name.end(), name.begin(), lower);
    return name;
}

RequestReader::RequestReader(std::size_t headerBytes, std::size_t bodyBytes)
    : headerBytes_(headerBytes)
{
    Base::eager(true);
    Base::header_limit(static_cast<std::uint32_t>(headerBytes));
    Base::body_limit(bodyBytes);
}

auto RequestReader::feed(std::string &bytes) -> ReadState
{
    ErrorCode error;
    const auto before = bytes.size();
    const auto progress = feedAll(static_cast<Base &>(*this), bytes, error);
    parsed_ += before - bytes.size();
    const auto unparsed = progress == ReadState::NeedMore ? bytes.size() : 0;
    const auto isOverLimit = !error && headRead() && hasTooMuchFraming(unparsed);
    if (error == http::error::header_limit || isOverLimit)
        fault_ = RequestFault::HeaderTooLarge;
    else if (error == http::error::body_limit)
        fault_ = RequestFault::BodyTooLarge;
    return isOverLimit ? ReadState::Failed : progress;
}

auto RequestReader::hasTooMuchFraming(std::size_t unparsed) const -> bool
{
    // The size in 16 digits, and two line ends.
    constexpr std::size_t usualFraming = 20;
    const auto allowed = 2 * headerBytes_ + message_.body.size() + chunks_ * usualFraming;
    return parsed_ > allowed || unparsed > headerBytes_;
}

auto RequestReader::expectsContinue() const -> bool
{
    const auto *value = message_.headers.find("Expect");
    return value != nullptr && equalsIgnoringCase(*value, "100-continue");
}

auto RequestReader::bodyCapacity() const -> std::size_t
{
    return message_.body.empty() ? 0 : message_.body.capacity();
}

auto RequestReader::bodyMemory() const -> std::size_t
{
    if (!headRead())
        return 0;
    const auto announced = Base::content_length();
    return std::max(announced ? static_cast<std::size_t>(*announced) : 0, bodyCapacity());
}

auto RequestReader::reserveBody() -> void
{
    if (const auto announced = Base::content_length())
        message_.body.reserve(static_cast<std::size_t>(*announced));
}

auto RequestReader::take() -> RequestMessage
{
    message_.keepAlive = Base::keep_alive();
    return std::move(message_);
}

auto RequestReader::on_request_impl(http::verb /*method*/, Text methodText, Text target,
                                    int /*version*/, ErrorCode &error) -> void
{
    message_.method = text(methodText);
    message_.target = text(target);
    if (message_.target.empty() || message_.target.front() != '/')
        error = http::error::bad_target;
}

auto RequestReader::on_response_impl(int /*code*/, Text /*reason*/, int /*version*/,
                                     ErrorCode & /*error*/) -> void
{ }

auto RequestReader::on_field_impl(http::field name, Text nameText, Text value, ErrorCode &error)
    -> void
{
    const auto known = text(value);
    if (name == http::field::transfer_encoding && !equalsIgnoringCase(known, "chunked"))
        error = http::error::bad_transfer_encoding;
    if (name == http::field::host && message_.headers.find("Host") != nullptr)
        error = http::error::bad_value;
    message_.headers.add(text(nameText), known);
}

auto RequestReader::on_header_impl(ErrorCode &error) -> void
{
    const auto hasLength = message_.headers.find("Content-Length") != nullptr;
    const auto isChunked = message_.headers.find("Transfer-Encoding") != nullptr;
    if (hasLength && isChunked)
        error = http::error::bad_transfer_encoding;
    headMemory_ = message_.headers.memory() + message_.target.capacity();
}

auto RequestReader::on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                                      ErrorCode & /*error*/) -> void
{ }

auto RequestReader::on_body_impl(Text body, ErrorCode & /*error*/) -> std::size_t
{
    message_.body += text(body);
    return body.size();
}

auto RequestReader::on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                                         ErrorCode & /*error*/) -> void
{
    ++chunks_;
}

auto RequestReader::on_chunk_body_impl(std::uint64_t /*remain*/, Text body, ErrorCode & /*error*/)
    -> std::size_t
{
    message_.body += text(body);
    return body.size();
}

auto RequestReader::on_finish_impl(ErrorCode & /*error*/) -> void { }

ResponseReader::ResponseReader(Hooks hooks, bool isHead)
    : hooks_(std::move(hooks))
    , isHead_(isHead)
{
    Base::eager(true);
    Base::skip(isHead);
    // Not `none`: this version of Boost.Beast treats every length as larger than that.
    Base::body_limit(std::numeric_limits<std::uint64_t>::max());
}

auto ResponseReader::feed(std::string &bytes) -> ReadState
{
    ErrorCode error;
    return feedAll(static_cast<Base &>(*this), bytes, error);
}

auto ResponseReader::feedEnd() -> ReadState
{
    if (Base::is_done())
        return ReadState::Done;
    if (!Base::is_header_done())
        return ReadState::Failed;
    ErrorCode error;
    Base::put_eof(error);
    return error ? ReadState::Failed : ReadState::Done;
}

auto ResponseReader::on_request_impl(http::verb /*method*/, Text /*methodText*/, Text /*target*/,
                                     int /*version*/, ErrorCode & /*error*/) -> void
{ }

auto ResponseReader::on_response_impl(int code, Text reason, int /*version*/, ErrorCode &error)
    -> void
{
    // The parser takes any three digits. What is less than the first interim status is no answer.
    constexpr int firstStatus = 100;
    if (code < firstStatus)
        error = http::error::bad_status;
    head_ = ResponseHead();
    head_.status = code;
    head_.reason = text(reason);
}

auto ResponseReader::on_field_impl(http::field /*name*/, Text nameText, Text value,
                                   ErrorCode & /*error*/) -> void
{
    head_.headers.add(text(nameText), text(value));
}

auto ResponseReader::on_header_impl(ErrorCode &error) -> void
{
    const auto length = Base::content_length();
    if (length && Base::chunked()) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    head_.keepAlive = Base::keep_alive();
    head_.length = length.value_or(0);
    head_.framing = framingOf(head_.status, isHead_, Base::chunked(), length.has_value());
    hooks_.head(head_);
}

auto ResponseReader::on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                                       ErrorCode & /*error*/) -> void
{ }

auto ResponseReader::on_body_impl(Text body, ErrorCode & /*error*/) -> std::size_t
{
    hooks_.body(text(body));
    return body.size();
}

auto ResponseReader::on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                                          ErrorCode & /*error*/) -> void
{ }

auto ResponseReader::on_chunk_body_impl(std::uint64_t /*remain*/, Text body, ErrorCode & /*error*/)
    -> std::size_t
{
    hooks_.body(text(body));
    return body.size();
}

auto ResponseReader::on_finish_impl(ErrorCode & /*error*/) -> void { }

auto reasonPhrase(int status) -> std::string
{
    return std::string(
        text(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)))));
}

auto requestText(const RequestMessage &request) -> std::string
{
    auto out = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    appendHeaders(out, request.headers);
    const auto hasBody = !request.body.empty() || request.method == "POST"
        || request.method == "PUT" || request.method == "PATCH";
    if (hasBody)
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    out += "\r\n";
    out += request.body;
    return out;
}

auto headText(const ResponseHead &head) -> std::string
{
    const auto reason = head.reason.empty() ? reasonPhrase(head.status) : head.reason;
    auto out = "HTTP/1.1 " + std::to_string(head.status) + ' ' + reason + "\r\n";
    appendHeaders(out, head.headers);
    if (head.framing == Framing::Chunked)
        out += "Transfer-Encoding: chunked\r\n";
    else if (head.framing == Framing::Length)
        out += "Content-Length: " + std::to_string(head.length) + "\r\n";
    if (!head.keepAlive)
        out += "Connection: close\r\n";
    out += "\r\n";
    return out;
}

auto chunkText(std::string_view bytes) -> std::string
{
    std::array<char, 2 * sizeof(std::size_t)> size{};
    constexpr int hexadecimal = 16;
    const auto end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal);
    std::string out(size.data(), end.ptr);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
    return out;
}

} // namespace applehatch::gateway
