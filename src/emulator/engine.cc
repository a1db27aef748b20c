#include "applehatch/emulator/engine.h"

#include <algorithm>
#include <random>
#include <utility>

namespace applehatch::emulator {

namespace {

constexpr std::string_view cancelPath = "/v1/cancel/";
constexpr std::string_view cachePath = "/v1/cache/";
constexpr auto cancelCheck = milliseconds(20);

auto newEpoch() -> std::string
{
    std::random_device device;
    return hex((static_cast<std::uint64_t>(device()) << 32U) | device());
}

auto sendHead(const HttpRequest &request, bool warm) -> bool
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Cache: "
        + std::string(warm ? "warm" : "cold")
        + "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    return mg_write(request.connection, head.data(), head.size()) > 0;
}

auto sendChunk(const HttpRequest &request, std::string_view data) -> bool
{
    return mg_send_chunk(request.connection, data.data(), static_cast<unsigned>(data.size())) > 0;
}

} // namespace

auto Engine::AdmitOrder::operator()(const StreamPtr &left, const StreamPtr &right) const -> bool
{
    if (left->priority != right->priority) {
        return left->priority > right->priority;
    }
    return left->arrival < right->arrival;
}

Engine::Engine(EngineOptions options)
    : options_(std::move(options))
    , epoch_(newEpoch())
    , record_(options_.logPath)
    , cache_(options_.cacheChats, options_.eventDelay, options_.gapEvery)
    , models_(options_.models)
{
    record_.note({{"op", "life"}});
    published_ = stateNow();
    publishedAt_ = Clock::now();
    server_ = std::make_unique<HttpServer>(options_.listen, options_.threads,
                                           [this](const HttpRequest &call) { serve(call); });
}

Engine::~Engine()
{
    record_.stop();
    {
        const std::lock_guard lock(mutex_);
        changed_.notify_all();
    }
    server_.reset();
}

auto Engine::serve(const HttpRequest &request) -> void
{
    if (record_.serveControl(request) || !record_.pass()) {
        return;
    }
    if (request.path == "/control/orders") {
        const std::lock_guard lock(mutex_);
        answerJson(request, 200, orders_);
    } else if (request.path == "/v1/chat/completions") {
        serveChat(request);
    } else if (request.path == "/v1/state") {
        serveState(request);
    } else if (request.path == "/v1/orders") {
        serveOrder(request);
    } else if (request.path.starts_with(cancelPath)) {
        serveCancel(request);
    } else if (request.path.starts_with(cachePath)) {
        serveCache(request);
    } else {
        answerJson(request, 404, {{"error", "no such path"}});
    }
}

auto Engine::serveChat(const HttpRequest &request) -> void
{
    if (record_.faults().silent) {
        while (record_.faults().silent && record_.sleep(cancelCheck)) { }
        return;
    }
    if (!request.bodyWhole) {
        return;
    }
    const auto from = request.header("X-Resume-From");
    if (!from.empty()) {
        resume(request, std::strtoull(from.c_str(), nullptr, 10));
        return;
    }
    const auto stream = std::make_shared<Stream>(request.header("X-Request-Id"), request.body);
    stream->priority = std::atoi(request.header("X-Priority").c_str());
    if (!admit(stream)) {
        return;
    }
    const auto chat = request.header("X-Chat-Key");
    stream->warm = cache_.holds(chat);
    stream->firstToken =
        Clock::now() + (stream->warm ? options_.warmPrefill : options_.coldPrefill);
    RunRecord run;
    run.request = stream->request;
    run.chat = chat;
    run.key = request.header("Idempotency-Key");
    run.bodyHash = core::stableHash(request.body);
    run.warm = stream->warm;
    const auto number = record_.begin(run);
    record_.crashIfMarked(request.body);
    auto isOver = false;
    const auto over = [&](const std::string &outcome) {
        if (std::exchange(isOver, true)) {
            return;
        }
        if (outcome != "cancelled") {
            store(chat);
        }
        record_.finish(number, outcome);
        release();
    };
    // Recorded after the last bytes, the end would follow the start of the run that they let in,
    // and the record would show an engine above its bound that never was.
    const auto beforeLast = [&] { over("whole"); };
    over(stream->answer.wantsStream() ? answerStream(request, stream, 0, beforeLast)
                                      : answerPlain(request, stream, beforeLast));
}

auto Engine::admit(const StreamPtr &stream) -> bool
{
    std::unique_lock lock(mutex_);
    stream->arrival = ++arrivals_;
    waiting_.insert(stream);
    streams_[stream->request] = stream;
    const auto mayStart = [this, &stream] {
        return running_ < options_.slots && *waiting_.begin() == stream;
    };
    changed_.wait(lock, [this, &stream, &mayStart] {
        return mayStart() || stream->cancelled || record_.stopping();
    });
    const auto started = mayStart() && !stream->cancelled && !record_.stopping();
    waiting_.erase(stream);
    if (started) {
        ++running_;
        stream->admitted = true;
    }
    changed_.notify_all();
    return started;
}

auto Engine::release() -> void
{
    const std::lock_guard lock(mutex_);
    --running_;
    changed_.notify_all();
}

auto Engine::store(const std::string &chat) -> void
{
    const auto evicted = cache_.store(chat);
    if (!chat.empty()) {
        record_.note({{"op", "stored"}, {"chat", chat}});
    }
    if (!evicted.empty()) {
        record_.note({{"op", "evicted"}, {"chat", evicted}});
    }
}

auto Engine::cancelled(const StreamPtr &stream) const -> bool
{
    const std::lock_guard lock(mutex_);
    return stream->cancelled;
}

auto Engine::waitForToken(const StreamPtr &stream, std::size_t number) -> bool
{
    const auto pause =
        std::chrono::duration<double>(static_cast<double>(number) / options_.tokensPerSecond);
    const auto due = stream->firstToken
        + std::chrono::duration_cast<Clock::duration>(pause * record_.faults().slowdown);
    while (!cancelled(stream)) {
        const auto left = due - Clock::now();
        if (left <= Clock::duration::zero()) {
            return record_.pass();
        }
        if (!record_.sleep(std::min<Clock::duration>(left, cancelCheck))) {
            return false;
        }
    }
    return false;
}

auto Engine::answerStream(const HttpRequest &request, const StreamPtr &stream, std::size_t from,
                          const std::function<void()> &beforeLast) -> std::string
{
    const auto faults = record_.faults();
    auto skip = from;
    for (std::size_t number = 0; number <= stream->answer.tokens(); ++number) {
        auto data = stream->answer.event(number);
        const auto dropped = std::min(skip, data.size());
        skip -= dropped;
        data.erase(0, dropped);
        if (!waitForToken(stream, number)) {
            return "cancelled";
        }
        if (number == 0 && !sendHead(request, stream->warm)) {
            return finishUnread(stream);
        }
        if (static_cast<std::int64_t>(number) == faults.endEarlyAfter) {
            return "ended-early";
        }
        if (static_cast<std::int64_t>(number) == faults.silentAfter) {
            while (!cancelled(stream) && record_.sleep(cancelCheck)) { }
            return "cancelled";
        }
        if (number == stream->answer.tokens()) {
            beforeLast();
        }
        if (!data.empty() && !sendChunk(request, data)) {
            return finishUnread(stream);
        }
    }
    (void)sendChunk(request, {});
    return "whole";
}

auto Engine::answerPlain(const HttpRequest &request, const StreamPtr &stream,
                         const std::function<void()> &beforeLast) -> std::string
{
    if (!waitForToken(stream, stream->answer.tokens())) {
        return "cancelled";
    }
    auto body = stream->answer.plain();
    const auto length = body.size();
    const auto early = record_.faults().endEarlyAfter >= 0;
    if (early) {
        body.resize(length / 2);
    } else {
        beforeLast();
    }
    const auto text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Cache: "
        + std::string(stream->warm ? "warm" : "cold")
        + "\r\nContent-Length: " + std::to_string(length) + "\r\nConnection: close\r\n\r\n" + body;
    if (mg_write(request.connection, text.data(), text.size()) <= 0) {
        return "abandoned";
    }
    return early ? "ended-early" : "whole";
}

auto Engine::finishUnread(const StreamPtr &stream) -> std::string
{
    const auto until = Clock::now() + options_.holdFor;
    while (Clock::now() < until) {
        {
            const std::lock_guard lock(mutex_);
            if (stream->cancelled) {
                return "cancelled";
            }
        }
        const auto all = std::chrono::duration<double>(static_cast<double>(stream->answer.tokens())
                                                       / options_.tokensPerSecond);
        if (Clock::now() >= stream->firstToken + std::chrono::duration_cast<Clock::duration>(all)) {
            return "whole";
        }
        if (!record_.sleep(cancelCheck)) {
            break;
        }
    }
    return "abandoned";
}

auto Engine::resume(const HttpRequest &request, std::size_t from) -> void
{
    StreamPtr stream;
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(request.header("X-Request-Id"));
        if (found != streams_.end() && !found->second->cancelled && found->second->admitted) {
            stream = found->second;
        }
    }
    if (!stream) {
        answerJson(request, 410, {{"error", "no such stream"}});
        return;
    }
    (void)answerStream(request, stream, from, [] {});
}

auto Engine::serveCancel(const HttpRequest &request) -> void
{
    auto known = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(request.path.substr(cancelPath.size()));
        known = found != streams_.end();
        if (known) {
            found->second->cancelled = true;
        }
        changed_.notify_all();
    }
    answerJson(request, known ? 200 : 404, {{"cancelled", known}});
}

auto Engine::stateNow() const -> nlohmann::json
{
    return {{"epoch", epoch_},
            {"running", running_},
            {"waiting", waiting_.size()},
            {"models", models_},
            {"fence", options_.honoursFence ? fence_ : 0}};
}

auto Engine::serveState(const HttpRequest &request) -> void
{
    nlohmann::json state;
    {
        const std::lock_guard lock(mutex_);
        if (Clock::now() - publishedAt_ > options_.stateLag) {
            published_ = stateNow();
            publishedAt_ = Clock::now();
        }
        state = published_;
    }
    answerJson(request, 200, state);
}

auto Engine::serveOrder(const HttpRequest &request) -> void
{
    const auto order = nlohmann::json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        answerJson(request, 400, {{"error", "a JSON object is expected"}});
        return;
    }
    const auto fence = order.value("fence", std::uint64_t{0});
    const auto model = order.value("model", std::string{});
    auto taken = true;
    {
        const std::lock_guard lock(mutex_);
        taken = !options_.honoursFence || fence >= fence_;
        if (taken) {
            fence_ = fence;
            if (order.value("kind", std::string{}) == "load-model") {
                models_.insert(model);
            } else {
                models_.erase(model);
            }
        }
        auto noted = order;
        noted["taken"] = taken;
        noted["atMs"] = clockMs(Clock::now());
        orders_.push_back(noted);
    }
    answerJson(request, taken ? 200 : 409, {{"taken", taken}});
}

auto Engine::serveCache(const HttpRequest &request) -> void
{
    const auto chat = request.path.substr(cachePath.size());
    if (chat == "events") {
        answerJson(request, 200, cache_.events(request.queryNumber("after")));
    } else if (request.method == "PUT" && request.bodyWhole
               && request.body.starts_with("kv:" + chat)) {
        store(chat);
        answerJson(request, 200, nlohmann::json::object());
    } else if (request.method == "GET" && cache_.holds(chat)) {
        answer(request, 200, "application/octet-stream",
               "kv:" + chat + std::string(options_.kvBytes, '\0'));
    } else {
        answerJson(request, request.method == "PUT" ? 400 : 404, {{"error", "no such context"}});
    }
}

} // namespace applehatch::emulator
