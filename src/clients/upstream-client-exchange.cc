#include "upstream-client-exchange.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <utility>

namespace applehatch::clients {

namespace {

constexpr std::size_t maxHeaders = 100;
constexpr std::size_t maxHeaderBytes = 32768;
constexpr auto maxTimerStep = std::chrono::milliseconds(50);

constexpr std::array<std::string_view, 10> connectionHeaders = {
    "connection", "content-length", "host",    "keep-alive",        "proxy-connection",
    "te",         "trailer",        "upgrade", "transfer-encoding", "expect"};

auto lower(std::string_view text) -> std::string
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

auto concernsConnection(std::string_view name) -> bool
{
    const auto wanted = lower(name);
    return std::find(connectionHeaders.begin(), connectionHeaders.end(), wanted)
        != connectionHeaders.end();
}

auto isTokenLetter(unsigned char letter) -> bool
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return std::isalnum(letter) != 0 || marks.find(static_cast<char>(letter)) != std::string::npos;
}

auto isName(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenLetter);
}

auto isValue(std::string_view text) -> bool
{
    return std::none_of(text.begin(), text.end(), [](unsigned char letter) {
        return (letter < 0x20 && letter != '\t') || letter == 0x7f;
    });
}

auto isPath(std::string_view text) -> bool
{
    return text.starts_with('/') && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return letter > 0x20 && letter != 0x7f;
           });
}

auto readHead(const kj::HttpClient::Response &response) -> std::optional<ExchangeHead>
{
    ExchangeHead head;
    head.status = static_cast<int>(response.statusCode);
    // A router drops a message with any other status, and its caller would get no head.
    if (head.status < core::smallestStatus || head.status > core::largestStatus) {
        return std::nullopt;
    }
    std::size_t bytes = 0;
    response.headers->forEach([&](kj::StringPtr name, kj::StringPtr value) {
        bytes += name.size() + value.size();
        if (!concernsConnection(name.cStr())) {
            head.headers.emplace_back(name.cStr(), value.cStr());
        }
    });
    const auto has = [&](kj::HttpHeaderId id) { return response.headers->get(id) != nullptr; };
    head.framed = has(kj::HttpHeaderId::CONTENT_LENGTH) || has(kj::HttpHeaderId::TRANSFER_ENCODING)
        || head.status == 204 || head.status == 304;
    if (bytes > maxHeaderBytes || head.headers.size() > maxHeaders) {
        return std::nullopt;
    }
    return head;
}

} // namespace

auto sameName(std::string_view left, std::string_view right) -> bool
{
    return lower(left) == lower(right);
}

auto headerValue(const core::Headers &headers, std::string_view name) -> std::string
{
    for (const auto &[key, value] : headers) {
        if (sameName(key, name)) {
            return value;
        }
    }
    return {};
}

auto sendable(const ExchangeRequest &request) -> bool
{
    const auto known = kj::tryParseHttpMethod(request.method.c_str()) != nullptr;
    return known && isPath(request.path)
        && std::all_of(request.headers.begin(), request.headers.end(), [](const auto &header) {
               return isName(header.first) && isValue(header.second);
           });
}

Exchange::Exchange(kj::Network &network, const kj::HttpHeaderTable &table, core::Address upstream)
    : network_(network)
    , table_(table)
    , upstream_(std::move(upstream))
    , block_(kj::heapArray<char>(blockBytes))
{ }

auto Exchange::toKj(const core::Headers &headers) const -> kj::HttpHeaders
{
    kj::HttpHeaders result(table_);
    result.set(kj::HttpHeaderId::HOST, kj::str(upstream_.ip.c_str(), ":", upstream_.port));
    for (const auto &[name, value] : headers) {
        if (!concernsConnection(name)) {
            result.add(kj::str(name.c_str()), kj::str(value.c_str()));
        }
    }
    return result;
}

auto Exchange::connect() -> kj::Promise<void>
{
    return network_.parseAddress(upstream_.ip.c_str(), upstream_.port)
        .then([](kj::Own<kj::NetworkAddress> address) {
            auto opening = address->connect();
            return opening.attach(kj::mv(address));
        })
        .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            stream_ = kj::mv(stream);
            client_ = kj::newHttpClient(table_, *stream_);
        });
}

auto Exchange::send(const ExchangeRequest &request) -> kj::Promise<std::optional<ExchangeHead>>
{
    kj::HttpMethod method{};
    KJ_IF_MAYBE (known, kj::tryParseHttpMethod(request.method.c_str())) {
        method = *known;
    }
    const auto bodiless =
        request.body.empty() && (method == kj::HttpMethod::GET || method == kj::HttpMethod::HEAD);
    kj::Maybe<std::uint64_t> length;
    if (!bodiless) {
        length = request.body.size();
    }
    stage_ = ExchangeStage::Sent;
    auto call = client_->request(method, request.path.c_str(), toKj(request.headers), length);
    if (!request.body.empty()) {
        auto writing = call.body->write(request.body.data(), request.body.size());
        // An upstream that refuses early may close while the body is being sent. Its answer is
        // still read, so a failed upload is ignored.
        upload_ = writing.attach(kj::mv(call.body)).eagerlyEvaluate([](kj::Exception &&) {});
    } else {
        call.body = nullptr;
    }
    return call.response.then([this](kj::HttpClient::Response &&response) {
        auto head = readHead(response);
        body_ = kj::mv(response.body);
        if (head) {
            stage_ = ExchangeStage::HeadRead;
        }
        return head;
    });
}

auto Exchange::read() -> kj::Promise<std::string_view>
{
    return body_->tryRead(block_.begin(), 1, block_.size()).then([this](std::size_t count) {
        return std::string_view(block_.begin(), count);
    });
}

auto afterStallAwareDelay(kj::Timer &timer, core::Duration limit) -> kj::Promise<void>
{
    if (limit <= core::Duration::zero()) {
        return kj::READY_NOW;
    }
    const auto step = std::min<core::Duration>(limit, maxTimerStep);
    return timer.afterDelay(step.count() * kj::MICROSECONDS).then([&timer, limit, step] {
        return afterStallAwareDelay(timer, limit - step);
    });
}

} // namespace applehatch::clients
