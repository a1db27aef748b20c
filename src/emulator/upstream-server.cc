#include "applehatch/emulator/upstream-server.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace applehatch::emulator {

namespace {

constexpr std::size_t readBlock = 16384;

auto readBody(mg_connection *connection, long long expected, HttpRequest &request) -> void
{
    std::array<char, readBlock> block{};
    while (expected < 0 || static_cast<long long>(request.body.size()) < expected) {
        const auto count = mg_read(connection, block.data(), block.size());
        if (count <= 0) {
            break;
        }
        request.body.append(block.data(), static_cast<std::size_t>(count));
    }
    request.bodyWhole = expected < 0 || static_cast<long long>(request.body.size()) == expected;
}

} // namespace

auto HttpRequest::header(const char *name) const -> std::string
{
    const auto *value = mg_get_header(connection, name);
    return value == nullptr ? std::string{} : std::string{value};
}

auto HttpRequest::queryNumber(const char *name) const -> std::uint64_t
{
    std::array<char, 32> text{};
    const auto length = mg_get_var(query.data(), query.size(), name, text.data(), text.size());
    return length <= 0 ? 0 : std::strtoull(text.data(), nullptr, 10);
}

auto answer(const HttpRequest &request, int status, std::string_view type, std::string_view body)
    -> void
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " "
        + mg_get_response_code_text(request.connection, status) + "\r\nContent-Type: ";
    text.append(type);
    text += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
    text.append(body);
    // A caller that has left is no concern of a stand-in.
    (void)mg_write(request.connection, text.data(), text.size());
}

auto answerJson(const HttpRequest &request, int status, const nlohmann::json &body) -> void
{
    answer(request, status, "application/json", body.dump());
}

HttpServer::HttpServer(const core::Address &listen, int threads, Handler handler)
    : handler_(std::move(handler))
    , address_(listen)
{
    const auto port = listen.ip + ":" + std::to_string(listen.port);
    const auto count = std::to_string(threads);
    const std::array<const char *, 11> options = {
        "listening_ports",    port.c_str(), "num_threads",    count.c_str(), "tcp_nodelay", "1",
        "request_timeout_ms", "60000",      "listen_backlog", "1000",        nullptr};
    mg_init_library(0);
    mg_callbacks callbacks{};
    callbacks.log_message = [](const mg_connection *, const char *) { return 1; };
    context_ = mg_start(&callbacks, this, const_cast<const char **>(options.data()));
    if (context_ == nullptr) {
        throw std::runtime_error("cannot listen on " + port);
    }
    mg_set_request_handler(context_, "/", &HttpServer::handle, this);
    mg_server_port bound{};
    if (mg_get_server_ports(context_, 1, &bound) == 1) {
        address_.port = static_cast<std::uint16_t>(bound.port);
    }
}

HttpServer::~HttpServer()
{
    // The library's acceptor looks for the order to stop every 2 s only, unless a connection comes.
    const std::jthread waker([this](const std::stop_token &done) {
        while (!done.stop_requested()) {
            std::array<char, 128> error{};
            mg_close_connection(mg_connect_client(address_.ip.c_str(), address_.port, 0,
                                                  error.data(), error.size()));
            std::this_thread::sleep_for(milliseconds(1));
        }
    });
    mg_stop(context_);
}

auto HttpServer::handle(mg_connection *connection, void *self) -> int
{
    const auto *info = mg_get_request_info(connection);
    HttpRequest request;
    request.connection = connection;
    request.method = info->request_method;
    request.path = info->local_uri == nullptr ? "" : info->local_uri;
    request.query = info->query_string == nullptr ? "" : info->query_string;
    readBody(connection, info->content_length, request);
    static_cast<HttpServer *>(self)->handler_(request);
    return 200;
}

UpstreamRecord::UpstreamRecord(std::string logPath)
    : logPath_(std::move(logPath))
{ }

auto UpstreamRecord::pass() -> bool
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !faults_.frozen || stopping_; });
    return !stopping_;
}

auto UpstreamRecord::faults() const -> Faults
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

auto UpstreamRecord::control(const nlohmann::json &orders) -> void
{
    const std::lock_guard lock(mutex_);
    faults_.crashMarker = orders.value("crashMarker", faults_.crashMarker);
    faults_.crashAfter = milliseconds(orders.value("crashAfterMs", faults_.crashAfter.count()));
    faults_.frozen = orders.value("frozen", faults_.frozen);
    faults_.silent = orders.value("silent", faults_.silent);
    faults_.silentAfter = orders.value("silentAfter", faults_.silentAfter);
    faults_.endEarlyAfter = orders.value("endEarlyAfter", faults_.endEarlyAfter);
    faults_.slowdown = orders.value("slowdown", faults_.slowdown);
    changed_.notify_all();
}

auto UpstreamRecord::stop() -> void
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

auto UpstreamRecord::stopping() const -> bool
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

auto UpstreamRecord::sleep(Clock::duration pause) -> bool
{
    std::unique_lock lock(mutex_);
    const auto until =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(pause * faults_.slowdown);
    changed_.wait_until(lock, until, [this] { return stopping_; });
    changed_.wait(lock, [this] { return !faults_.frozen || stopping_; });
    return !stopping_;
}

auto UpstreamRecord::crashIfMarked(const std::string &body) -> void
{
    const auto now = faults();
    if (now.crashMarker.empty() || body.find(now.crashMarker) == std::string::npos) {
        return;
    }
    (void)sleep(now.crashAfter);
    std::_Exit(crashStatus);
}

auto UpstreamRecord::begin(RunRecord run) -> std::size_t
{
    const std::lock_guard lock(mutex_);
    ++running_;
    highWater_ = std::max(highWater_, running_);
    run.running = running_;
    run.start = Clock::now();
    sampleLoad();
    append({{"op", "start"},
            {"atMs", clockMs(run.start)},
            {"request", run.request},
            {"key", run.key},
            {"chat", run.chat},
            {"bodyHash", hex(run.bodyHash)},
            {"warm", run.warm}});
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

auto UpstreamRecord::finish(std::size_t number, const std::string &outcome) -> void
{
    const std::lock_guard lock(mutex_);
    --running_;
    auto &run = runs_.at(number);
    run.end = Clock::now();
    run.outcome = outcome;
    sampleLoad();
    append({{"op", "end"},
            {"atMs", clockMs(*run.end)},
            {"request", run.request},
            {"outcome", outcome}});
}

auto UpstreamRecord::running() const -> std::uint32_t
{
    const std::lock_guard lock(mutex_);
    return running_;
}

auto UpstreamRecord::sampleLoad() -> void
{
    load_.emplace_back(Clock::now(), running_);
}

auto UpstreamRecord::note(nlohmann::json line) const -> void
{
    const std::lock_guard lock(mutex_);
    line["atMs"] = clockMs(Clock::now());
    append(line);
}

auto UpstreamRecord::append(const nlohmann::json &line) const -> void
{
    if (logPath_.empty()) {
        return;
    }
    const auto text = line.dump() + "\n";
    const auto file = ::open(logPath_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0 || ::write(file, text.data(), text.size()) < 0) {
        std::abort();
    }
    ::close(file);
}

auto UpstreamRecord::runsAsJson() const -> nlohmann::json
{
    const std::lock_guard lock(mutex_);
    auto runs = nlohmann::json::array();
    for (const auto &run : runs_) {
        runs.push_back({{"request", run.request},
                        {"chat", run.chat},
                        {"key", run.key},
                        {"customer", run.customer},
                        {"bodyHash", hex(run.bodyHash)},
                        {"startMs", clockMs(run.start)},
                        {"endMs", run.end ? clockMs(*run.end) : -1},
                        {"warm", run.warm},
                        {"running", run.running},
                        {"outcome", run.outcome}});
    }
    auto load = nlohmann::json::array();
    for (const auto &[time, running] : load_) {
        load.push_back({{"atMs", clockMs(time)}, {"running", running}});
    }
    return {{"highWater", highWater_}, {"running", running_}, {"runs", runs}, {"load", load}};
}

auto UpstreamRecord::serveControl(const HttpRequest &request) -> bool
{
    if (request.path == "/control/runs") {
        answerJson(request, 200, runsAsJson());
        return true;
    }
    if (request.path != "/control") {
        return false;
    }
    const auto orders = nlohmann::json::parse(request.body, nullptr, false);
    if (!orders.is_object()) {
        answerJson(request, 400, {{"error", "a JSON object is expected"}});
        return true;
    }
    control(orders);
    answerJson(request, 200, nlohmann::json::object());
    return true;
}

auto clockMs(Clock::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

auto hex(std::uint64_t value) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits[(value >> static_cast<unsigned>(shift)) & 0xfU];
    }
    return text;
}

} // namespace applehatch::emulator
