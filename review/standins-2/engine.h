/// A server of the system: a model engine or a plain service, registered in the store.
#pragma once

#include "net.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

class Engine;

/// One request at an engine; the behaviour writes its answer to `socket`.
struct Run
{
    Engine &engine;
    Socket &socket;
    const Request &request;
    int crashesBefore = 0;

    [[nodiscard]] auto id() const -> std::string;
    /// Whether the engine crashed, or ends, since the request began.
    [[nodiscard]] auto isCut() const -> bool;
    /// Sends a whole answer with a seal.
    auto answer(const std::string &body) -> bool;
    /// Sends the head of a stream in chunks.
    auto beginStream() -> bool;
    auto sendChunk(const std::string &bytes) -> bool;
    auto endStream() -> bool;
};

/// Returns whether the connection is kept.
using Behaviour = std::function<bool(Run &)>;

struct EngineOptions
{
    std::string service;
    std::string ip;
    std::string zone = "bole-hall";
    int slots = 64;
    std::string version = "v1";
};

class Engine
{
public:
    Engine(EngineOptions options, Store &store, Record &record, Behaviour behaviour);
    ~Engine();
    Engine(const Engine &) = delete;
    auto operator=(const Engine &) -> Engine & = delete;

    /// Resets all connections, is away for `away`, and comes back under a new id.
    auto crash(Milliseconds away) -> void;
    [[nodiscard]] auto id() const -> std::string;
    [[nodiscard]] auto isStopping() const -> bool { return stopping_; }
    [[nodiscard]] auto record() -> Record & { return record_; }
    [[nodiscard]] auto crashes() const -> int { return crashes_; }

private:
    auto enroll() -> void;
    auto accept() -> void;
    auto serve(Socket &socket) -> void;
    auto serveRequest(Socket &socket, const Request &request) -> bool;

    EngineOptions options_;
    Store &store_;
    Record &record_;
    Behaviour behaviour_;
    Endpoint address_;
    Socket listener_;
    mutable std::mutex mutex_;
    std::string id_;
    std::set<Socket *> open_;
    Clock::time_point awayUntil_;
    std::atomic<int> starts_ = 0;
    std::atomic<int> crashes_ = 0;
    std::atomic<int> running_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> serving_ = 0;
    std::thread acceptor_;
};

} // namespace review
