#include "applehatch/platform/http.h"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <memory>
#include <optional>

namespace applehatch::platform {

namespace {

constexpr std::size_t errorTextBytes = 256;
constexpr std::size_t readBytes = 16384;

struct CloseConnection
{
    auto operator()(mg_connection *connection) const -> void { mg_close_connection(connection); }
};

using Connection = std::unique_ptr<mg_connection, CloseConnection>;

/// The library's global state, set up before its first use and kept for the process.
struct Library
{
    Library() { mg_init_library(0); }
};

auto sameName(std::string_view left, std::string_view right) -> bool
{
    const auto lower = [](char letter) { return std::tolower(static_cast<unsigned char>(letter)); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

auto requestText(const HttpRequest &request) -> std::string
{
    auto text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    text += "Host: " + request.server.ip + ':' + std::to_string(request.server.port) + "\r\n";
    text += "Connection: close\r\n";
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

auto timeoutMs(core::Duration timeout) -> int
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    return static_cast<int>(std::clamp<std::int64_t>(wait, 1, std::numeric_limits<int>::max()));
}

/// A length that the answer names, so that an answer cut short is noticed.
auto namedLength(const mg_response_info &info) -> std::optional<std::size_t>
{
    for (auto i = 0; i < info.num_headers; ++i) {
        if (sameName(info.http_headers[i].name, "Content-Length") && info.content_length >= 0) {
            return static_cast<std::size_t>(info.content_length);
        }
    }
    return std::nullopt;
}

auto readBody(mg_connection *connection, std::size_t limit, std::string &into) -> std::error_code
{
    std::array<char, readBytes> buffer{};
    while (true) {
        const auto count = mg_read(connection, buffer.data(), buffer.size());
        if (count < 0) {
            return std::make_error_code(std::errc::bad_message);
        }
        if (count == 0) {
            return {};
        }
        if (into.size() + static_cast<std::size_t>(count) > limit) {
            return std::make_error_code(std::errc::message_size);
        }
        into.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

auto readResponse(mg_connection *connection, std::size_t limit, HttpResponse &into)
    -> std::error_code
{
    const auto *info = mg_get_response_info(connection);
    if (info == nullptr) {
        return std::make_error_code(std::errc::bad_message);
    }
    into.status = info->status_code;
    for (auto i = 0; i < info->num_headers; ++i) {
        into.headers.emplace_back(info->http_headers[i].name, info->http_headers[i].value);
    }
    const auto length = namedLength(*info);
    if (length && *length > limit) {
        return std::make_error_code(std::errc::message_size);
    }
    const auto failed = readBody(connection, limit, into.body);
    if (!failed && length && into.body.size() != *length) {
        return std::make_error_code(std::errc::bad_message);
    }
    return failed;
}

} // namespace

auto HttpResponse::header(std::string_view name) const -> std::string_view
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto &header) {
        return sameName(header.first, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

auto exchange(const HttpRequest &request, HttpResponse &into) -> std::error_code
{
    static const Library library;
    into = {};
    std::array<char, errorTextBytes> error{};
    const Connection connection(mg_connect_client(request.server.ip.c_str(), request.server.port, 0,
                                                  error.data(), error.size()));
    if (!connection) {
        return std::make_error_code(std::errc::connection_refused);
    }
    const auto text = requestText(request);
    if (mg_write(connection.get(), text.data(), text.size()) != static_cast<int>(text.size())) {
        return std::make_error_code(std::errc::bad_message);
    }
    const auto startedAt = std::chrono::steady_clock::now();
    if (mg_get_response(connection.get(), error.data(), error.size(), timeoutMs(request.timeout))
        < 0) {
        const auto waited = std::chrono::steady_clock::now() - startedAt;
        return std::make_error_code(waited >= request.timeout ? std::errc::timed_out
                                                              : std::errc::bad_message);
    }
    return readResponse(connection.get(), request.maxBodyBytes, into);
}

} // namespace applehatch::platform
