/// A model engine's stand-in: what docs/protocols.md says of engines, with faults to order.
#pragma once

#include "applehatch/emulator/engine-answer.h"
#include "applehatch/emulator/engine-cache.h"
#include "applehatch/emulator/upstream-server.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace applehatch::emulator {

/// How one engine behaves.
struct EngineOptions
{
    core::Address listen{"127.0.0.1", 0};
    std::uint32_t slots = 8;       ///< Requests run at once; more wait.
    double tokensPerSecond = 50.0; ///< For each stream.
    milliseconds coldPrefill{100}; ///< Before the first token, context not held.
    milliseconds warmPrefill{10};  ///< Before the first token, context held.
    std::size_t cacheChats = 100;  ///< Chats whose context fits.
    milliseconds eventDelay{300};  ///< By which cache events come late.
    std::uint64_t gapEvery = 0;    ///< Every n-th cache event is lost; 0 loses none.
    milliseconds stateLag{500};    ///< By which the state comes late.
    bool honoursFence = true;
    std::set<std::string> models; ///< Held from the start.
    milliseconds holdFor{5000};   ///< A stream whose caller left goes on this long.
    std::size_t kvBytes = 20000;  ///< Size of an exported context.
    int threads = 400;            ///< Connections served at once.
    std::string logPath;          ///< Run record that outlives a crash; empty keeps none.
};

/// One engine, in one life.
class Engine
{
public:
    explicit Engine(EngineOptions options);
    ~Engine();
    Engine(const Engine &) = delete;
    auto operator=(const Engine &) -> Engine & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return server_->address(); }
    [[nodiscard]] auto record() -> UpstreamRecord & { return record_; }

private:
    /// A request in the engine; kept after its end so that it can be resumed.
    struct Stream
    {
        Stream(std::string requestId, std::string_view body)
            : request(std::move(requestId))
            , answer(body)
        { }

        std::string request;
        EngineAnswer answer;
        int priority = 0;
        std::uint64_t arrival = 0;
        bool admitted = false;
        bool cancelled = false;
        bool warm = false;
        Clock::time_point firstToken;
    };
    using StreamPtr = std::shared_ptr<Stream>;

    struct AdmitOrder
    {
        auto operator()(const StreamPtr &left, const StreamPtr &right) const -> bool;
    };

    auto serve(const HttpRequest &request) -> void;
    auto serveChat(const HttpRequest &request) -> void;
    auto serveState(const HttpRequest &request) -> void;
    auto serveOrder(const HttpRequest &request) -> void;
    auto serveCache(const HttpRequest &request) -> void;
    auto serveCancel(const HttpRequest &request) -> void;
    auto resume(const HttpRequest &request, std::size_t from) -> void;

    [[nodiscard]] auto admit(const StreamPtr &stream) -> bool;
    auto release() -> void;
    auto store(const std::string &chat) -> void;
    /// `beforeLast` is called once all is made, before the last event goes.
    auto answerStream(const HttpRequest &request, const StreamPtr &stream, std::size_t from,
                      const std::function<void()> &beforeLast) -> std::string;
    auto answerPlain(const HttpRequest &request, const StreamPtr &stream,
                     const std::function<void()> &beforeLast) -> std::string;
    auto finishUnread(const StreamPtr &stream) -> std::string;
    [[nodiscard]] auto cancelled(const StreamPtr &stream) const -> bool;
    [[nodiscard]] auto waitForToken(const StreamPtr &stream, std::size_t number) -> bool;
    [[nodiscard]] auto stateNow() const -> nlohmann::json;

    EngineOptions options_;
    std::string epoch_;
    UpstreamRecord record_;
    EngineCache cache_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t arrivals_ = 0;
    std::uint32_t running_ = 0;
    std::set<StreamPtr, AdmitOrder> waiting_;
    std::map<std::string, StreamPtr> streams_;
    std::set<std::string> models_;
    std::uint64_t fence_ = 0;
    nlohmann::json orders_ = nlohmann::json::array();
    nlohmann::json published_;
    Clock::time_point publishedAt_;
    std::unique_ptr<HttpServer> server_; ///< Last, so that it stops before what it uses.
};

} // namespace applehatch::emulator
