#include "upstream-client-exchange.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace applehatch::clients {

namespace {

constexpr std::size_t maxHeaders = 100;
constexpr std::size_t maxHeaderBytes = 32768;

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

Exchange::Exchange(const core::Address &upstream, const std::atomic<bool> &cancelled)
    : io_(kj::setupAsyncIo())
    , upstream_(upstream)
    , cancelled_(cancelled)
    , table_(kj::HttpHeaderTable::Builder().build())
    , block_(kj::heapArray<char>(blockBytes))
{ }

// Counts what it meant to wait, not what passed: after a hold-up of this process the upstream's
// bytes lie unread, and it would be blamed for a silence that was ours.
auto Exchange::giveUp(core::Duration waited) -> kj::Promise<void>
{
    if (cancelled_.load()) {
        stop_ = ExchangeStop::Cancelled;
        return kj::READY_NOW;
    }
    const auto left = pause_ - waited;
    if (left <= core::Duration::zero()) {
        stop_ = ExchangeStop::Silent;
        return kj::READY_NOW;
    }
    const auto wait = std::min<core::Duration>(left, checkPeriod);
    return io_.provider->getTimer().afterDelay(wait.count() * kj::MICROSECONDS).then([=, this] {
        return giveUp(waited + wait);
    });
}

template <typename T>
auto Exchange::await(kj::Promise<T> promise) -> kj::Maybe<T>
{
    auto work = promise.then([](T &&value) -> kj::Maybe<T> { return kj::mv(value); });
    auto limit = giveUp(core::Duration::zero()).then([]() -> kj::Maybe<T> { return nullptr; });
    return work.exclusiveJoin(kj::mv(limit)).wait(io_.waitScope);
}

auto Exchange::toKj(const core::Headers &headers) const -> kj::HttpHeaders
{
    kj::HttpHeaders result(*table_);
    result.set(kj::HttpHeaderId::HOST, kj::str(upstream_.ip.c_str(), ":", upstream_.port));
    for (const auto &[name, value] : headers) {
        if (!concernsConnection(name)) {
            result.add(kj::str(name.c_str()), kj::str(value.c_str()));
        }
    }
    return result;
}

auto Exchange::connect(core::Duration limit) -> bool
{
    pause_ = limit;
    auto address =
        await(io_.provider->getNetwork().parseAddress(upstream_.ip.c_str(), upstream_.port));
    KJ_IF_MAYBE (found, address) {
        auto opened = await((*found)->connect());
        KJ_IF_MAYBE (stream, opened) {
            stream_ = kj::mv(*stream);
            client_ = kj::newHttpClient(*table_, *stream_);
            return true;
        }
    }
    return false;
}

auto Exchange::send(const ExchangeRequest &request) -> std::optional<ExchangeHead>
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
        // An upstream that refuses early closes while the body is on its way; its answer counts.
        upload_ = writing.attach(kj::mv(call.body)).eagerlyEvaluate([](kj::Exception &&) {});
    } else {
        call.body = nullptr;
    }
    auto answered = await(kj::mv(call.response));
    KJ_IF_MAYBE (response, answered) {
        auto head = readHead(*response);
        body_ = kj::mv(response->body);
        if (head) {
            stage_ = ExchangeStage::HeadRead;
        }
        return head;
    }
    return std::nullopt;
}

auto Exchange::read() -> std::string_view
{
    auto got = await(body_->tryRead(block_.begin(), 1, block_.size()));
    KJ_IF_MAYBE (count, got) {
        return {block_.begin(), *count};
    }
    return {};
}

} // namespace applehatch::clients
