#include "engine.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <utility>

namespace review {

namespace {

constexpr auto tick = std::chrono::milliseconds(100);
constexpr auto sendTime = std::chrono::seconds(20);

auto echoOf(const Run &run) -> std::string
{
    return "X-Attempt-Id: " + run.id() + "\r\nX-Response-Seal: seal-" + run.id() + "\r\n";
}

auto hexOf(std::size_t number) -> std::string
{
    char text[32];
    std::snprintf(text, sizeof(text), "%zx", number);
    return text;
}

} // namespace

auto Run::id() const -> std::string
{
    const auto found = request.headers.find("x-attempt-id");
    return found == request.headers.end() ? std::string() : found->second;
}

auto Run::isCut() const -> bool
{
    return engine.isStopping() || engine.crashes() != crashesBefore;
}

auto Run::answer(const std::string &body) -> bool
{
    const auto head = "HTTP/1.1 200 OK\r\n" + echoOf(*this)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return socket.send(head + body, Clock::now() + sendTime);
}

auto Run::beginStream() -> bool
{
    return socket.send("HTTP/1.1 200 OK\r\n" + echoOf(*this)
                           + "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n",
                       Clock::now() + sendTime);
}

auto Run::sendChunk(const std::string &bytes) -> bool
{
    return socket.send(hexOf(bytes.size()) + "\r\n" + bytes + "\r\n", Clock::now() + sendTime);
}

auto Run::endStream() -> bool
{
    return socket.send("0\r\n\r\n", Clock::now() + sendTime);
}

Engine::Engine(EngineOptions options, Store &store, Record &record, Behaviour behaviour)
    : options_(std::move(options))
    , store_(store)
    , record_(record)
    , behaviour_(std::move(behaviour))
    , address_{options_.ip, 0}
    , listener_(listenAt(address_))
    , acceptor_([this] { accept(); })
{
    enroll();
}

Engine::~Engine()
{
    stopping_ = true;
    acceptor_.join();
    {
        const std::lock_guard lock(mutex_);
        for (auto *socket : open_)
            shutdown(socket->fd(), SHUT_RDWR);
    }
    while (serving_ > 0)
        std::this_thread::sleep_for(Milliseconds(5));
}

auto Engine::id() const -> std::string
{
    const std::lock_guard lock(mutex_);
    return id_;
}

auto Engine::enroll() -> void
{
    const auto start = std::to_string(++starts_);
    std::string id;
    {
        const std::lock_guard lock(mutex_);
        id = id_ = "i-" + options_.service + '-' + std::to_string(address_.port) + '-' + start;
    }
    const nlohmann::json entry{{"service", options_.service}, {"addr", address_.text()},
                               {"zone", options_.zone},       {"version", options_.version},
                               {"slots", options_.slots},     {"state", "ready"},
                               {"cold-left-ms", 0},           {"seq", 1}};
    store_.put("servers/" + id, entry.dump());
}

auto Engine::crash(Milliseconds away) -> void
{
    ++crashes_;
    std::string id;
    {
        const std::lock_guard lock(mutex_);
        awayUntil_ = Clock::now() + away;
        id = id_;
        for (auto *socket : open_) {
            const linger none{1, 0};
            setsockopt(socket->fd(), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
            shutdown(socket->fd(), SHUT_RD);
        }
    }
    record_.note("engine " + id + " crashed");
}

auto Engine::accept() -> void
{
    auto isAway = false;
    while (!stopping_) {
        Clock::time_point until;
        {
            const std::lock_guard lock(mutex_);
            until = awayUntil_;
        }
        if (Clock::now() < until) {
            listener_.close();
            isAway = true;
            std::this_thread::sleep_for(Milliseconds(10));
            continue;
        }
        if (std::exchange(isAway, false)) {
            // Its entry lapses when it has not written for three intervals; it is removed here.
            store_.remove("servers/" + id());
            listener_ = listenAt(address_);
            enroll();
            record_.note("engine " + id() + " started");
        }
        auto socket = acceptFrom(listener_, Clock::now() + tick);
        if (!socket.isOpen())
            continue;
        ++serving_;
        std::thread([this, taken = std::make_shared<Socket>(std::move(socket))] {
            {
                const std::lock_guard lock(mutex_);
                open_.insert(taken.get());
            }
            serve(*taken);
            {
                const std::lock_guard lock(mutex_);
                open_.erase(taken.get());
            }
            taken->close();
            --serving_;
        }).detach();
    }
}

auto Engine::serve(Socket &socket) -> void
{
    std::string buffer;
    while (!stopping_) {
        const auto request = readRequest(socket, buffer, Clock::now() + tick);
        if (!request && !socket.isOpenForReading())
            return;
        if (request && !serveRequest(socket, *request))
            return;
    }
}

auto Engine::serveRequest(Socket &socket, const Request &request) -> bool
{
    Run run{*this, socket, request, crashes_};
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != id())
        return socket.send("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + run.id()
                               + "\r\nX-Instance-Id: " + id() + "\r\nContent-Length: 0\r\n\r\n",
                           Clock::now() + sendTime);
    if (++running_ > options_.slots) {
        --running_;
        return socket.send("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + run.id()
                               + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                           Clock::now() + sendTime);
    }
    record_.note("run " + request.target, "run " + run.id() + " at " + id());
    const auto isKept = behaviour_(run);
    --running_;
    return isKept;
}

} // namespace review
