#include "applehatch/process/http-server.h"

#include "applehatch/core/http-status.h"
#include "applehatch/process/awaited-heads.h"
#include "applehatch/process/periodic.h"
#include "applehatch/telemetry/clock.h"

#include "caller-socket.h"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace applehatch::process {

namespace {

constexpr int handled = 1; // Tells CivetWeb that the answer was sent.
constexpr int hexBase = 16;
constexpr std::size_t readBytes = 16384;
// Whoever takes less than this for a while stands still.
constexpr std::size_t writeBytes = 16384;
// A body is kept until its request is answered, and once more while it is passed on.
constexpr std::size_t bodyCopies = 2;
// One thread in so many is kept free of connections whose head has not come, and one at least.
constexpr std::size_t spareShare = 8;
constexpr core::Duration keeperInterval = std::chrono::milliseconds(100);

auto headText(mg_connection *connection, int status, const core::Headers &headers) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text.append(mg_get_response_code_text(connection, status)).append("\r\n");
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text.append("Connection: close\r\n");
    return text;
}

// Ends the read that another thread waits in; it can still write its answer.
auto endReading(int socket) -> void
{
    if (socket >= 0)
        ::shutdown(socket, SHUT_RD);
}

auto view(const char *text) -> std::string_view
{
    return text == nullptr ? std::string_view() : std::string_view(text);
}

} // namespace

HttpExchange::HttpExchange(mg_connection *connection, BodyMemory &bodies,
                           std::shared_ptr<AnswerMemory> answers)
    : connection_(connection)
    , bodies_(bodies)
    , answer_(std::make_shared<AnswerMemory::Answer>(std::move(answers),
                                                     callerName(*mg_get_request_info(connection))))
{
    chunked_ = view(mg_get_request_info(connection)->http_version) != "1.0";
}

auto HttpExchange::method() const -> std::string_view
{
    return view(mg_get_request_info(connection_)->request_method);
}

auto HttpExchange::path() const -> std::string_view
{
    const auto *info = mg_get_request_info(connection_);
    return view(info->local_uri_raw != nullptr ? info->local_uri_raw : info->request_uri);
}

auto HttpExchange::query() const -> std::string_view
{
    return view(mg_get_request_info(connection_)->query_string);
}

auto HttpExchange::header(const char *name) const -> std::string_view
{
    return view(mg_get_header(connection_, name));
}

auto HttpExchange::headers() const -> core::Headers
{
    const auto *info = mg_get_request_info(connection_);
    core::Headers headers;
    for (int index = 0; index < info->num_headers; ++index) {
        const auto &entry = info->http_headers[index]; // NOLINT: CivetWeb's array
        headers.emplace_back(view(entry.name), view(entry.value));
    }
    return headers;
}

auto HttpExchange::remoteIp() const -> std::string_view
{
    return view(static_cast<const char *>(mg_get_request_info(connection_)->remote_addr));
}

auto HttpExchange::socket() -> int
{
    if (socket_ < 0)
        socket_ = findCallerSocket(*mg_get_request_info(connection_));
    return socket_;
}

auto HttpExchange::callerDisconnected() -> bool
{
    pollfd polled{socket(), POLLRDHUP, 0};
    return polled.fd >= 0 && poll(&polled, 1, 0) > 0;
}

auto HttpExchange::readBody(std::size_t limit, std::string &body) -> BodyRead
{
    const auto declaredLength = mg_get_request_info(connection_)->content_length;
    if (declaredLength >= 0 && static_cast<std::size_t>(declaredLength) > limit)
        return BodyRead::TooLarge;
    const auto *info = mg_get_request_info(connection_);
    body_.emplace(bodies_, [info] { endReading(findCallerSocket(*info)); });
    const auto first = declaredLength > 0 ? static_cast<std::size_t>(declaredLength) : 0;
    if (!makeRoom(body, first))
        return BodyRead::NoRoom;
    auto result = readParts(limit, body);
    body_->endReading();
    const auto isTruncated =
        declaredLength >= 0 && body.size() != static_cast<std::size_t>(declaredLength);
    if (result == BodyRead::Complete && isTruncated)
        result = BodyRead::Incomplete;
    // Whoever gave way sees its read end early.
    return result != BodyRead::Complete && body_->hasGivenWay() ? BodyRead::NoRoom : result;
}

auto HttpExchange::makeRoom(std::string &body, std::size_t bytes) -> bool
{
    if (!body_->keep(bodyCopies * bytes))
        return false;
    body.reserve(bytes);
    return true;
}

auto HttpExchange::readParts(std::size_t limit, std::string &body) -> BodyRead
{
    std::array<char, readBytes> buffer{};
    int count = 0;
    while ((count = mg_read(connection_, buffer.data(), buffer.size())) > 0) {
        const auto part = static_cast<std::size_t>(count);
        if (body.size() + part > limit)
            return BodyRead::TooLarge;
        const auto isLarger = body.size() + part > body.capacity();
        if (isLarger && !makeRoom(body, std::max(2 * body.capacity(), body.size() + part)))
            return BodyRead::NoRoom;
        body_->noteReceived(part);
        body.append(buffer.data(), part);
    }
    return count < 0 ? BodyRead::Incomplete : BodyRead::Complete;
}

auto HttpExchange::sendsBody(int status) const -> bool
{
    return method() != "HEAD" && core::allowsBody(status);
}

auto HttpExchange::respond(int status, const core::Headers &headers, std::string_view body) -> bool
{
    auto text = headText(connection_, status, headers);
    if (core::allowsBody(status))
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    if (!sendsBody(status))
        return write(text);
    if (body.size() <= writeBytes)
        return write(text.append(body));
    answer_->setSocket(socket());
    return write(text) && write(body);
}

auto HttpExchange::write(std::string_view text) -> bool
{
    while (!text.empty()) {
        answer_->beginWrite();
        const auto written = mg_write(connection_, text.data(), std::min(text.size(), writeBytes));
        answer_->endWrite();
        if (written <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

auto HttpExchange::beginStream(int status, const core::Headers &headers) -> bool
{
    auto text = headText(connection_, status, headers);
    sendsBody_ = sendsBody(status);
    chunked_ = chunked_ && core::allowsBody(status);
    if (chunked_)
        text += "Transfer-Encoding: chunked\r\n";
    return write(text + "\r\n");
}

auto HttpExchange::streamPart(std::string_view data) -> bool
{
    if (data.empty() || !sendsBody_)
        return true;
    if (!chunked_)
        return write(data);
    // CivetWeb's `mg_send_chunk` makes three system calls per chunk, which sends each token in
    // three packets. Here each chunk is written with one call.
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    auto *const first = digits.data();
    auto *const last = std::to_chars(first, first + digits.size(), data.size(), hexBase).ptr;
    std::string chunk(first, last);
    chunk.append("\r\n").append(data).append("\r\n");
    return write(chunk);
}

auto HttpExchange::endStream() -> bool
{
    return !chunked_ || !sendsBody_ || write("0\r\n\r\n");
}

struct HttpServer::State
{
    [[nodiscard]] static auto of(const mg_connection *connection) -> State &
    {
        return *static_cast<State *>(mg_get_user_data(mg_get_context(connection)));
    }
    /// The wait for the head of this connection is over, if it was not before.
    auto endWait(const mg_connection *connection) -> void;
    auto serve(mg_connection *connection) -> void;
    /// Lets those who hold a thread and do nothing give way while few threads are left.
    auto keepThreadsFree(std::uint16_t port) -> void;

    Handler handler;
    std::size_t threads = 0;
    std::optional<BodyMemory> bodies;
    std::shared_ptr<AnswerMemory> answers;
    AwaitedHeads heads;
    std::optional<Periodic> keeper;
    mg_context *context = nullptr;
    std::atomic<std::uint64_t> begun{0};
    std::atomic<std::uint64_t> ended{0};
    std::atomic<std::uint64_t> endedWaits{0};
};

auto HttpServer::State::endWait(const mg_connection *connection) -> void
{
    if (mg_get_user_connection_data(connection) == nullptr)
        return;
    mg_set_user_connection_data(connection, nullptr);
    heads.end();
}

auto HttpServer::State::serve(mg_connection *connection) -> void
{
    const auto caller = callerName(*mg_get_request_info(connection));
    heads.addServed(caller);
    endWait(connection);
    ++begun;
    HttpExchange exchange(connection, *bodies, answers);
    handler(exchange);
    ++ended;
    heads.removeServed(caller);
}

auto HttpServer::State::keepThreadsFree(std::uint16_t port) -> void
{
    const auto spare = std::max<std::size_t>(1, threads / spareShare);
    const auto lacking = heads.lacking(spare, threads);
    const auto closed = heads.keepFree(spare, threads);
    endedWaits += closed;
    answers->trim();
    answers->findSockets(port);
    answers->dropStill(lacking - std::min(lacking, closed));
}

HttpServer::HttpServer()
    : state_(std::make_unique<State>())
{ }

HttpServer::~HttpServer()
{
    state_->keeper.reset();
    if (state_->context != nullptr)
        mg_stop(state_->context);
}

auto HttpServer::start(const HttpServerOptions &options, Handler handler, core::Address &bound)
    -> std::error_code
{
    using std::chrono::milliseconds;
    mg_init_library(0);
    state_->handler = std::move(handler);
    state_->threads = static_cast<std::size_t>(options.threads);
    state_->bodies.emplace(options.bodyMemory, state_->threads / 2);
    state_->answers = std::make_shared<AnswerMemory>(options.answerMemory);
    const auto ports = options.address.ip + ':' + std::to_string(options.address.port);
    const auto threads = std::to_string(options.threads);
    const auto timeout = std::to_string(std::chrono::ceil<milliseconds>(options.ioTimeout).count());
    std::array<const char *, 13> settings{
        "listening_ports", ports.c_str(), "num_threads",        threads.c_str(),
        "decode_url",      "no",          "request_timeout_ms", timeout.c_str(),
        "tcp_nodelay",     "1",           "listen_backlog",     "1024",
        nullptr,
    };
    mg_callbacks callbacks{};
    callbacks.init_connection = [](const mg_connection *connection, void **data) -> int {
        auto &state = State::of(connection);
        *data = &state; // Until the wait ends.
        state.heads.begin();
        return 0;
    };
    callbacks.connection_close = [](const mg_connection *connection) {
        State::of(connection).endWait(connection);
    };
    callbacks.begin_request = [](mg_connection *connection) -> int {
        State::of(connection).serve(connection);
        return handled;
    };
    callbacks.log_message = [](const mg_connection *, const char *) -> int { return handled; };
    state_->context = mg_start(&callbacks, state_.get(), settings.data());
    if (state_->context == nullptr)
        return std::make_error_code(std::errc::address_not_available);
    std::array<mg_server_port, 1> port{};
    if (mg_get_server_ports(state_->context, port.size(), port.data()) < 1)
        return std::make_error_code(std::errc::address_not_available);
    bound = {options.address.ip, static_cast<std::uint16_t>(port[0].port)};
    state_->heads.setPort(bound.port);
    state_->keeper.emplace(keeperInterval, [state = state_.get(), port = bound.port] {
        state->keepThreadsFree(port);
    });
    return {};
}

auto HttpServer::takeGivenWay() -> GivenWay
{
    auto gaveWay = state_->bodies ? state_->bodies->takeGivenWay() : GivenWay{};
    gaveWay.heads = state_->endedWaits.exchange(0);
    gaveWay.answers = state_->answers ? state_->answers->takeGivenWay() : 0;
    return gaveWay;
}

auto HttpServer::awaitQuiet(core::Duration quiet, core::Duration limit) -> void
{
    constexpr core::Duration interval = std::chrono::milliseconds(10);
    core::Duration unchangedFor{0};
    auto seen = state_->begun.load();
    // Time is counted by sleeps: while the process was held up it has read nothing.
    for (core::Duration waited{0}; waited < limit && unchangedFor < quiet; waited += interval) {
        std::this_thread::sleep_for(interval);
        const auto begun = state_->begun.load();
        const auto isQuiet = begun == seen && state_->ended.load() == begun;
        unchangedFor = isQuiet ? unchangedFor + interval : core::Duration(0);
        seen = begun;
    }
}

} // namespace applehatch::process
