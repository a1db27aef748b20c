#include "applehatch/clients/http.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace applehatch::clients {

namespace {

constexpr std::size_t readBytes = 65536;
constexpr auto cancelPeriod = 100 * kj::MILLISECONDS;

auto sameLetter(char left, char right) -> bool
{
    return std::tolower(static_cast<unsigned char>(left))
        == std::tolower(static_cast<unsigned char>(right));
}

auto error(std::errc code) -> std::error_code
{
    return std::make_error_code(code);
}

/// One exchange on its own event loop, which runs in the calling thread.
///
/// A connection may go silent forever in the middle of a response. CivetWeb's client limits only
/// the wait for the response head, and reading the body would then never return: the thread that
/// watches the settings would hang, and the process would receive no more changes. Here a timer
/// ends the promises, whatever the connection does.
class Exchange
{
public:
    explicit Exchange(const HttpRequest &request)
        : request_(request)
        , io_(kj::setupAsyncIo())
        , table_(kj::HttpHeaderTable::Builder().build())
    { }

    auto run(HttpResponse &into) -> std::error_code
    {
        kj::HttpMethod method{};
        KJ_IF_MAYBE (known, kj::tryParseHttpMethod(request_.method.c_str())) {
            method = *known;
        } else {
            return error(std::errc::invalid_argument);
        }
        auto work = connect().then([this, &into, method] {
            connected_ = true;
            return send(method).then(
                [this, &into](Response &&answer) { return take(kj::mv(answer), into); });
        });
        kj::Promise<std::error_code> limit =
            io_.provider->getTimer()
                .afterDelay(request_.timeout.count() * kj::MICROSECONDS)
                .then([] { return error(std::errc::timed_out); });
        if (request_.cancelled != nullptr) {
            limit = limit.exclusiveJoin(untilCancelled());
        }
        auto done = work.exclusiveJoin(kj::mv(limit)).catch_([this](const kj::Exception &) {
            return error(connected_ ? std::errc::bad_message : std::errc::connection_refused);
        });
        return done.wait(io_.waitScope);
    }

private:
    using Response = kj::HttpClient::Response;

    auto connect() -> kj::Promise<void>
    {
        auto &network = io_.provider->getNetwork();
        return network.parseAddress(request_.server.ip.c_str(), request_.server.port)
            .then([](kj::Own<kj::NetworkAddress> address) {
                auto opening = address->connect();
                return opening.attach(kj::mv(address));
            })
            .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                stream_ = kj::mv(stream);
                client_ = kj::newHttpClient(*table_, *stream_);
            });
    }

    auto untilCancelled() -> kj::Promise<std::error_code>
    {
        if (*request_.cancelled) {
            return error(std::errc::operation_canceled);
        }
        return io_.provider->getTimer().afterDelay(cancelPeriod).then([this] {
            return untilCancelled();
        });
    }

    auto send(kj::HttpMethod method) -> kj::Promise<Response>
    {
        kj::HttpHeaders headers(*table_);
        headers.set(kj::HttpHeaderId::HOST,
                    kj::str(request_.server.ip.c_str(), ":", request_.server.port));
        for (const auto &[name, value] : request_.headers) {
            headers.add(kj::str(name.c_str()), kj::str(value.c_str()));
        }
        kj::Maybe<std::uint64_t> length;
        if (method != kj::HttpMethod::GET) {
            length = request_.body.size();
        }
        auto call = client_->request(method, request_.path.c_str(), headers, length);
        if (request_.body.empty()) {
            return kj::mv(call.response);
        }
        auto writing = call.body->write(request_.body.data(), request_.body.size());
        return writing.attach(kj::mv(call.body)).then([response = kj::mv(call.response)]() mutable {
            return kj::mv(response);
        });
    }

    auto take(Response &&answer, HttpResponse &into) -> kj::Promise<std::error_code>
    {
        into.status = static_cast<int>(answer.statusCode);
        answer.headers->forEach([&into](kj::StringPtr name, kj::StringPtr value) {
            into.headers.emplace_back(name.cStr(), value.cStr());
        });
        body_ = kj::mv(answer.body);
        KJ_IF_MAYBE (length, body_->tryGetLength()) {
            if (*length > request_.maxBodyBytes) {
                return error(std::errc::message_size);
            }
        }
        return readBody(into.body);
    }

    auto readBody(std::string &into) -> kj::Promise<std::error_code>
    {
        return body_->tryRead(block_.data(), 1, block_.size())
            .then([this, &into](std::size_t count) -> kj::Promise<std::error_code> {
                if (count == 0) {
                    return std::error_code();
                }
                if (into.size() + count > request_.maxBodyBytes) {
                    return error(std::errc::message_size);
                }
                into.append(block_.data(), count);
                return readBody(into);
            });
    }

    const HttpRequest &request_;
    kj::AsyncIoContext io_;
    kj::Own<kj::HttpHeaderTable> table_;
    std::array<char, readBytes> block_{};
    bool connected_ = false;
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<kj::HttpClient> client_;
    kj::Own<kj::AsyncInputStream> body_;
};

} // namespace

auto HttpResponse::header(std::string_view name) const -> std::string_view
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto &header) {
        return std::equal(header.first.begin(), header.first.end(), name.begin(), name.end(),
                          sameLetter);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

auto exchange(const HttpRequest &request, HttpResponse &into) -> std::error_code
{
    into = {};
    try {
        return Exchange(request).run(into);
    } catch (const kj::Exception &) {
        return error(std::errc::bad_message);
    }
}

} // namespace applehatch::clients
